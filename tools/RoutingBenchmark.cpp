// Benchmarks the routing decisions for a request, without sockets.
#include "core/Digest.h"
#include "routing/Filters.h"
#include "routing/StatementFlow.h"

#include <benchmark/benchmark.h>

namespace turmericpitch {

namespace {

const ClientAccountId Account{"sabarmati"};
const WallTime WallNow{std::chrono::hours(24 * 20'000)};
constexpr int TypicalMembers = 3;
constexpr int MaxTokenEntries = 32;
constexpr int MaxGroupMembers = 15;
constexpr int TypicalDatabases = 3;
/// Databases that one daemon serves in the benchmark. At the target scale, two
/// shares of each of 8,300 databases spread over 4,700 daemons give far fewer;
/// this leaves a wide margin.
constexpr int TargetScaleDatabases = 4096;
constexpr int ManySessions = 100'000;

DatabaseId databaseId(std::size_t Index) {
  return DatabaseId{"orders-" + std::to_string(Index)};
}

Database makeDatabase(std::size_t Index, std::size_t Members) {
  Database Created;
  Created.Id = databaseId(Index);
  for (std::size_t Each = 0; Each < Members; ++Each) {
    DatabaseMember Member;
    Member.Id = UpstreamId{"order-desk-member-" + std::to_string(Each)};
    Member.Where = {.Address = "10.0.0.1",
                    .Port = static_cast<std::uint16_t>(7200 + Each)};
    Member.Zone = ZoneId{"zone-" + std::to_string(Each % 3)};
    Created.Members.push_back(std::move(Member));
  }
  return Created;
}

MemberStatus makeStatus(const DatabaseMember &Member, bool Primary,
                        std::uint64_t Position) {
  MemberStatus Status;
  Status.Id = Member.Id;
  Status.Role = Primary ? MemberRole::Primary : MemberRole::Replica;
  Status.AcceptedTerm = Term{3};
  Status.History =
      TermHistory({{.NewTerm = Term{1}, .PrecedingPosition = LogPosition{0}},
                   {.NewTerm = Term{3}, .PrecedingPosition = LogPosition{40}}});
  Status.AppliedPosition = LogPosition{Position};
  Status.LastEntry = Status.History.entryAt(Status.AppliedPosition);
  return Status;
}

/// Adds databases whose members are all up to date and have reported their
/// status over some seconds.
void populate(UpstreamController &Upstreams, std::size_t Databases,
              std::size_t Members) {
  for (std::size_t Index = 0; Index < Databases; ++Index) {
    Database Each = makeDatabase(Index, Members);
    Upstreams.onConfigured(Each);
    for (int Round = 0; Round < 100; ++Round)
      for (std::size_t MemberIndex = 0; MemberIndex < Members; ++MemberIndex)
        Upstreams.onStatus(
            Each.Id,
            makeStatus(Each.Members[MemberIndex], MemberIndex == 0, 1000),
            TimePoint(std::chrono::milliseconds(100) * (Round + 1)));
  }
}

const TimePoint Now{std::chrono::seconds(11)};

SessionToken makeToken(std::size_t Databases) {
  SessionToken Token;
  for (std::size_t Index = 0; Index < Databases; ++Index)
    Token = Token.advanced(databaseId(Index), {.WrittenIn = Term{3},
                                               .Position = LogPosition{900}});
  return Token;
}

SessionTokenCodec makeCodec() {
  std::vector<TokenKey> Keys;
  Keys.push_back({.Id = "key-1", .Secret = "0123456789abcdef"});
  return SessionTokenCodec(std::move(Keys));
}

void tokenCheck(benchmark::State &State) {
  SessionTokenCodec Codec = makeCodec();
  SessionToken Token = makeToken(static_cast<std::size_t>(State.range(0)));
  auto Text = toOutcome([&] { return Codec.encode(Token, Account); });
  for (auto Each : State)
    benchmark::DoNotOptimize(toOutcome(
        [&] { return Codec.decode(Text.value(), Account, WallNow); }));
}
BENCHMARK(tokenCheck)->Arg(1)->Arg(TypicalDatabases)->Arg(MaxTokenEntries);

void tokenIssue(benchmark::State &State) {
  SessionTokenCodec Codec = makeCodec();
  SessionToken Token = makeToken(static_cast<std::size_t>(State.range(0)));
  for (auto Each : State)
    benchmark::DoNotOptimize(
        toOutcome([&] { return Codec.encode(Token, Account); }));
}
BENCHMARK(tokenIssue)->Arg(1)->Arg(TypicalDatabases)->Arg(MaxTokenEntries);

void routingDecision(benchmark::State &State, bool BoundedStaleness) {
  UpstreamController Upstreams;
  populate(Upstreams, 1, static_cast<std::size_t>(State.range(0)));
  SharedDatabaseView View = Upstreams.view(databaseId(0));
  RoutingOptions Options;
  Options.Zone = ZoneId{"zone-1"};
  RandomSource Random(1);
  ReadRequirements Needs;
  Needs.Seen = {.WrittenIn = Term{3}, .Position = LogPosition{900}};
  if (BoundedStaleness)
    Needs.MaximumAge = std::chrono::seconds(5);
  for (auto Each : State)
    benchmark::DoNotOptimize(toOutcome(
        [&] { return chooseForRead(*View, Needs, Options, Now, Random); }));
}
BENCHMARK_CAPTURE(routingDecision, session, false)
    ->Arg(TypicalMembers)
    ->Arg(MaxGroupMembers);
BENCHMARK_CAPTURE(routingDecision, stated_age, true)
    ->Arg(TypicalMembers)
    ->Arg(MaxGroupMembers);

void viewRead(benchmark::State &State) {
  UpstreamController Upstreams;
  auto Databases = static_cast<std::size_t>(State.range(0));
  populate(Upstreams, Databases, TypicalMembers);
  std::vector<DatabaseId> Ids;
  for (std::size_t Index = 0; Index < Databases; ++Index)
    Ids.push_back(databaseId(Index));
  std::size_t DatabaseIndex = 0;
  for (auto Each : State)
    benchmark::DoNotOptimize(Upstreams.view(Ids[DatabaseIndex++ % Databases]));
}
BENCHMARK(viewRead)->Arg(1)->Arg(64)->Arg(TargetScaleDatabases);

void viewWrite(benchmark::State &State) {
  UpstreamController Upstreams;
  auto Members = static_cast<std::size_t>(State.range(0));
  populate(Upstreams, 1, Members);
  Database Each = makeDatabase(0, Members);
  MemberStatus Status = makeStatus(Each.Members[1 % Members], false, 1000);
  for (auto Round : State)
    Upstreams.onStatus(Each.Id, Status, Now);
}
BENCHMARK(viewWrite)->Arg(TypicalMembers)->Arg(MaxGroupMembers);

SharedConfiguration makeConfiguration(std::size_t Databases) {
  Brand Kaveri{.Id = BrandId{"kaveri"}, .Host = "db.example"};
  DatabaseService Desk{
      .Id = ServiceId{"desk"}, .Owner = Kaveri.Id, .Databases = {}};
  std::map<ObjectKey, ObjectRecord> Records;
  auto Put = [&](ObjectKind Kind, const std::string &Id, std::string Json) {
    Records[ObjectKey{.Kind = Kind, .Id = Id}] = {.SetBy = TicketNumber{1},
                                                  .Json = std::move(Json)};
  };
  for (std::size_t Index = 0; Index < Databases; ++Index) {
    Database Each = makeDatabase(Index, TypicalMembers);
    Desk.Databases.push_back(Each.Id);
    Put(ObjectKind::Database, Each.Id.Value, toJson(Each));
  }
  ClientAccount Caller;
  Caller.Id = Account;
  Caller.Owner = Kaveri.Id;
  Caller.CredentialDigest = sha256Hex("credential");
  Caller.Services = {Desk.Id};
  Put(ObjectKind::Brand, "kaveri", toJson(Kaveri));
  Put(ObjectKind::DatabaseService, "desk", toJson(Desk));
  Put(ObjectKind::ClientAccount, Account.Value, toJson(Caller));
  auto Built = toOutcome([&] {
    return ConfigurationSnapshot::build(Revision{1}, TicketNumber{1}, Records);
  });
  if (!Built)
    throw std::runtime_error(Built.error().Message);
  return std::make_shared<ConfigurationSnapshot>(std::move(Built.value()));
}

/// Filter chain, statement flow with one attempt, and the token of the answer.
void fullChain(benchmark::State &State) {
  auto Databases = static_cast<std::size_t>(State.range(0));
  auto Sessions = static_cast<std::size_t>(State.range(1));
  UpstreamController Upstreams;
  populate(Upstreams, Databases, TypicalMembers);
  SharedConfiguration Configuration = makeConfiguration(Databases);
  auto Codec = std::make_shared<const SessionTokenCodec>(makeCodec());
  StatementChain Chain(AccountFilter{},
                       DeadlineFilter{std::chrono::seconds(30)},
                       TokenFilter{Codec});
  std::vector<std::string> Texts;
  for (std::size_t Index = 0; Index < Sessions; ++Index)
    Texts.push_back(toOutcome([&] {
                      return Codec->encode(makeToken(1), Account);
                    }).value());
  StatementRequest Request;
  Request.Id = RequestId{"entry-1-4242-1"};
  Request.Host = "db.example";
  Request.Credential = "credential";
  Request.Service = ServiceId{"desk"};
  Request.Target = databaseId(0);
  Request.Statement = "get job-17";
  MemberAnswer Answer;
  Answer.Id = Request.Id;
  Answer.Status =
      makeStatus(makeDatabase(0, TypicalMembers).Members[1], false, 1000);
  Answer.Rows = {"booked"};
  std::uint64_t Turn = 0;
  for (auto Each : State) {
    RequestContext Context;
    Context.Request = Request;
    Context.Request.TokenText = Texts[Turn % Sessions];
    Context.ArrivedAt = Now;
    Context.ArrivedAtWall = WallNow;
    Context.Configuration = Configuration;
    Context.View = Upstreams.view(Request.Target);
    auto Passed = toOutcome([&]() -> Result<std::monostate> {
      BOOST_LEAF_CHECK(Chain.apply(Context));
      return std::monostate{};
    });
    if (!Passed)
      State.SkipWithError(Passed.error().Message.c_str());
    StatementFlow Flow(std::move(Context), RoutingOptions{}, ++Turn);
    Flow.begin(Now);
    Upstreams.onStatus(Request.Target, Answer.Status, Now);
    StatementAction Last =
        Flow.onMemberOutcome(Answer, Upstreams.view(Request.Target), Now);
    const auto &Finished = std::get<FinishStatement>(Last).Answer;
    benchmark::DoNotOptimize(toOutcome(
        [&] { return Codec->encode(Finished.value().Token, Account); }));
  }
}
BENCHMARK(fullChain)
    ->Args({TypicalDatabases, 1})
    ->Args({64, 1})
    ->Args({1024, 1})
    ->Args({TypicalDatabases, ManySessions});

} // namespace

} // namespace turmericpitch

BENCHMARK_MAIN();
