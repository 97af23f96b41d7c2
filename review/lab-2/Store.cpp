#include "Store.h"

#include "Sockets.h"

#include <algorithm>
#include <boost/json.hpp>
#include <thread>

namespace lab {

namespace json = boost::json;

namespace {

constexpr int NotFound = 404;
constexpr int ConditionFailed = 412;
constexpr std::size_t PageItems = 500;
constexpr std::string_view Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string base64(const std::string &Bytes) {
  std::string Text;
  std::uint32_t Bits = 0;
  int Count = 0;
  for (unsigned char Byte : Bytes) {
    Bits = (Bits << 8U) | Byte;
    for (Count += 8; Count >= 6; Count -= 6)
      Text += Digits[(Bits >> static_cast<unsigned>(Count - 6)) & 63U];
  }
  if (Count > 0)
    Text += Digits[(Bits << static_cast<unsigned>(6 - Count)) & 63U];
  while (Text.size() % 4 != 0)
    Text += '=';
  return Text;
}

std::string decodeQuery(const std::string &Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%' || At + 2 >= Text.size()) {
      Out += Text[At];
      continue;
    }
    Out += static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
    At += 2;
  }
  return Out;
}

std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Query;
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    std::size_t Next = Target.find('&', At + 1);
    std::string Pair =
        Target.substr(At + 1, Next == std::string::npos ? Next : Next - At - 1);
    std::size_t Equals = Pair.find('=');
    Query[Pair.substr(0, Equals)] = decodeQuery(Pair.substr(Equals + 1));
    At = Next;
  }
  return Query;
}

} // namespace

Store::Store(Record &Log, PromoteHandler OnPromote)
    : Log(Log), OnPromote(std::move(OnPromote)) {}

std::uint16_t Store::start(const std::string &Ip) {
  int Listener = listenAt(Ip, 0);
  std::uint16_t Port = portOf(Listener);
  std::thread([this, Listener, Port] {
    while (true) {
      int Handle = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Handle < 0)
        continue;
      std::thread([this, Handle, Delay = this->takeHoldUp(Port)] {
        std::this_thread::sleep_for(Delay);
        this->serve(Handle);
      }).detach();
    }
  }).detach();
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      this->endLeases();
    }
  }).detach();
  return Port;
}

void Store::holdUpNext(std::uint16_t Port, std::chrono::milliseconds Delay) {
  std::lock_guard Lock(this->Mutex);
  this->HoldUps[Port] = Delay;
}

std::chrono::milliseconds Store::takeHoldUp(std::uint16_t Port) {
  std::lock_guard Lock(this->Mutex);
  return std::exchange(this->HoldUps[Port], std::chrono::milliseconds(0));
}

void Store::write(const std::string &Key, const std::string &Value,
                  std::uint64_t LeaseId) {
  auto Known = this->Items.find(Key);
  Item Next{.Value = Value,
            .Revision = this->Revision,
            .Created = Known == this->Items.end() ? this->Revision
                                                  : Known->second.Created,
            .Lease = LeaseId};
  this->Items[Key] = Next;
  this->History.push_back({.Key = Key, .Now = Next});
}

void Store::erase(const std::string &Key) {
  if (this->Items.erase(Key) == 0)
    return;
  Change Gone{.Key = Key, .Now = {}, .Deleted = true};
  Gone.Now.Revision = this->Revision;
  this->History.push_back(Gone);
}

void Store::put(const std::string &Key, const std::string &Json) {
  std::lock_guard Lock(this->Mutex);
  ++this->Revision;
  this->write(Key, base64(Json), 0);
  this->Changed.notify_all();
}

void Store::remove(const std::string &Key) {
  std::lock_guard Lock(this->Mutex);
  ++this->Revision;
  this->erase(Key);
  this->Changed.notify_all();
}

void Store::endLeases() {
  std::lock_guard Lock(this->Mutex);
  auto Now = Clock::now();
  std::vector<std::string> Gone;
  for (const auto &[Key, Each] : this->Items) {
    auto Known = this->Leases.find(Each.Lease);
    if (Each.Lease != 0 &&
        (Known == this->Leases.end() || Known->second.EndsAt < Now))
      Gone.push_back(Key);
  }
  std::erase_if(this->Leases,
                [&](const auto &Each) { return Each.second.EndsAt < Now; });
  if (Gone.empty())
    return;
  ++this->Revision;
  for (const std::string &Key : Gone)
    this->erase(Key);
  this->Changed.notify_all();
}

void Store::serve(int Handle) {
  Reader From(Handle);
  while (true) {
    auto Start = From.line();
    if (!Start)
      break;
    std::size_t First = Start->find(' ');
    std::size_t Last = Start->rfind(' ');
    std::map<std::string, std::string> Fields;
    auto Line = From.line();
    while (Line && !Line->empty()) {
      std::size_t Colon = Line->find(':');
      std::string Name = Line->substr(0, Colon);
      std::ranges::transform(Name, Name.begin(), [](unsigned char Each) {
        return static_cast<char>(std::tolower(Each));
      });
      std::size_t Value = Line->find_first_not_of(' ', Colon + 1);
      Fields[Name] = Value == std::string::npos ? "" : Line->substr(Value);
      Line = From.line();
    }
    std::string Size = Fields["content-length"];
    auto Body = From.bytes(Size.empty() ? 0 : std::stoul(Size));
    if (!Body)
      break;
    Answer Reply =
        this->call(Start->substr(First + 1, Last - First - 1), *Body, Fields);
    if (!sendAll(Handle, "HTTP/1.1 " + std::to_string(Reply.Status) +
                             " -\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(Reply.Body.size()) + "\r\n\r\n" +
                             Reply.Body))
      break;
  }
  ::close(Handle);
}

