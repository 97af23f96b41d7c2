// One scenario for each script of the review. Exit code: 0 if the rule held, 1
// if it was broken, 2 if the scenario couldn't run.
#include "review/lab/Lab.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

struct RouteOptions {
  std::string Name;
  std::string Host;
  std::string Service;
  std::string Kind;
  int TimeoutMs = 2000;
  int MaxStalenessMs = 2500;
};

std::string configuration(int Version, const std::vector<RouteOptions> &Routes,
                          const std::vector<const Database *> &Databases) {
  json::array RouteList;
  for (const RouteOptions &Each : Routes)
    RouteList.push_back(
        json::object{{"name", Each.Name},
                     {"host", Each.Host},
                     {"service", Each.Service},
                     {"kind", Each.Kind},
                     {"timeout_ms", Each.TimeoutMs},
                     {"latency_goal_ms", 400},
                     {"priority", 1},
                     {"max_staleness_ms", Each.MaxStalenessMs}});
  json::array Services;
  for (const Database *Each : Databases)
    Services.push_back(
        json::object{{"name", Each->options().Service},
                     {"max_conns", Each->options().MaxConnections},
                     {"sync_replicas", Each->options().SyncReplicas}});
  return json::serialize(
      json::object{{"version", Version},
                   {"routes", std::move(RouteList)},
                   {"services", std::move(Services)},
                   {"limits", json::object{{"tx_idle_ms", 5000}}}});
}

/// The platform, the databases and the daemons of a small deployment.
struct Deployment {
  Deployment(const std::string &RecordPath, bool Trouble)
      : Trouble(Trouble), Parts(RecordPath), Metadata(Parts) {
    std::string Template =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->Folder = mkdtemp(Template.data());
    this->CloudPort = serveHttp(this->Parts, [this](HttpRequest Request) {
      return this->onPromote(std::move(Request));
    });
  }
  ~Deployment() {
    for (const auto &Each : this->Daemons)
      Each->signal(SIGKILL);
    std::error_code Ignored;
    // Keeps the daemons' logs for a reader who asks for them.
    if (const char *Kept = std::getenv("LAB_LOGS"))
      std::filesystem::copy(this->Folder, Kept, Ignored);
    std::filesystem::remove_all(this->Folder, Ignored);
  }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  Database &addDatabase(DatabaseOptions Options) {
    this->Databases.push_back(std::make_unique<Database>(
        this->Parts, this->Metadata, std::move(Options)));
    return *this->Databases.back();
  }
  void addDaemons(const std::vector<std::string> &Zones) {
    std::map<std::string, std::string> Regions;
    for (const std::string &Zone : Zones)
      Regions[Zone] = "region-1";
    std::uint16_t Front = freePort("127.0.0.11");
    std::uint16_t Ready = freePort("127.0.0.11");
    std::uint16_t Peers = freePort("127.0.0.11");
    for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
      auto Name = "front-" + Zones[Index] + "-" + std::to_string(Index + 1);
      this->Daemons.push_back(std::make_unique<Daemon>(DaemonOptions{
          .Name = Name,
          .Zone = Zones[Index],
          .Address = "127.0.0." + std::to_string(11 + Index),
          .Zones = Regions,
          .Front = Front,
          .Ready = Ready,
          .FirstPeerPort = Peers,
          .StorePort =
              this->Metadata.addPort([this, Index](const std::string &Target) {
                if (Target.find("turmericpitch/primary") != std::string::npos)
                  this->LastReader = Index;
              }),
          .CloudPort = this->CloudPort,
          .Folder = this->Folder}));
      this->Daemons.back()->start();
    }
  }
  void configure(int Version, const std::vector<RouteOptions> &Routes) {
    std::vector<const Database *> All;
    for (const auto &Each : this->Databases)
      All.push_back(Each.get());
    this->Metadata.put("op/config", configuration(Version, Routes, All));
    this->Parts.Log.line("configuration " + std::to_string(Version) +
                         " acknowledged");
  }
  Awaitable<bool> awaitReady() {
    for (int Attempt = 0; Attempt < 100; ++Attempt) {
      std::size_t Ready = 0;
      for (const auto &Each : this->Daemons) {
        unsigned Status = co_await askReady(this->Parts, *Each);
        Ready += Status == 200 ? 1 : 0;
      }
      if (Ready == this->Daemons.size())
        co_return true;
      co_await this->Parts.pause(Milliseconds(150));
    }
    co_return false;
  }
  /// Retries an operation until it succeeds; false after ten seconds.
  /// Opens a session at the first daemon and writes once; ends the scenario if
  /// that fails.
  Awaitable<bool> begin(Session &By, std::string Host) {
    bool Ready = co_await this->awaitReady();
    const DaemonOptions &At = this->Daemons[0]->options();
    if (Ready)
      Ready = co_await By.open(At.Address, At.Front, Host);
    if (Ready)
      Ready = co_await this->writeOnce(By, "n", "WRITE job-1 end-mills");
    if (!Ready)
      this->finish(CouldNotRun);
    co_return Ready;
  }
  /// Opens a closed session after a pause; false if that failed.
  Awaitable<bool> reopen(Session &By, std::size_t Index, std::string Host) {
    const DaemonOptions &At = this->Daemons[Index]->options();
    bool Opened = co_await By.open(At.Address, At.Front, Host);
    if (!Opened)
      co_await this->Parts.pause(Milliseconds(100));
    co_return Opened;
  }
  Awaitable<bool> writeOnce(Session &By, std::string Id, std::string Text) {
    for (int Attempt = 0; Attempt < 50; ++Attempt) {
      auto Reply = co_await By.query(Id + "-" + std::to_string(Attempt), Text);
      if (succeeded(Reply))
        co_return true;
      if (By.closed())
        co_return false;
      co_await this->Parts.pause(Milliseconds(200));
    }
    co_return false;
  }
  void finish(int Code) {
    this->Result = Code;
    this->Parts.Loop.stop();
  }

  bool Trouble;
  Lab Parts;
  Store Metadata;
  std::uint16_t CloudPort = 0;
  std::string Folder;
  std::vector<std::unique_ptr<Database>> Databases;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  /// The daemon that read the primary records last.
  std::size_t LastReader = 0;
  int Result = CouldNotRun;

