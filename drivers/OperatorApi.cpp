#include "drivers/OperatorApi.h"

#include "configuration/TicketAcceptance.h"
#include "core/DecisionLog.h"
#include "core/Digest.h"
#include "core/Metrics.h"
#include "drivers/ChangeSignal.h"
#include "drivers/MemberCodec.h"

#include <charconv>

namespace turmericpitch {

namespace {

constexpr std::string_view Bearer = "Bearer ";
constexpr std::string_view TicketsTarget = "/v1/tickets";
constexpr std::string_view StatusTarget = "/v1/status";
constexpr std::string_view MetricsTarget = "/metrics";
constexpr unsigned NotFound = 404;
/// Maximum number of instances that are not live that an answer lists.
constexpr std::size_t MaxListedInstances = 100;
/// Maximum number of instances without a ticket that an answer lists.
constexpr std::size_t MaxListedPeers = 20;

/// Surveyed instances of an availability zone, and those with the ticket
/// active.
struct ZoneCount {
  std::size_t Instances = 0;
  std::size_t Active = 0;
};

HttpReply replyWithJson(const boost::json::object &Json) {
  HttpReply Reply;
  Reply.Body = boost::json::serialize(Json);
  return Reply;
}

HttpReply replyWithMetrics() {
  HttpReply Reply;
  Reply.ContentType = "text/plain; version=0.0.4";
  Reply.Body = processMetrics().scrape();
  return Reply;
}

boost::json::object describe(const DatabaseView &View) {
  boost::json::object Json;
  Json["term"] = View.newestTerm().Value;
  const MemberView *Primary = View.primary();
  Json["primary"] = Primary ? Primary->Configured.Id.Value : "";
  boost::json::array Members;
  for (const MemberView &Member : View.Members) {
    boost::json::object Entry;
    Entry["upstream"] = Member.Configured.Id.Value;
    Entry["known"] = Member.Last.has_value();
    Entry["failures"] = Member.FailuresInRow;
    if (Member.Last)
      Entry["applied"] = Member.Last->AppliedPosition.Value;
    Members.push_back(std::move(Entry));
  }
  Json["members"] = std::move(Members);
  return Json;
}

/// Counts the instances by state and lists those that are not live.
boost::json::object describe(const MembershipSnapshot &Membership) {
  boost::json::object Counts;
  boost::json::object Others;
  for (const InstanceView &Each : Membership.instances()) {
    boost::json::value &Count = Counts[toString(Each.State)];
    Count = Count.is_null() ? 1 : Count.as_int64() + 1;
    if (Each.State != InstanceState::Live && Others.size() < MaxListedInstances)
      Others[Each.Id.Value] = toString(Each.State);
  }
  boost::json::object Json;
  Json["joined"] = Membership.joined();
  Json["counts"] = std::move(Counts);
  Json["not_live"] = std::move(Others);
  return Json;
}

std::string missingReason(const SurveyedPeer &Each) {
  if (!Each.Report)
    return "no answer: the instance has stopped or is isolated from this one";
  if (Each.Report->Problem != ConfigurationProblem::None)
    return std::string(toString(Each.Report->Problem));
  return "the ticket has not reached the instance yet";
}

/// Adds the number of instances on which a ticket is active in each
/// availability zone, and lists the first instances on which it is not.
void addPeerStates(TicketNumber Wanted, const std::vector<SurveyedPeer> &Peers,
                   boost::json::object &Json) {
  std::map<ZoneId, ZoneCount> Zones;
  boost::json::array Missing;
  for (const SurveyedPeer &Each : Peers) {
    ZoneCount &Zone = Zones[Each.Peer.Zone];
    bool Active = Each.Report && Each.Report->Newest >= Wanted;
    ++Zone.Instances;
    Zone.Active += Active ? 1 : 0;
    if (Active || Missing.size() >= MaxListedPeers)
      continue;
    boost::json::object Entry;
    Entry["instance"] = Each.Peer.Id.Value;
    Entry["availability_zone"] = Each.Peer.Zone.Value;
    if (Each.Report)
      Entry["newest_in_force"] = Each.Report->Newest.Value;
    Entry["why"] = missingReason(Each);
    Missing.push_back(std::move(Entry));
  }
  boost::json::object ByZone;
  for (const auto &[Id, Count] : Zones)
    ByZone[Id.Value] = {{"peers", Count.Instances}, {"in_force", Count.Active}};
  Json["availability_zones"] = std::move(ByZone);
  Json["not_in_force"] = std::move(Missing);
}

} // namespace

OperatorApi::OperatorApi(OperatorApiOptions Options,
                         std::shared_ptr<ConfigurationController> Configuration,
                         std::shared_ptr<UpstreamController> Upstreams,
                         std::shared_ptr<PlatformClient> Platform,
                         std::shared_ptr<ConfigurationSync> Sync)
    : Options(std::move(Options)), Configuration(std::move(Configuration)),
      Upstreams(std::move(Upstreams)), Platform(std::move(Platform)),
      Sync(std::move(Sync)) {}

Awaitable<HttpReply> OperatorApi::handle(HttpRequest Request) {
  std::string_view Credential = Request.Authorization;
  bool Known = Credential.starts_with(Bearer) &&
               equalInConstantTime(sha256Hex(Credential.substr(Bearer.size())),
                                   this->Options.CredentialDigest);
  if (!Known)
    co_return replyWith({.Kind = ErrorKind::Forbidden,
                         .Message = "unknown operator credential",
                         .Remedy = "send Authorization: Bearer with the "
                                   "operators' credential"});
  std::string_view Target = Request.Target;
  if (Request.Method == "POST" && Target == TicketsTarget)
    co_return co_await this->submitTicket(std::move(Request.Body));
  if (Request.Method == "GET" && Target == MetricsTarget)
    co_return replyWithMetrics();
  if (Request.Method == "GET" && Target == StatusTarget)
    co_return this->showStatus();
  if (Request.Method == "GET" && Target.starts_with(TicketsTarget) &&
      Target.size() > TicketsTarget.size() + 1)
    co_return co_await this->showTicket(
        Target.substr(TicketsTarget.size() + 1));
  HttpReply Reply = replyWith({.Kind = ErrorKind::BadRequest,
                               .Message = "unknown path or method",
                               .Remedy = "use /v1/tickets or /v1/status"});
  Reply.Status = NotFound;
  co_return Reply;
}

Awaitable<HttpReply> OperatorApi::submitTicket(std::string Body) {
  auto Parsed = toOutcome([&] { return parseTicket(Body, "ticket"); });
  if (!Parsed)
    co_return replyWith(Parsed.error());
  TicketNumber Number = Parsed.value().Id;
  TicketAcceptance Acceptance(
      {.Change = std::move(Parsed.value()),
       .Base = this->Configuration->current(),
       .Seed = std::hash<InstanceId>{}(this->Options.Self) + this->NextSeed++});
  AcceptanceAction Action = Acceptance.begin();
  while (auto *Call = std::get_if<CallPlatform>(&Action)) {
    KeyValueRequest Request = std::move(Call->Request);
    if (Call->Delay > Duration{0})
      co_await sleepFor(Call->Delay);
    auto Answer = co_await this->Platform->call(std::move(Request));
    Action = Acceptance.onAnswer(Answer);
  }
  const Outcome<AcceptedTicket> &Accepted =
      std::get<AcceptanceDone>(Action).Accepted;
  DecisionLine Line("accept_ticket");
  Line.field("ticket", Number.Value)
      .field("outcome",
             Accepted ? "accepted" : toString(Accepted.error().Kind));
  writeDecision(Line);
  if (!Accepted)
    co_return replyWith(Accepted.error());
  this->Sync->onAccepted(Accepted.value().Change);
  boost::json::object Json;
  Json["ticket"] = Number.Value;
  Json["accepted"] = true;
  Json["revision"] = Accepted.value().Change.HeadRevision.Value;
  co_return replyWithJson(Json);
}

Awaitable<HttpReply> OperatorApi::showTicket(std::string_view Number) {
  std::uint64_t Wanted = 0;
  const char *End = Number.data() + Number.size();
  auto [Stop, Problem] = std::from_chars(Number.data(), End, Wanted);
  if (Problem != std::errc{} || Stop != End)
    co_return replyWith(
        {.Kind = ErrorKind::BadRequest,
         .Message = "the path does not end in a ticket number",
         .Remedy = "send the ticket's number as a whole number"});
  std::vector<SurveyedPeer> Peers = co_await this->Sync->survey();
  SharedConfiguration Current = this->Configuration->current();
  std::uint64_t Newest = Current ? Current->newestTicket().Value : 0;
  boost::json::object Json;
  Json["ticket"] = Wanted;
  Json["instance"] = this->Options.Self.Value;
  Json["newest_in_force"] = Newest;
  Json["in_force"] = Newest >= Wanted;
  if (Newest < Wanted)
    Json["why"] = "not received here: the ticket was not accepted, or this "
                  "instance is isolated from its peers and the platform";
  addPeerStates(TicketNumber{Wanted}, Peers, Json);
  co_return replyWithJson(Json);
}

HttpReply OperatorApi::showStatus() const {
  boost::json::object Json;
  Json["instance"] = this->Options.Self.Value;
  SharedConfiguration Current = this->Configuration->current();
  Json["newest_in_force"] = Current ? Current->newestTicket().Value : 0;
  boost::json::object Databases;
  if (Current)
    for (const auto &[Id, Each] : Current->databases())
      if (auto View = this->Upstreams->view(Id))
        Databases[Id.Value] = describe(*View);
  Json["databases"] = std::move(Databases);
  Json["platform_calls"] = this->Platform->calls();
  if (this->Options.Membership)
    Json["instances"] = describe(*this->Options.Membership());
  return replyWithJson(Json);
}

} // namespace turmericpitch
