#include "review/lab/Lab.h"

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <iomanip>
#include <string_view>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &Bytes) {
  std::string Out;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (unsigned char Each : Bytes) {
    Group = (Group << 8U) | Each;
    Bits += 8;
    while (Bits >= 6) {
      Bits -= 6;
      Out += Alphabet[(Group >> static_cast<unsigned>(Bits)) & 63U];
    }
  }
  if (Bits > 0)
    Out += Alphabet[(Group << static_cast<unsigned>(6 - Bits)) & 63U];
  while (Out.size() % 4 != 0)
    Out += '=';
  return Out;
}

std::string decodeBase64(const std::string &Text) {
  std::string Out;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (char Each : Text) {
    std::size_t Value = Alphabet.find(Each);
    if (Value == std::string_view::npos)
      break;
    Group = (Group << 6U) | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Out += static_cast<char>((Group >> static_cast<unsigned>(Bits)) & 255U);
  }
  return Out;
}

std::string unescape(const std::string &Text) {
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

std::string queryField(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    std::size_t End = Target.find('&', At + 1);
    std::string Part =
        Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    if (Part.rfind(Name + "=", 0) == 0)
      return unescape(Part.substr(Name.size() + 1));
    At = End;
  }
  return "";
}

std::uint64_t numberOf(const std::string &Text) {
  return Text.empty() ? 0 : std::stoull(Text);
}

HttpReply jsonReply(const json::value &Body, unsigned Status = 200) {
  return {.Status = Status, .Body = json::serialize(Body)};
}

/// Reads what arrives and loses it, until the peer closes.
Awaitable<void> swallow(tcp::socket &Stream) {
  boost::system::error_code Failure;
  std::array<char, 4096> Lost{};
  while (!Failure)
    co_await Stream.async_read_some(
        asio::buffer(Lost), asio::redirect_error(asio::use_awaitable, Failure));
}

Awaitable<void> serveConnection(tcp::socket Stream, HttpHandler Handle,
                                Generation Newest) {
  std::uint64_t Own = *Newest;
  boost::system::error_code Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  std::string Buffer;
  while (true) {
    std::size_t Head = co_await asio::async_read_until(
        Stream, asio::dynamic_buffer(Buffer), "\r\n\r\n", Token);
    if (Failure)
      co_return;
    std::string Fields = Buffer.substr(0, Head);
    Buffer.erase(0, Head);
    HttpRequest Request;
    std::string First = Fields.substr(0, Fields.find("\r\n"));
    Request.Method = takeWord(First);
    Request.Target = takeWord(First);
    std::transform(Fields.begin(), Fields.end(), Fields.begin(),
                   [](unsigned char C) { return std::tolower(C); });
    std::size_t Length = 0;
    if (std::size_t At = Fields.find("content-length:");
        At != std::string::npos)
      Length = std::stoul(Fields.substr(At + 15));
    if (Buffer.size() < Length)
      co_await asio::async_read(Stream, asio::dynamic_buffer(Buffer),
                                asio::transfer_exactly(Length - Buffer.size()),
                                Token);
    if (Failure)
      co_return;
    Request.Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    if (Own != *Newest)
      co_return co_await swallow(Stream);
    HttpReply Reply = co_await Handle(std::move(Request));
    if (Own != *Newest)
      co_return co_await swallow(Stream);
    std::string Bytes = "HTTP/1.1 " + std::to_string(Reply.Status) +
                        " X\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(Reply.Body.size()) + "\r\n\r\n" +
                        Reply.Body;
    co_await asio::async_write(Stream, asio::buffer(Bytes), Token);
    if (Failure)
      co_return;
  }
}

Awaitable<void> acceptHttp(std::shared_ptr<tcp::acceptor> Acceptor,
                           HttpHandler Handle, Generation Newest) {
  while (true) {
    boost::system::error_code Failure;
    tcp::socket Stream = co_await Acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure)
      co_return;
    asio::co_spawn(Acceptor->get_executor(),
                   serveConnection(std::move(Stream), Handle, Newest),
                   asio::detached);
  }
}

} // namespace

void Record::line(const std::string &Text) {
  this->File << std::fixed << std::setprecision(3) << std::setw(8)
             << this->now() << " " << Text << "\n"
             << std::flush;
}