private:
  Awaitable<HttpReply> onPromote(HttpRequest Request) {
    HttpReply Reply{.Status = 404};
    json::value Body = json::parse(Request.Body);
    std::string Service(Body.at("service").as_string());
    std::string Id(Body.at("id").as_string());
    for (const auto &Each : this->Databases)
      if (Each->options().Service == Service)
        Reply.Status = Each->promote(Id);
    this->Parts.Log.line("promote " + Service + " " + Id + " -> " +
                         std::to_string(Reply.Status));
    co_return Reply;
  }
};

//--------------------------------------------------------------------------

/// sync_replicas is 1. One replica is draining: it still receives commits and
/// counts toward sync_replicas. The other one receives nothing for a while,
/// then the primary crashes.
struct PromotionScenario {
  Deployment &In;
  Database &Orders;
  std::map<std::string, double> Acknowledged;
  std::uint64_t NextId = 0;
  bool Stopping = false;
  bool Lost = false;

  Awaitable<void> write() {
    Session Writer(this->In.Parts, "writer");
    while (!this->Stopping) {
      if (Writer.closed()) {
        bool Opened = co_await this->In.reopen(Writer, 0, "bookings");
        if (!Opened)
          continue;
      }
      std::string Id = "w" + std::to_string(++this->NextId);
      this->In.Parts.Log.line("send " + Id);
      auto Reply = co_await Writer.query(Id, "WRITE job-" + Id + " booked");
      this->In.Parts.Log.line("answer " + Id + " " + joined(Reply));
      if (succeeded(Reply))
        this->Acknowledged[Id] = this->In.Parts.Log.now();
      co_await this->In.Parts.pause(Milliseconds(50));
    }
  }
  void onPromoted(const std::string &Member) {
    for (const auto &[Id, At] : this->Acknowledged) {
      if (this->Orders.logHolds(Member, Id))
        continue;
      this->Lost = true;
      this->In.Parts.Log.line("LOST " + Id + ": acknowledged at " +
                              std::to_string(At) + " s, not in the log of " +
                              Member);
    }
  }
  Awaitable<void> run() {
    this->Orders.OnPromoted = [this](const std::string &Member) {
      this->onPromoted(Member);
    };
    bool Ready = co_await this->In.awaitReady();
    if (!Ready)
      co_return this->In.finish(CouldNotRun);
    this->In.Parts.spawn(this->write());
    co_await this->In.Parts.pause(Milliseconds(5000));
    if (this->Acknowledged.size() < 10)
      co_return this->In.finish(CouldNotRun);
    if (this->In.Trouble) {
      this->Orders.drain(this->Orders.memberId(1));
      this->Orders.setDeaf(this->Orders.memberId(2), true);
    }
    co_await this->In.Parts.pause(Milliseconds(3000));
    if (this->In.Trouble)
      this->Orders.crash(this->Orders.memberId(0));
    co_await this->In.Parts.pause(Milliseconds(3500));
    if (this->In.Trouble)
      this->Orders.setDeaf(this->Orders.memberId(2), false);
    co_await this->In.Parts.pause(Milliseconds(3500));
    if (this->In.Trouble)
      this->Orders.restart(this->Orders.memberId(0));
    co_await this->In.Parts.pause(Milliseconds(4000));
    this->Stopping = true;
    this->In.Parts.Log.line("acknowledged " +
                            std::to_string(this->Acknowledged.size()) +
                            (this->Lost ? " BROKEN: LOST" : " held"));
    this->In.finish(this->Lost ? Broken : Held);
  }
};

