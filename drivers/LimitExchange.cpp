#include "drivers/LimitExchange.h"

#include "core/DecisionLog.h"
#include "core/Metrics.h"
#include "membership/LimitKeepers.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

/// The platform's settings contain no secret, so frames are checked for damage
/// and version but not authenticated.
const PeerKey FrameKey{.Id = "frame", .Secret = "turmericpitch"};
/// Anyone can send datagrams, at any rate.
constexpr Duration DropLogInterval = std::chrono::seconds(1);
/// Else the keepers that are left out could be all those of a zone.
static_assert(MaxLimitKeepers <= MaxKeepersPerMessage);
constexpr Duration TablePollInterval = std::chrono::milliseconds(500);
/// A refused caller is told to return up to this fraction later than there is
/// credit, so that callers refused together don't return together.
constexpr double RetrySpread = 0.5;
/// Shares are logged in parts per million.
constexpr double PartsPerMillion = 1'000'000;

} // namespace

LimitExchange::LimitExchange(Executor Exec, LimitExchangeOptions Options,
                             StoreClient &Store,
                             const InstanceRegistry &Instances, Hooks Callbacks)
    : Exec(Exec), Options(Options), Store(Store), Instances(Instances),
      Callbacks(std::move(Callbacks)),
      Transport(Exec, Options.Listen, Options.Self, {FrameKey}),
      Limiter({.Self = Options.Self, .Incarnation = Options.Incarnation},
              BootClock().now()),
      Right(Options.Self, Options.Right), StartedAt(BootClock().now()),
      TickTimer(Exec), TableTimer(Exec), Random(Options.Incarnation) {}

Status LimitExchange::start() {
  this->Transport.onTopic(
      PeerTopic::AccountLimits,
      [this](const PeerArrival &Arrival) { this->onArrival(Arrival); });
  return this->Transport.start();
}

OperationGate LimitExchange::gate() {
  return {
      .Admit =
          [this](const ClientAccountId &Account,
                 OperationGate::Handler OnDecision) {
            this->admit(Account, std::move(OnDecision));
          },
      .Refund = [this](const OperationGrant &Grant) { this->refund(Grant); }};
}

void LimitExchange::setLimits(
    std::map<ClientAccountId, OperationLimit> Limits) {
  bool HadLimits = std::exchange(this->HasLimits, !Limits.empty());
  this->Limiter.setLimits(std::move(Limits));
  // After a start, callers come as soon as the configuration is known.
  if (this->HasLimits && !HadLimits)
    this->TableTimer.cancel();
  this->deliverOutcomes();
}

void LimitExchange::onInstancesChanged() {
  std::vector<InstanceId> Keepers = selectLimitKeepers(this->Instances.all());
  this->IsKeeper = std::find(Keepers.begin(), Keepers.end(),
                             this->Options.Self) != Keepers.end();
  this->Limiter.setKeepers(std::move(Keepers));
}

void LimitExchange::admit(const ClientAccountId &Account,
                          OperationGate::Handler OnDecision) {
  LimitTicket Ticket = this->NextTicket++;
  TimePoint Now = this->Clock.now();
  this->Limiter.setShare(this->Right.share(Now), Now);
  auto Decision = this->Limiter.admit(Account, Ticket, Now);
  if (Decision)
    return this->decide(std::move(*Decision), OnDecision);
  this->Waiting.emplace(Ticket, std::move(OnDecision));
  this->scheduleTick(Duration{0});
}

void LimitExchange::decide(LimitDecision Decision,
                           const OperationGate::Handler &OnDecision) {
  processMetrics().count("limit_decisions_total",
                         Decision.Admitted ? std::string_view("admitted")
                                           : toString(Decision.Refusal));
  Decision.RetryAfter += Duration(static_cast<Duration::rep>(
      static_cast<double>(Decision.RetryAfter.count()) * RetrySpread *
      this->Random.fraction()));
  OnDecision(Decision);
}

void LimitExchange::refund(const OperationGrant &Grant) {
  this->Limiter.refund(Grant, this->Clock.now());
  // A waiting operation may have got the credit. Its outcome isn't delivered
  // here, as refunds run inside the dispatcher's loops.
  if (!this->Waiting.empty())
    this->scheduleTick(Duration{0});
}

bool LimitExchange::ready() const {
  return !this->HasLimits || this->Limiter.hasContact() ||
         this->Clock.now() - this->StartedAt >= this->Options.ContactTimeout;
}

double LimitExchange::share() const {
  return this->Right.share(this->Clock.now());
}

