#include "drivers/ReplicaWatch.h"

#include "core/DecisionLog.h"

namespace turmericpitch {

ReplicaWatch::ReplicaWatch(Executor Exec, RegisteredMember Member,
                           Hooks Callbacks, ReplicaWatchOptions Options)
    : Exec(std::move(Exec)), Member(std::move(Member)),
      Callbacks(std::move(Callbacks)), Options(Options) {}

ReplicaWatch::~ReplicaWatch() {
  if (this->Link)
    this->Link->drop();
}

void ReplicaWatch::poll(Duration Interval) {
  if (this->Clock.now() - this->QueriedAt >= Interval)
    this->query([](const std::optional<Reply> &) {});
}

bool ReplicaWatch::isConnectedSince(TimePoint ConnectedAt) const {
  return this->Link && this->Link->usable() && this->ConnectedAt == ConnectedAt;
}

void ReplicaWatch::query(ReplyHandler OnReply) {
  if (this->QueryRunning)
    return OnReply(std::nullopt);
  this->QueryRunning = true;
  this->QueriedAt = this->Clock.now();
  if (this->Link && this->Link->idle())
    return this->send(OnReply);
  // For no account: a member may be told an account only for its callers.
  this->Link =
      std::make_shared<MemberLink>(this->Exec, this->Member, ClientAccountId{});
  this->Link->open(this->Options.OpenTimeout,
                   [Weak = this->weak_from_this(),
                    OnReply = std::move(OnReply)](LinkOpening Result) {
                     if (auto Self = Weak.lock())
                       Self->onOpened(Result, OnReply);
                   });
}

void ReplicaWatch::onOpened(LinkOpening Result, const ReplyHandler &OnReply) {
  TimePoint Now = this->Clock.now();
  if (Result != this->LastOpening || Result == LinkOpening::Opened)
    writeDecision(DecisionLine("replica_watch")
                      .field("service", this->Member.Service.Value)
                      .field("member", this->Member.Id.Value)
                      .field("outcome", toString(Result)));
  this->LastOpening = Result;
  if (Result == LinkOpening::Opened) {
    this->ConnectedAt = Now;
    return this->send(OnReply);
  }
  this->QueryRunning = false;
  if (Result == LinkOpening::ConnectionRefused ||
      Result == LinkOpening::WrongMember)
    this->Callbacks.OnAddressAnswered(Result == LinkOpening::WrongMember,
                                      this->QueriedAt, Now);
  OnReply(std::nullopt);
}

void ReplicaWatch::send(const ReplyHandler &OnReply) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(
      this->Exec, this->Options.ReplyTimeout);
  std::weak_ptr<MemberLink> Queried = this->Link;
  Timer->async_wait([Queried](const boost::system::error_code &Failure) {
    auto Late = Queried.lock();
    if (!Failure && Late)
      Late->close();
  });
  this->Link->runOwn(
      encodeStatusQuery(), [Weak = this->weak_from_this(), Timer,
                            OnReply](const Outcome<StatementReply> &Answer) {
        Timer->cancel();
        auto Self = Weak.lock();
        if (!Self)
          return;
        Self->QueryRunning = false;
        if (!Answer)
          return OnReply(std::nullopt);
        Self->Callbacks.OnConnected(Self->ConnectedAt);
        auto Report =
            toOutcome([&] { return decodeMemberReport(Answer.value()); });
        if (!Report)
          return OnReply(std::nullopt);
        OnReply(
            Reply{.Report = Report.value(), .ConnectedAt = Self->ConnectedAt});
      });
}

} // namespace turmericpitch