int runPromotion(const std::string &RecordPath, bool Trouble) {
  Deployment In(RecordPath, Trouble);
  Database &Orders = In.addDatabase({.Service = "orders",
                                     .Zones = {"zone-a", "zone-b", "zone-c"},
                                     .SyncReplicas = 1});
  In.configure(10, {{.Name = "bookings",
                     .Host = "bookings",
                     .Service = "orders",
                     .Kind = "primary"}});
  In.addDaemons({"zone-a", "zone-a", "zone-b", "zone-c"});
  PromotionScenario Scenario{.In = In, .Orders = Orders};
  In.Parts.spawn(Scenario.run());
  In.Parts.Loop.run();
  return In.Result;
}

//--------------------------------------------------------------------------

/// A configuration removes the read_your_writes route of a database and adds
/// another one to a different service. The former service has had a failover,
/// the next one none.
struct MovedRouteScenario {
  Deployment &In;
  Database &Former;
  Database &Next;
  /// Commits of the session that were acknowledged.
  std::set<std::string> Own;
  std::set<std::string> Missing;
  std::size_t StaleReads = 0;

  void onRead(const std::string &Member, const std::string &Id,
              const std::set<std::string> &Applied) {
    for (const std::string &Each : this->Own) {
      if (Applied.contains(Each) || !Id.starts_with("r"))
        continue;
      ++this->StaleReads;
      this->In.Parts.Log.line("STALE " + Id + " runs on " + Member +
                              " without the session's commit " + Each);
      return;
    }
  }
  Awaitable<bool> writeAndRead(Session &By, std::string Prefix, int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      std::string Tag = Prefix + std::to_string(Index);
      auto Written = co_await By.query("w" + Tag, "WRITE fitting size-" + Tag);
      this->In.Parts.Log.line("answer w" + Tag + " " + joined(Written));
      if (!succeeded(Written))
        co_return false;
      this->Own.insert("w" + Tag);
      auto Read = co_await By.query("r" + Tag, "READ fitting");
      this->In.Parts.Log.line("answer r" + Tag + " " + joined(Read));
      if (!succeeded(Read))
        co_return false;
      co_await this->In.Parts.pause(Milliseconds(200));
    }
    co_return true;
  }
  Awaitable<void> run() {
    auto Check = [this](const std::string &Member, const std::string &Id,
                        const std::set<std::string> &Applied) {
      this->onRead(Member, Id, Applied);
    };
    this->Former.OnRead = Check;
    this->Next.OnRead = Check;
    Session Milliner(this->In.Parts, "milliner");
    Session Warm(this->In.Parts, "warm");
    bool Ready = co_await this->In.begin(Warm, "orders");
    if (!Ready)
      co_return;
    if (this->In.Trouble)
      this->Former.crash(this->Former.memberId(0));
    co_await this->In.Parts.pause(Milliseconds(6000));
    if (this->In.Trouble)
      this->Former.restart(this->Former.memberId(0));
    co_await this->In.Parts.pause(Milliseconds(2000));
    Ready = co_await this->In.reopen(Milliner, 0, "fittings");
    if (Ready)
      Ready = co_await this->writeAndRead(Milliner, "a", 5);
    if (!Ready)
      co_return this->In.finish(CouldNotRun);
    if (this->In.Trouble) {
      this->configureRoutes(11, "next");
      // Reads of the new service need none of the commits in the former one.
      this->Own.clear();
    }
    co_await this->In.Parts.pause(Milliseconds(4000));
    Ready = co_await this->writeAndRead(Milliner, "b", 20);
    if (!Ready)
      co_return this->In.finish(CouldNotRun);
    this->In.Parts.Log.line(
        "stale reads " + std::to_string(this->StaleReads) +
        (this->StaleReads > 0 ? " BROKEN: STALE" : " held"));
    this->In.finish(this->StaleReads > 0 ? Broken : Held);
  }
  void configureRoutes(int Version, const std::string &Service) {
    this->In.configure(Version, {{.Name = "fittings-" + Service,
                                  .Host = "fittings",
                                  .Service = Service,
                                  .Kind = "read_your_writes"},
                                 {.Name = "orders",
                                  .Host = "orders",
                                  .Service = "next",
                                  .Kind = "primary"}});
  }
};