double Record::now() const {
  return std::chrono::duration<double>(SteadyClock::now() - this->Began)
      .count();
}

Awaitable<void> Lab::pause(Milliseconds Length) {
  asio::steady_timer Timer(this->Loop, Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

std::uint16_t freePort(const std::string &Address) {
  asio::io_context Loop;
  tcp::acceptor Acceptor(Loop,
                         tcp::endpoint(asio::ip::make_address(Address), 0));
  return Acceptor.local_endpoint().port();
}

std::string takeWord(std::string &Rest) {
  std::size_t Blank = Rest.find(' ');
  std::string Word = Rest.substr(0, Blank);
  Rest = Blank == std::string::npos ? "" : Rest.substr(Blank + 1);
  return Word;
}

std::uint16_t serveHttp(Lab &Owner, HttpHandler Handle, Generation Newest) {
  auto Acceptor = std::make_shared<tcp::acceptor>(
      Owner.Loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  asio::co_spawn(Owner.Loop,
                 acceptHttp(Acceptor, std::move(Handle), std::move(Newest)),
                 asio::detached);
  return Acceptor->local_endpoint().port();
}

Store::Store(Lab &Owner) : Owner(Owner) {
  this->Port = this->addPort([](const std::string &) {});
  Owner.spawn(this->expireLeases());
}

std::uint16_t
Store::addPort(std::function<void(const std::string &Target)> OnCall) {
  return serveHttp(
      this->Owner,
      [this, OnCall](HttpRequest Request) {
        OnCall(Request.Target);
        return this->answer(std::move(Request));
      },
      this->Newest);
}

void Store::put(const std::string &Key, const std::string &Value) {
  ++this->Revision;
  this->write(Key, Value, 0);
}

void Store::remove(const std::string &Key) {
  if (!this->Items.contains(Key))
    return;
  ++this->Revision;
  this->erase(Key);
}

void Store::write(const std::string &Key, const std::string &Value,
                  std::uint64_t LeaseId) {
  Item &Each = this->Items[Key];
  Each.Created = Each.Created == 0 ? this->Revision : Each.Created;
  Each.Value = Value;
  Each.Revision = this->Revision;
  Each.Lease = LeaseId;
  this->History.push_back(
      {.Revision = this->Revision, .Key = Key, .Written = Each});
}

void Store::erase(const std::string &Key) {
  if (this->Items.erase(Key) > 0)
    this->History.push_back(
        {.Revision = this->Revision, .Key = Key, .Written = std::nullopt});
}

void Store::endLease(std::uint64_t Id) {
  this->Leases.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, Each] : this->Items)
    if (Each.Lease == Id)
      Keys.push_back(Key);
  if (!Keys.empty())
    ++this->Revision;
  for (const std::string &Key : Keys)
    this->erase(Key);
}

Awaitable<void> Store::expireLeases() {
  while (true) {
    co_await this->Owner.pause(Milliseconds(20));
    std::vector<std::uint64_t> Ended;
    for (const auto &[Id, Each] : this->Leases)
      if (Each.EndsAt <= SteadyClock::now())
        Ended.push_back(Id);
    for (std::uint64_t Id : Ended)
      this->endLease(Id);
  }
}

Awaitable<HttpReply> Store::answer(HttpRequest Request) {
  const std::string &Target = Request.Target;
  std::string Path = Target.substr(0, Target.find('?'));
  if (Path == "/api/kv-key")
    co_return this->key(queryField(Target, "key"));
  if (Path == "/api/kv-range")
    co_return this->range(queryField(Target, "prefix"),
                          queryField(Target, "after"));
  if (Path == "/api/kv-watch")
    co_return co_await this->watch(
        queryField(Target, "prefix"), numberOf(queryField(Target, "after")),
        Milliseconds(numberOf(queryField(Target, "wait_ms"))));
  if (Path == "/api/kv-txn")
    co_return this->commit(Request.Body);
  co_return this->lease(Request);
}

HttpReply Store::key(const std::string &Name) const {
  json::object Body;
  auto Found = this->Items.find(Name);
  if (Found != this->Items.end())
    Body = {{"key", Name},
            {"value", encodeBase64(Found->second.Value)},
            {"revision", Found->second.Revision},
            {"created", Found->second.Created},
            {"lease", Found->second.Lease}};
  Body["current_rev"] = this->Revision;
  return jsonReply(Body, Found == this->Items.end() ? 404 : 200);
}

HttpReply Store::range(const std::string &Prefix,
                       const std::string &After) const {
  json::array All;
  for (const auto &[Key, Each] : this->Items)
    if (Key.starts_with(Prefix) && Key > After)
      All.push_back(json::object{{"key", Key},
                                 {"value", encodeBase64(Each.Value)},
                                 {"revision", Each.Revision},
                                 {"created", Each.Created},
                                 {"lease", Each.Lease}});
  return jsonReply(json::object{{"items", std::move(All)},
                                {"more_pages", false},
                                {"current_rev", this->Revision}});
}

Awaitable<HttpReply> Store::watch(std::string Prefix, std::uint64_t After,
                                  Milliseconds Wait) {
  auto Until = SteadyClock::now() + Wait;
  while (true) {
    json::array Events;
    for (const Event &Each : this->History) {
      if (Each.Revision <= After || !Each.Key.starts_with(Prefix))
        continue;
      if (Each.Written)
        Events.push_back(
            json::object{{"key", Each.Key},
                         {"value", encodeBase64(Each.Written->Value)},
                         {"revision", Each.Revision},
                         {"created", Each.Written->Created},
                         {"lease", Each.Written->Lease}});
      else
        Events.push_back(json::object{
            {"key", Each.Key}, {"revision", Each.Revision}, {"deleted", true}});
    }
    if (!Events.empty() || SteadyClock::now() >= Until)
      co_return jsonReply(json::object{{"events", std::move(Events)},
                                       {"current_rev", this->Revision}});
    co_await this->Owner.pause(Milliseconds(5));
  }
}

HttpReply Store::commit(const std::string &Body) {
  json::value Request = json::parse(Body);
  bool Holds = true;
  json::array Current;
  for (const json::value &Each : Request.at("if_rev").as_array()) {
    std::string Key(Each.at("key").as_string());
    auto Found = this->Items.find(Key);
    std::uint64_t Stored =
        Found == this->Items.end() ? 0 : Found->second.Revision;
    Holds = Holds && Stored == Each.at("revision").to_number<std::uint64_t>();
    if (Stored != 0)
      Current.push_back(
          json::object{{"key", Key},
                       {"value", encodeBase64(Found->second.Value)},
                       {"revision", Stored},
                       {"created", Found->second.Created},
                       {"lease", Found->second.Lease}});
  }
  if (!Holds)
    return jsonReply(json::object{{"items", std::move(Current)},
                                  {"current_rev", this->Revision}},
                     412);
  for (const json::value &Each : Request.at("writes").as_array()) {
    auto Lease = Each.at("lease").to_number<std::uint64_t>();
    if (Lease != 0 && !this->Leases.contains(Lease))
      return jsonReply(json::object{}, 404);
  }
  ++this->Revision;
  for (const json::value &Each : Request.at("writes").as_array())
    this->write(std::string(Each.at("key").as_string()),
                decodeBase64(std::string(Each.at("value").as_string())),
                Each.at("lease").to_number<std::uint64_t>());
  for (const json::value &Each : Request.at("remove").as_array())
    this->erase(std::string(Each.as_string()));
  return jsonReply(json::object{{"revision", this->Revision}});
}

HttpReply Store::lease(const HttpRequest &Request) {
  const std::string &Target = Request.Target;
  if (Target == "/api/kv-lease") {
    json::value Body = json::parse(Request.Body);
    Milliseconds Length(Body.at("ttl_ms").to_number<std::int64_t>());
    std::uint64_t Id = ++this->LastLease;
    this->Leases[Id] = {.Length = Length,
                        .EndsAt = SteadyClock::now() + Length};
    return jsonReply(json::object{{"lease", Id}, {"ttl_ms", Length.count()}});
  }
  std::uint64_t Id = numberOf(Target.substr(Target.rfind('/') + 1));
  auto Found = this->Leases.find(Id);
  if (Found == this->Leases.end())
    return jsonReply(json::object{}, 404);
  Milliseconds Length = Found->second.Length;
  if (Target.starts_with("/api/kv-keep/"))
    Found->second.EndsAt = SteadyClock::now() + Length;
  else
    this->endLease(Id);
  return jsonReply(json::object{{"lease", Id}, {"ttl_ms", Length.count()}});
}

} // namespace review
