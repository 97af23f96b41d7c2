#include "tools/DecoderFuzz.h"

#include "configuration/Ticket.h"
#include "core/RandomSource.h"
#include "drivers/HttpMessages.h"
#include "drivers/MemberCodec.h"
#include "drivers/PlatformCodec.h"
#include "failover/LeaseMessages.h"
#include "limits/LimitMessages.h"
#include "limits/OwnerTable.h"
#include "main/DaemonSettings.h"
#include "main/StatusTable.h"
#include "membership/InstanceRegistry.h"
#include "membership/PeerFrame.h"
#include "platform/InstanceSettings.h"
#include "platform/SessionLines.h"
#include "platform/StoreCalls.h"
#include "platform/StoredObjects.h"
#include "session/SessionToken.h"
#include "tools/LoadPlan.h"

namespace turmericpitch {

namespace {

constexpr std::uint32_t MaxMutations = 4;
constexpr std::uint32_t MaxInsertionLength = 64;
constexpr std::uint32_t ByteValues = 256;

const std::vector<TokenKey> &fuzzTokenKeys() {
  static const std::vector<TokenKey> Keys{
      {.Id = "fuzz", .Secret = "fuzz-secret-0123456789"}};
  return Keys;
}

const std::vector<PeerKey> &fuzzPeerKeys() {
  static const std::vector<PeerKey> Keys{
      {.Id = "fuzz", .Secret = "fuzz-secret-0123456789"}};
  return Keys;
}

/// Runs a decoder through toOutcome() and returns a description of the problem,
/// or "". An exception that escapes the decoder appears as an error of a kind
/// that decoders don't return.
template <typename Callable> std::string findProblem(Callable &&Decode) {
  auto Decoded = toOutcome(std::forward<Callable>(Decode));
  if (Decoded)
    return "";
  const Error &Failure = Decoded.error();
  bool HasDecoderKind = Failure.Kind == ErrorKind::BadRequest ||
                        Failure.Kind == ErrorKind::Forbidden;
  if (!HasDecoderKind)
    return "error of an unexpected kind: " + Failure.Message;
  return Failure.Remedy.empty() ? "error without a remedy" : "";
}

std::string fuzzTicket(const std::string &Input) {
  return findProblem([&] { return parseTicket(Input, "fuzz"); });
}

std::string fuzzSettings(const std::string &Input) {
  return findProblem([&] { return parseDaemonSettings(Input, "fuzz"); });
}

std::string fuzzLoadPlan(const std::string &Input) {
  return findProblem([&] { return parseLoadPlan(Input, "fuzz"); });
}

std::string fuzzToken(const std::string &Input) {
  static const SessionTokenCodec Codec(fuzzTokenKeys());
  return findProblem(
      [&] { return Codec.decode(Input, ClientAccountId{"a"}, WallTime{}); });
}

std::string fuzzPeerFrame(const std::string &Input) {
  static const PeerFrameCodec Codec(fuzzPeerKeys());
  return findProblem([&] { return Codec.decode(Input); });
}

std::string fuzzMemberRequest(const std::string &Input) {
  for (const char *Target : {"/execute", "/wait", "/begin", "/commit",
                             "/rollback", "/seal", "/promote", "/follow"}) {
    std::string Problem =
        findProblem([&] { return decodeMemberRequest(Target, Input); });
    if (!Problem.empty())
      return Problem;
  }
  return "";
}

std::string fuzzMemberAnswer(const std::string &Input) {
  decodeError(Input);
  return findProblem([&] { return decodeMemberAnswer(Input); });
}

std::string fuzzPlatformRequest(const std::string &Input) {
  for (const char *Target : {"/v3/kv/range", "/v3/kv/txn", "/v3/lease/grant"}) {
    std::string Problem =
        findProblem([&] { return decodeKeyValueRequest(Target, Input); });
    if (!Problem.empty())
      return Problem;
  }
  return findProblem([&] { return decodeWatchRequest(Input); });
}

std::string fuzzPlatformAnswer(const std::string &Input) {
  std::string Problem =
      findProblem([&] { return decodeKeyValueAnswer(Input); });
  if (!Problem.empty())
    return Problem;
  return findProblem([&] { return decodeWatchBatch(Input); });
}

std::string fuzzStatus(const std::string &Input) {
  return findProblem([&] { return formatStatus(Input); });
}

std::string fuzzHttpRequest(const std::string &Input) {
  HttpRequestReader Reader(HttpLimits{});
  auto Used = Reader.feed(Input);
  if (!Used)
    return Used.error().Remedy.empty() ? "error without a remedy" : "";
  if (Used.value() > Input.size())
    return "consumed more bytes than were given";
  if (Reader.done())
    Reader.take();
  return "";
}

std::string fuzzHttpReply(const std::string &Input) {
  HttpReplyReader Reader(HttpLimits{});
  auto Used = Reader.feed(Input);
  return Used && Used.value() > Input.size()
             ? "consumed more bytes than were given"
             : "";
}

std::string sampleToken() {
  SessionTokenCodec Codec(fuzzTokenKeys());
  SessionToken Token = SessionToken().advanced(
      DatabaseId{"bookings"}, {.WrittenIn = Term{2}, .Position = {17}});
  auto Text =
      toOutcome([&] { return Codec.encode(Token, ClientAccountId{"a"}); });
  return Text ? Text.value() : "";
}

std::string sampleFrame() {
  PeerFrameCodec Codec(fuzzPeerKeys());
  PeerFrame Frame{.From = InstanceId{"entry-1"},
                  .Topic = PeerTopic::Membership,
                  .Payload = "payload"};
  auto Bytes = toOutcome([&] { return Codec.encode(Frame); });
  return Bytes ? Bytes.value() : "";
}

constexpr const char *SampleTicket =
    "ticket: 1\nbrands:\n  - {name: kaveri, host: db.example}\n"
    "client_accounts:\n  - {name: a, brand: kaveri, credential_digest: "
    "0000000000000000000000000000000000000000000000000000000000000000, "
    "services: [s]}\ndatabase_services:\n  - {name: s, brand: kaveri, "
    "databases: [d]}\ndatabases:\n  - name: d\n    connection_limit: 20\n"
    "    slots: 3\n    members:\n      - {upstream: m, address: "
    "\"127.0.0.1:1\", availability_zone: z}\n"
    "removed: [{kind: brand, name: x}]\n";
constexpr const char *SampleSettings =
    "instance: e\navailability_zone: z\nlisten: {callers: 127.0.0.1:1, "
    "operators: 127.0.0.1:2, peers: 127.0.0.1:3}\nplatform: 127.0.0.1:4\n"
    "routing: {replica_wait: 20ms}\nthreads: 2\n";
constexpr const char *SampleLoadPlan =
    "name: n\nfleet: {databases: 2}\nlength: 5s\nmix: {bookings: 1}\n"
    "faults:\n  - {at: 1s, do: crash_primary, database: 1}\n";
constexpr const char *SampleAnswer =
    R"({"request_id":"r","status":{"upstream":"a","role":"primary","term":2,)"
    R"("received":{"term":2,"position":9},"applied":9,"history":[{"term":1,)"
    R"("after":0},{"term":2,"after":5}]},"rows":["x"],"written":{"term":2,)"
    R"("position":9},"repeated":false})";
constexpr const char *SampleExecute =
    R"({"request_id":"r","statement":"get x","write":true,"expected_term":2,)"
    R"("at_least":{"term":1,"position":2},"idempotency_key":"k"})";
constexpr const char *SampleTransaction =
    R"({"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL",)"
    R"("mod_revision":"5"}],"success":[{"requestPut":{"key":"YQ==",)"
    R"("value":"Yg==","lease":"0"}}]})";
constexpr const char *SampleRange =
    R"({"header":{"revision":"6"},"kvs":[{"key":"YQ==","value":"Yg==",)"
    R"("mod_revision":"6"}],"result":{"events":[{"type":"PUT","kv":{}}]}})";
constexpr const char *SampleStatus =
    R"({"instance":"e","newest_in_force":1,"databases":{"d":{"term":1,)"
    R"("primary":"a","members":[{"upstream":"a","known":true}]}}})";
constexpr const char *SampleHttpRequest =
    "POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
constexpr const char *SampleHttpReply =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";

/// Applies one random mutation.
void mutate(std::string &Input, RandomSource &Random) {
  auto RandomOffset = [&](std::size_t Size) {
    return Random.nextBelow(static_cast<std::uint32_t>(Size) + 1);
  };
  constexpr std::uint32_t Kinds = 5;
  switch (Random.nextBelow(Kinds)) {
  case 0:
    if (!Input.empty())
      Input[Random.nextBelow(static_cast<std::uint32_t>(Input.size()))] =
          static_cast<char>(Random.nextBelow(ByteValues));
    break;
  case 1:
    Input.resize(RandomOffset(Input.size()));
    break;
  case 2:
    Input.insert(RandomOffset(Input.size()),
                 Random.nextBelow(MaxInsertionLength) + 1,
                 static_cast<char>(Random.nextBelow(ByteValues)));
    break;
  case 3: {
    std::size_t From = RandomOffset(Input.size());
    Input.insert(RandomOffset(Input.size()),
                 Input.substr(From, Random.nextBelow(MaxInsertionLength)));
    break;
  }
  default: {
    std::size_t From = RandomOffset(Input.size());
    Input.erase(From, Random.nextBelow(MaxInsertionLength));
    break;
  }
  }
}

std::string fuzzCallerLine(const std::string &Input) {
  CallerLine Line = decodeCallerLine(Input);
  const auto *Parsed = std::get_if<Statement>(&Line);
  if (!Parsed)
    return "";
  // The member must read exactly this statement, also if it takes a line feed
  // or NUL for the end of a line.
  auto Sent = encodeForMember(*Parsed, std::nullopt, std::nullopt);
  if (!Sent)
    return "decoded, but can't be encoded";
  const std::string &Bytes = Sent.value().bytes();
  if (Bytes != "QUERY " + Parsed->Id + " " + Parsed->Text + "\r\n")
    return "statement changed";
  std::string_view Sole(Bytes.data(), Bytes.size() - 2);
  return forbiddenCharacter(Sole).empty() ? "" : "more than one line";
}

std::string fuzzMemberLines(const std::string &Input) {
  return findProblem([&]() -> Result<bool> {
    MemberReplyReader Reader;
    std::size_t From = 0;
    while (From < Input.size()) {
      std::size_t End = std::min(Input.find('\n', From), Input.size());
      BOOST_LEAF_AUTO(
          Whole, Reader.feed(std::string_view(Input).substr(From, End - From)));
      if (Whole && !Whole->Rows.empty())
        BOOST_LEAF_CHECK(decodeMemberReport(*Whole));
      From = End + 1;
    }
    return true;
  });
}

std::string fuzzInstanceSettings(const std::string &Input) {
  return findProblem([&] { return decodeInstanceSettings(Input, "fuzz"); });
}

std::string fuzzRouteTable(const std::string &Input) {
  return findProblem([&] { return decodeRouteTable(Input); });
}

std::string fuzzMemberEntry(const std::string &Input) {
  return findProblem([&] {
    return decodeMemberEntry(
        {.Key = std::string(MembersPrefix) + "i-1", .Value = Input});
  });
}

std::string fuzzPrimaryRecord(const std::string &Input) {
  return findProblem([&] {
    return decodePrimaryRecord(
        {.Key = primaryRecordKey({"ledger"}), .Value = Input});
  });
}

std::string fuzzLeaseMessage(const std::string &Input) {
  return findProblem([&] { return decodeLeaseMessage(Input); });
}

std::string fuzzLimitMessage(const std::string &Input) {
  return findProblem([&] { return decodeLimitMessage(Input); });
}

std::string fuzzOwnerTable(const std::string &Input) {
  return findProblem([&] {
    return decodeOwnerTable(
        {.Key = std::string(OwnerTableKey), .Value = Input});
  });
}

std::string fuzzStoreReplies(const std::string &Input) {
  HttpReply Reply{.Status = 200, .Body = Input};
  auto LacksRemedy = [](const auto &Decoded) {
    return !Decoded && Decoded.error().Remedy.empty();
  };
  bool Bad =
      LacksRemedy(decodePage(Reply)) || LacksRemedy(decodeKeyRead(Reply)) ||
      LacksRemedy(decodeWatch(Reply)) || LacksRemedy(decodeCommit(Reply)) ||
      LacksRemedy(decodeLeaseGrant(Reply));
  return Bad ? "error without a remedy" : "";
}

const std::string SampleInstanceSettings =
    "node: a\nzone: z\nip: 10.0.0.1\nlisten: {front: '10.0.0.1:1', "
    "ready: '10.0.0.1:2'}\ninternal_ports: [7440, 7455]\n"
    "platform: {addr: '10.0.0.2:3'}\ncloud_api: {addr: '10.0.0.3:4'}\n";
const std::string SampleRouteTable =
    R"({"version":7,"routes":[{"name":"a","host":"x","kind":"primary",)"
    R"("service":"s","timeout_ms":1000,"latency_goal_ms":200}],)"
    R"("services":[{"name":"s","max_conns":60}],"limits":{"tx_idle_ms":3}})";
const std::string SampleMemberEntry =
    R"({"service":"s","addr":"10.1.0.9:8080","zone":"a","slots":5,)"
    R"("state":"ready","db_role":"primary","seq":4})";
const std::string SampleStorePage =
    R"({"items":[{"key":"k","value":"dg==","revision":4}],)"
    R"("more_pages":false,"current_rev":9})";

} // namespace

std::vector<FuzzTarget> fuzzTargets() {
  return {{"ticket", {SampleTicket}, fuzzTicket},
          {"settings", {SampleSettings}, fuzzSettings},
          {"load_plan", {SampleLoadPlan}, fuzzLoadPlan},
          {"session_token", {sampleToken()}, fuzzToken},
          {"peer_frame", {sampleFrame()}, fuzzPeerFrame},
          {"member_request", {SampleExecute}, fuzzMemberRequest},
          {"member_answer", {SampleAnswer}, fuzzMemberAnswer},
          {"platform_request", {SampleTransaction}, fuzzPlatformRequest},
          {"platform_answer", {SampleRange}, fuzzPlatformAnswer},
          {"status", {SampleStatus}, fuzzStatus},
          {"http_request", {SampleHttpRequest}, fuzzHttpRequest},
          {"http_reply", {SampleHttpReply}, fuzzHttpReply},
          {"caller_line",
           {"QUERY 1 PREPARE s WRITE q", "STARTUP db user", "QUERY 1 SET a b"},
           fuzzCallerLine},
          {"member_lines",
           {"DATAROW replica 3 3.12 0 1 2 3\nCOMPLETE -\nREADY I 3.12",
            "ERROR BUSY x\nREADY E -"},
           fuzzMemberLines},
          {"instance_settings", {SampleInstanceSettings}, fuzzInstanceSettings},
          {"route_table", {SampleRouteTable}, fuzzRouteTable},
          {"member_entry", {SampleMemberEntry}, fuzzMemberEntry},
          {"reign_record",
           {encodePrimaryRecord(
               {.Service = {"ledger"}, .Epoch = 1, .Primary = {"m"}})},
           fuzzPrimaryRecord},
          {"right_message",
           {encodeLeaseMessage(LeaseQuery{.Serial = 1}),
            encodeLeaseMessage(
                LeaseReply{.Serial = 1, .Services = {ServiceReport{}}})},
           fuzzLeaseMessage},
          {"limit_message",
           {encodeLimitMessage(LimitRequest{
                .Keepers = {{"k"}}, .Needs = {AccountNeed{.Account = {"a"}}}}),
            encodeLimitMessage(
                LimitReply{.News = OwnerTableNews{.Epoch = 1},
                           .Grants = {AccountGrant{.Account = {"a"}}}})},
           fuzzLimitMessage},
          {"limit_owners",
           {R"({"epoch":1,"owners":["a","b"],"previous":["a"],"era":0})"},
           fuzzOwnerTable},
          {"store_replies", {SampleStorePage}, fuzzStoreReplies}};
}

std::vector<FuzzFinding> runDecoderFuzz(const std::vector<FuzzTarget> &Targets,
                                        std::uint64_t Seed,
                                        std::uint64_t Rounds) {
  std::vector<FuzzFinding> Findings;
  for (const FuzzTarget &Target : Targets) {
    RandomSource Random(Seed);
    for (std::uint64_t Round = 0; Round < Rounds; ++Round) {
      std::string Input = Target.Corpus[Random.nextBelow(
          static_cast<std::uint32_t>(Target.Corpus.size()))];
      std::uint32_t Mutations = Random.nextBelow(MaxMutations + 1);
      for (std::uint32_t Index = 0; Index < Mutations; ++Index)
        mutate(Input, Random);
      std::string Problem = Target.Decode(Input);
      if (!Problem.empty())
        Findings.push_back({.Target = Target.Name,
                            .Seed = Seed,
                            .Round = Round,
                            .Problem = std::move(Problem),
                            .Input = std::move(Input)});
    }
  }
  return Findings;
}

} // namespace turmericpitch