int runMovedRoute(const std::string &RecordPath, bool Trouble) {
  Deployment In(RecordPath, Trouble);
  Database &Former = In.addDatabase(
      {.Service = "former", .Zones = {"zone-a", "zone-b", "zone-c"}});
  Database &Next = In.addDatabase(
      {.Service = "next", .Zones = {"zone-b", "zone-a", "zone-c"}});
  MovedRouteScenario Scenario{.In = In, .Former = Former, .Next = Next};
  Scenario.configureRoutes(10, "former");
  In.addDaemons({"zone-a"});
  In.Parts.spawn(Scenario.run());
  In.Parts.Loop.run();
  return In.Result;
}

//--------------------------------------------------------------------------

/// A client's statement has a line feed in its data.
struct LineFeedScenario {
  Deployment &In;
  Database &Orders;

  Awaitable<void> run() {
    Session Sender(this->In.Parts, "sender");
    bool Ready = co_await this->In.begin(Sender, "bookings");
    if (!Ready)
      co_return;
    std::string Text = std::string("WRITE job-2 hobs") +
                       (this->In.Trouble ? "\n" : " ") +
                       "QUERY q2 WRITE job-1 cancelled";
    this->In.Parts.Log.line("send q1, one message: " + json::serialize(Text));
    auto Reply = co_await Sender.query("q1", Text);
    this->In.Parts.Log.line("answer q1 " + joined(Reply));
    co_await this->In.Parts.pause(Milliseconds(500));
    bool Changed = false;
    bool Smuggled = false;
    for (const Run &Each : this->Orders.runs()) {
      Changed = Changed || (Each.Id == "q1" && Each.Text != Text);
      Smuggled = Smuggled || Each.Id == "q2";
    }
    this->In.Parts.Log.line(
        std::string("changed text ") + (Changed ? "yes" : "no") +
        ", statement inside another run " + (Smuggled ? "yes" : "no") +
        (Changed || Smuggled ? " BROKEN: UNASKED" : " held"));
    this->In.finish(Changed || Smuggled ? Broken : Held);
  }
};

int runLineFeed(const std::string &RecordPath, bool Trouble) {
  Deployment In(RecordPath, Trouble);
  Database &Orders = In.addDatabase(
      {.Service = "orders", .Zones = {"zone-a", "zone-b", "zone-c"}});
  In.configure(10, {{.Name = "bookings",
                     .Host = "bookings",
                     .Service = "orders",
                     .Kind = "primary"}});
  In.addDaemons({"zone-a"});
  LineFeedScenario Scenario{.In = In, .Orders = Orders};
  In.Parts.spawn(Scenario.run());
  In.Parts.Loop.run();
  return In.Result;
}

//--------------------------------------------------------------------------

/// The open connections to the store go silent. Later, the machine that reads
/// the store for the others is removed, and a configuration replaces a route by
/// one to another service.
struct SilentWatchScenario {
  Deployment &In;
  Database &Former;
  Database &Next;
  std::map<std::string, double> SentAt;
  bool Stopping = false;
  std::set<std::size_t> Removed;