void LimitExchange::scheduleTick(Duration Delay) {
  TimePoint At = this->Clock.now() + Delay;
  if (this->NextTickAt && *this->NextTickAt <= At)
    return;
  this->NextTickAt = At;
  this->TickTimer.expires_after(Delay);
  this->TickTimer.async_wait([this](const boost::system::error_code &Failure) {
    if (Failure)
      return;
    this->NextTickAt.reset();
    this->tick();
  });
}

void LimitExchange::tick() {
  if (!this->HasLimits)
    return;
  TimePoint Now = this->Clock.now();
  this->Limiter.setShare(this->Right.share(Now), Now);
  this->send(this->Limiter.onTick(Now));
  this->deliverOutcomes();
  this->scheduleTick(std::max(Duration{0}, this->Limiter.nextTickAt() - Now));
}

void LimitExchange::deliverOutcomes() {
  for (LimitOutcome &Each : this->Limiter.takeOutcomes()) {
    auto Found = this->Waiting.find(Each.Ticket);
    if (Found == this->Waiting.end())
      continue;
    OperationGate::Handler OnDecision = std::move(Found->second);
    this->Waiting.erase(Found);
    this->decide(std::move(Each.Decision), OnDecision);
  }
}

std::optional<Endpoint> LimitExchange::addressOf(const InstanceId &Peer) const {
  const RegisteredInstance *Entry = this->Instances.find(Peer);
  if (!Entry)
    return std::nullopt;
  return Endpoint{.Address = Entry->PeerEndpoint.Address,
                  .Port = this->Options.Listen.Port};
}

void LimitExchange::send(const std::vector<LimitSend> &Messages) {
  for (const LimitSend &Each : Messages)
    if (auto To = this->addressOf(Each.To))
      this->Transport.send(*To, PeerTopic::AccountLimits,
                           encodeLimitMessage(Each.Message));
}

void LimitExchange::onDropped(const PeerArrival &Arrival,
                              std::string_view Cause, std::string_view Reason) {
  processMetrics().count("limit_messages_dropped_total", Cause);
  ++this->DropsSinceLogged;
  TimePoint Now = this->Clock.now();
  if (this->DropLoggedAt && Now - *this->DropLoggedAt < DropLogInterval)
    return;
  writeWarning("event=limit_message_dropped from=" + Arrival.Source.Address +
               " count=" + std::to_string(this->DropsSinceLogged) +
               " reason=\"" + std::string(Reason) + "\"");
  this->DropLoggedAt = Now;
  this->DropsSinceLogged = 0;
}

void LimitExchange::onArrival(const PeerArrival &Arrival) {
  const InstanceId &From = Arrival.Frame.From;
  auto Decoded =
      toOutcome([&] { return decodeLimitMessage(Arrival.Frame.Payload); });
  // Only registered instances hold credit. One that isn't listed here yet
  // repeats its request.
  auto Known = this->addressOf(From);
  bool FromFleet = Known && Known->Address == Arrival.Source.Address;
  if (!Decoded)
    return this->onDropped(Arrival, "malformed", Decoded.error().Message);
  if (!FromFleet)
    return this->onDropped(Arrival, "unknown_sender",
                           "not a registered instance");
  // Owners then deposit with another keeper, instead of here where the credit
  // would be lost.
  if (!this->HasLimits)
    return;
  TimePoint Now = this->Clock.now();
  if (const auto *Reply = std::get_if<LimitReply>(&Decoded.value()))
    this->onNews(From, *Reply);
  this->Limiter.setShare(this->Right.share(Now), Now);
  auto Replies = this->Limiter.onMessage(From, Decoded.value(), Now);
  for (LimitSend &Each : Replies)
    if (auto *Reply = std::get_if<LimitReply>(&Each.Message))
      Reply->News = this->news(Now);
  this->send(Replies);
  this->deliverOutcomes();
}

std::optional<OwnerTableNews> LimitExchange::news(TimePoint Now) const {
  if (!this->Right.readSentAt())
    return std::nullopt;
  return OwnerTableNews{.Epoch = this->Right.table().Epoch,
                        .Stored = this->Right.stored(),
                        .ReadAge = Now - *this->Right.readSentAt()};
}