Store::Answer Store::call(const std::string &Target, const std::string &Body,
                          const std::map<std::string, std::string> &Fields) {
  auto Query = queryOf(Target);
  std::string Path = Target.substr(0, Target.find('?'));
  auto Encode = [](const std::string &Key, const Item &Each) {
    return json::object{{"key", Key},
                        {"value", Each.Value},
                        {"revision", Each.Revision},
                        {"created", Each.Created},
                        {"lease", Each.Lease}};
  };
  if (Path == "/promote") {
    json::value Order = json::parse(Body);
    return {.Status =
                this->OnPromote(std::string(Order.at("service").as_string()),
                                std::string(Order.at("id").as_string()),
                                std::stoull(Fields.at("fence-token")))};
  }
  if (Path == "/api/kv-watch")
    return this->watch(Query);
  if (Path == "/api/kv-txn")
    return this->commit(Body);
  std::lock_guard Lock(this->Mutex);
  if (Path == "/api/kv-key") {
    auto Known = this->Items.find(Query["key"]);
    if (Known == this->Items.end())
      return {.Status = NotFound};
    json::object Reply = Encode(Known->first, Known->second);
    Reply["current_rev"] = this->Revision;
    return {.Body = json::serialize(Reply)};
  }
  if (Path == "/api/kv-range") {
    json::array Page;
    bool More = false;
    for (const auto &[Key, Each] : this->Items) {
      if (!Key.starts_with(Query["prefix"]) || Key <= Query["after"])
        continue;
      More = Page.size() == PageItems;
      if (More)
        break;
      Page.push_back(Encode(Key, Each));
    }
    return {.Body =
                json::serialize(json::object{{"items", std::move(Page)},
                                             {"more_pages", More},
                                             {"current_rev", this->Revision}})};
  }
  if (Path == "/api/kv-lease") {
    std::chrono::milliseconds Length(
        json::parse(Body).at("ttl_ms").to_number<std::int64_t>());
    std::uint64_t Id = this->NextLease++;
    this->Leases[Id] = {.Length = Length, .EndsAt = Clock::now() + Length};
    return {.Body = json::serialize(
                json::object{{"lease", Id}, {"ttl_ms", Length.count()}})};
  }
  bool Ends = Path.starts_with("/api/kv-lease-end/");
  if (!Ends && !Path.starts_with("/api/kv-keep/"))
    return {.Status = NotFound};
  auto Known = this->Leases.find(std::stoull(Path.substr(Path.rfind('/') + 1)));
  if (Known == this->Leases.end())
    return {.Status = NotFound};
  Known->second.EndsAt =
      Ends ? Clock::time_point{} : Clock::now() + Known->second.Length;
  return {.Body = json::serialize(
              json::object{{"ttl_ms", Known->second.Length.count()}})};
}

Store::Answer Store::watch(const std::map<std::string, std::string> &Query) {
  std::unique_lock Lock(this->Mutex);
  std::uint64_t After = std::stoull(Query.at("after"));
  auto Until =
      Clock::now() + std::chrono::milliseconds(std::stoll(Query.at("wait_ms")));
  json::array Events;
  auto Collect = [&] {
    for (const Change &Each : this->History) {
      if (Each.Now.Revision <= After ||
          !Each.Key.starts_with(Query.at("prefix")))
        continue;
      if (Each.Deleted)
        Events.push_back(json::object{{"key", Each.Key},
                                      {"revision", Each.Now.Revision},
                                      {"deleted", true}});
      else
        Events.push_back(json::object{{"key", Each.Key},
                                      {"value", Each.Now.Value},
                                      {"revision", Each.Now.Revision},
                                      {"created", Each.Now.Created},
                                      {"lease", Each.Now.Lease}});
    }
    return !Events.empty();
  };
  this->Changed.wait_until(Lock, Until, Collect);
  return {.Body = json::serialize(json::object{
              {"events", std::move(Events)}, {"current_rev", this->Revision}})};
}

Store::Answer Store::commit(const std::string &Body) {
  json::value Request = json::parse(Body);
  std::lock_guard Lock(this->Mutex);
  for (const json::value &Each : Request.at("if_rev").as_array()) {
    auto Known = this->Items.find(std::string(Each.at("key").as_string()));
    std::uint64_t Current =
        Known == this->Items.end() ? 0 : Known->second.Revision;
    if (Current != Each.at("revision").to_number<std::uint64_t>())
      return {.Status = ConditionFailed, .Body = R"({"items":[]})"};
  }
  for (const json::value &Each : Request.at("writes").as_array()) {
    auto Id = Each.at("lease").to_number<std::uint64_t>();
    if (Id != 0 && !this->Leases.contains(Id))
      return {.Status = NotFound};
  }
  ++this->Revision;
  for (const json::value &Each : Request.at("writes").as_array()) {
    std::string Key(Each.at("key").as_string());
    this->write(Key, std::string(Each.at("value").as_string()),
                Each.at("lease").to_number<std::uint64_t>());
    if (Key.find("/primary/") != std::string::npos)
      this->Log.write("store: " + Key + " written, revision " +
                      std::to_string(this->Revision));
  }
  for (const json::value &Each : Request.at("remove").as_array())
    this->erase(std::string(Each.as_string()));
  this->Changed.notify_all();
  return {.Body = json::serialize(json::object{{"revision", this->Revision}})};
}

} // namespace lab