  Awaitable<void> write(std::size_t Index) {
    std::string Name = "writer" + std::to_string(Index);
    Session Own(this->In.Parts, Name);
    for (std::size_t Count = 0; !this->Stopping; ++Count) {
      if (this->Removed.contains(Index))
        co_return;
      if (Own.closed()) {
        bool Opened = co_await this->In.reopen(Own, Index, "bookings");
        if (!Opened)
          continue;
      }
      std::string Id = Name + "-" + std::to_string(Count);
      this->SentAt[Id] = this->In.Parts.Log.now();
      this->In.Parts.Log.line("send " + Id);
      auto Reply = co_await Own.query(Id, "WRITE job booked-" + Id);
      this->In.Parts.Log.line("answer " + Id + " " + joined(Reply));
      co_await this->In.Parts.pause(Milliseconds(500));
    }
  }
  void configure(int Version, const std::string &Service) {
    this->In.configure(Version, {{.Name = "bookings-" + Service,
                                  .Host = "bookings",
                                  .Service = Service,
                                  .Kind = "primary"}});
  }
  Awaitable<void> run() {
    Session First(this->In.Parts, "first");
    bool Ready = co_await this->In.begin(First, "bookings");
    if (!Ready)
      co_return;
    for (std::size_t Index = 0; Index < this->In.Daemons.size(); ++Index)
      this->In.Parts.spawn(this->write(Index));
    co_await this->In.Parts.pause(Milliseconds(8000));
    if (this->In.Trouble) {
      this->In.Metadata.silenceConnections();
      this->In.Parts.Log.line("open connections to the store go silent");
    }
    co_await this->In.Parts.pause(Milliseconds(6000));
    if (this->In.Trouble) {
      Daemon &Reader = *this->In.Daemons[this->In.LastReader];
      this->Removed.insert(this->In.LastReader);
      Reader.signal(SIGKILL);
      this->In.Parts.Log.line("removed for good: " + Reader.options().Name);
    }
    co_await this->In.Parts.pause(Milliseconds(5000));
    this->configure(11, "next");
    // config_apply_ms is 3,000.
    double AppliedBy = this->In.Parts.Log.now() + 3.0;
    co_await this->In.Parts.pause(Milliseconds(12000));
    this->Stopping = true;
    std::size_t Late = 0;
    for (const Run &Each : this->Former.runs()) {
      auto Sent = this->SentAt.find(Each.Id);
      if (Sent == this->SentAt.end() || Sent->second <= AppliedBy)
        continue;
      ++Late;
      this->In.Parts.Log.line("CONFIG " + Each.Id + " sent at " +
                              std::to_string(Sent->second) +
                              " s was run by the old service");
    }
    this->In.Parts.Log.line(
        "in force by " + std::to_string(AppliedBy) +
        " s, run by the old service later: " + std::to_string(Late) +
        (Late > 0 ? " BROKEN: CONFIG" : " held"));
    this->In.finish(Late > 0 ? Broken : Held);
  }
};

int runSilentWatch(const std::string &RecordPath, bool Trouble) {
  Deployment In(RecordPath, Trouble);
  Database &Former = In.addDatabase(
      {.Service = "former", .Zones = {"zone-a", "zone-b", "zone-c"}});
  Database &Next = In.addDatabase(
      {.Service = "next", .Zones = {"zone-b", "zone-a", "zone-c"}});
  SilentWatchScenario Scenario{.In = In, .Former = Former, .Next = Next};
  Scenario.configure(10, "former");
  In.addDaemons({"zone-a", "zone-a", "zone-b", "zone-c"});
  In.Parts.spawn(Scenario.run());
  In.Parts.Loop.run();
  return In.Result;
}

//--------------------------------------------------------------------------

/// Clients prepare statements whose texts differ, as clients do that write
/// their values into the text. A process over its memory limit is killed and
/// started again, as the platform does.
struct DistinctShapesScenario {
  Deployment &In;
  std::vector<std::size_t> Kills = {0, 0};
  std::size_t Shapes = 0;
  std::size_t Unanswered = 0;
  double Peak = 0;
  bool Stopping = false;