void LimitExchange::onNews(const InstanceId &From, const LimitReply &Reply) {
  auto SentAt = this->Limiter.requestSentAt(From, Reply);
  if (!Reply.News || !SentAt)
    return;
  if (Reply.News->Epoch > 0 && Reply.News->Stored > this->Right.stored())
    this->NewerTableKnown = true;
  // The reply was sent after the request, so the read was sent no earlier than
  // its age before the request.
  this->Right.onConfirmed(Reply.News->Epoch, Reply.News->Stored,
                          *SentAt - Reply.News->ReadAge);
}

bool LimitExchange::isTableReadDue(TimePoint Now) const {
  return isOwnerTableReadDue(this->Options.Reads,
                             {.ReadAt = this->TableReadAt,
                              .ConfirmedAt = this->Right.readSentAt(),
                              .Exists = this->Right.table().Epoch > 0,
                              .NewerKnown = this->NewerTableKnown,
                              .IsKeeper = this->IsKeeper},
                             Now);
}

Awaitable<void> LimitExchange::readTable() {
  TimePoint ReadSentAt = this->Clock.now();
  auto Read = co_await this->Store.readKey(std::string(OwnerTableKey));
  if (!Read) {
    writeWarning("event=limit_owners_read_failed reason=\"" +
                 Read.error().Message + "\"");
    co_await this->pause(this->ReadBackoff.onFailed(this->Random));
    co_return;
  }
  this->ReadBackoff.onAnswered();
  OwnerTable Table;
  Revision Stored = Read.value().StoreRevision;
  if (Read.value().Entry) {
    const KeyValueEntry &Entry = *Read.value().Entry;
    auto Decoded = toOutcome([&] { return decodeOwnerTable(Entry); });
    if (!Decoded) {
      writeWarning("event=limit_owners_refused reason=\"" +
                   Decoded.error().Message + "\"");
      this->TableReadAt = ReadSentAt;
      this->Right.onUnreadable(Entry.Modified, this->Clock.now());
      co_await this->pause(this->ReadBackoff.onFailed(this->Random));
      co_return;
    }
    Table = std::move(Decoded.value());
    Stored = Entry.Modified;
  }
  this->TableReadAt = ReadSentAt;
  this->NewerTableKnown = false;
  bool Changed = Table != this->Right.table();
  this->Right.onRead(Table, Stored, ReadSentAt, this->Clock.now());
  if (Changed)
    writeDecision(
        DecisionLine("limit_owners_known")
            .field("epoch", Table.Epoch)
            .field("owners", Table.Owners.size())
            .field("share_ppm", static_cast<std::uint64_t>(this->share() *
                                                           PartsPerMillion)));
}

Awaitable<void> LimitExchange::writeTable(OwnerTable Next) {
  TransactionRequest Request;
  Request.Compares = {
      {.Key = std::string(OwnerTableKey), .Modified = this->Right.replaced()}};
  Request.Writes = {PutOperation{.Key = std::string(OwnerTableKey),
                                 .Value = encodeOwnerTable(Next),
                                 .Lease = {}}};
  auto Written = co_await this->Store.commit(std::move(Request));
  bool Done =
      Written && Written.value().Result == CommitReply::CommitStatus::Written;
  writeDecision(DecisionLine("limit_owners_write")
                    .field("epoch", Next.Epoch)
                    .field("owners", Next.Owners.size())
                    .field("outcome", Done ? "written" : "not_written"));
  // Whatever the outcome, only a read tells what the store holds.
  co_await this->readTable();
}

Awaitable<void> LimitExchange::followTable() {
  TimePoint Now = this->Clock.now();
  if (this->isTableReadDue(Now))
    co_await this->readTable();
  bool MayWrite = this->TableReadAt && this->Callbacks.WritesTable() &&
                  this->Instances.listsSelf() &&
                  Now - this->StartedAt >= this->Options.FirstTableDelay;
  if (!MayWrite)
    co_return;
  std::vector<InstanceId> Registered;
  for (const RegisteredInstance &Each : this->Instances.all())
    Registered.push_back(Each.Id);
  auto Next = this->Right.proposeChange(Registered, Now);
  if (Next)
    co_await this->writeTable(std::move(*Next));
}

Awaitable<void> LimitExchange::run() {
  while (true) {
    if (this->HasLimits) {
      co_await this->followTable();
      // Starts the ticks once there are limits.
      if (!this->NextTickAt)
        this->scheduleTick(Duration{0});
    }
    this->TableTimer.expires_after(TablePollInterval);
    boost::system::error_code Cancelled;
    co_await this->TableTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, Cancelled));
  }
}

Awaitable<void> LimitExchange::pause(Duration Length) {
  asio::steady_timer Timer(this->Exec, Length);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace turmericpitch