  Awaitable<void> client(std::size_t Index) {
    constexpr std::size_t ShapeBytes = 50'000;
    constexpr std::size_t StatementsPerSession = 20;
    std::string Name = "c" + std::to_string(Index);
    for (std::size_t Count = 0; !this->Stopping; ++Count) {
      Session Own(this->In.Parts, Name);
      bool Opened = co_await this->In.reopen(Own, Index % 2, "orders");
      if (!Opened)
        continue;
      for (std::size_t Each = 0;
           Each < StatementsPerSession && !this->Stopping && !Own.closed();
           ++Each) {
        std::string Id =
            Name + "-" + std::to_string(Count) + "-" + std::to_string(Each);
        std::string Shape(ShapeBytes, 'q');
        if (this->In.Trouble)
          Shape += Id;
        ++this->Shapes;
        auto Prepared =
            co_await Own.query(Id + "p", "PREPARE s1 READ " + Shape);
        auto Reply = co_await Own.query(Id, "EXECUTE s1 hobs");
        auto Freed = co_await Own.query(Id + "d", "DEALLOC s1");
        this->Unanswered += Reply.empty() ? 1 : 0;
        // One of each session; the others are alike.
        if (Each == 0)
          this->In.Parts.Log.line(
              "send " + Id + " PREPARE of " + std::to_string(Shape.size()) +
              " bytes, answer " + joined(Prepared) + "; EXECUTE, answer " +
              joined(Reply) + "; DEALLOC, answer " + joined(Freed));
      }
      Own.close();
    }
  }
  /// Enforces the memory limit of a machine.
  Awaitable<void> limit(std::size_t Index) {
    constexpr double LimitMegabytes = 260;
    while (!this->Stopping) {
      co_await this->In.Parts.pause(Milliseconds(50));
      Daemon &Each = *this->In.Daemons[Index];
      double Used = Each.memory();
      this->Peak = std::max(this->Peak, Used);
      if (Used <= LimitMegabytes)
        continue;
      ++this->Kills[Index];
      Each.signal(SIGKILL);
      this->In.Parts.Log.line(
          "over its memory limit with " + std::to_string(Used) +
          " MB, killed: " + Each.options().Name + " after " +
          std::to_string(this->Shapes) + " statements prepared at both");
      co_await this->In.Parts.pause(Milliseconds(300));
      Each.start();
    }
  }
  Awaitable<void> run() {
    Session First(this->In.Parts, "first");
    bool Ready = co_await this->In.begin(First, "orders");
    if (!Ready)
      co_return;
    First.close();
    for (std::size_t Index = 0; Index < 2; ++Index)
      this->In.Parts.spawn(this->limit(Index));
    for (std::size_t Index = 0; Index < 8; ++Index)
      this->In.Parts.spawn(this->client(Index));
    for (int Second = 0; Second < 85; ++Second) {
      co_await this->In.Parts.pause(Milliseconds(1000));
      if (this->Kills[0] >= 3 && this->Kills[1] >= 3)
        break;
    }
    this->Stopping = true;
    co_await this->In.Parts.pause(Milliseconds(1000));
    bool Fault = this->Kills[0] >= 3 && this->Kills[1] >= 3;
    this->In.Parts.Log.line(
        std::to_string(this->Shapes) + " statements prepared, peak memory " +
        std::to_string(this->Peak) + " MB, ends " +
        std::to_string(this->Kills[0]) + " and " +
        std::to_string(this->Kills[1]) + ", statements without an answer " +
        std::to_string(this->Unanswered) +
        (Fault ? " BROKEN: Fault" : " held"));
    this->In.finish(Fault ? Broken : Held);
  }
};

int runDistinctShapes(const std::string &RecordPath, bool Trouble) {
  Deployment In(RecordPath, Trouble);
  In.addDatabase({.Service = "orders",
                  .Zones = {"zone-a", "zone-b", "zone-a"},
                  .ReadTime = Milliseconds(5)});
  In.configure(10, {{.Name = "orders",
                     .Host = "orders",
                     .Service = "orders",
                     .Kind = "bounded_staleness"}});
  In.addDaemons({"zone-a", "zone-b"});
  DistinctShapesScenario Scenario{.In = In};
  In.Parts.spawn(Scenario.run());
  In.Parts.Loop.run();
  return In.Result;
}

} // namespace

} // namespace review

int main(int Count, char **Arguments) {
  if (Count != 3) {
    std::cerr << "usage: lab SCENARIO RECORD\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char *Setting = std::getenv("TROUBLE");
  bool Trouble = !Setting || std::string(Setting) != "0";
  std::string Name = Arguments[1];
  try {
    if (Name == "promotion")
      return review::runPromotion(Arguments[2], Trouble);
    if (Name == "moved-route")
      return review::runMovedRoute(Arguments[2], Trouble);
    if (Name == "line-feed")
      return review::runLineFeed(Arguments[2], Trouble);
    if (Name == "silent-watch")
      return review::runSilentWatch(Arguments[2], Trouble);
    if (Name == "distinct-shapes")
      return review::runDistinctShapes(Arguments[2], Trouble);
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << "\n";
    return 2;
  }
  std::cerr << "no such scenario\n";
  return 2;
}
