#include "drivers/ShareExchange.h"

#include "core/DecisionLog.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);

} // namespace

ShareExchange::ShareExchange(ShareExchangeOptions Options,
                             std::shared_ptr<PeerTransport> Transport,
                             std::shared_ptr<MemberPool> Pool)
    : Options(std::move(Options)), Transport(std::move(Transport)),
      Pool(std::move(Pool)) {}

void ShareExchange::attach() {
  std::weak_ptr<ShareExchange> Weak = this->weak_from_this();
  this->Transport->onTopic(
      PeerTopic::ConnectionShares, [Weak](const PeerArrival &Arrival) {
        auto Self = Weak.lock();
        if (Self && !Self->Stopped)
          Self->onPayload(Arrival.Frame.From, Arrival.Frame.Payload);
      });
}

void ShareExchange::onConfigured(const std::vector<Database> &Databases) {
  std::vector<DatabaseId> Now;
  for (const Database &Each : Databases) {
    Now.push_back(Each.Id);
    this->Entries.update(Each.Id, [&](Entry &DbEntry) {
      DbEntry.Members.clear();
      DbEntry.Demands.clear();
      for (const DatabaseMember &Member : Each.Members)
        DbEntry.Members.push_back(Member.Where);
      if (DbEntry.Shares) {
        DbEntry.Shares->setConnectionLimit(Each.ConnectionLimit);
      } else {
        ConnectionSharesOptions Own;
        Own.Target = Each.Id;
        Own.Self = this->Options.Self;
        Own.Instances.push_back(this->Options.Self);
        for (const auto &[Peer, Where] : this->Options.Peers)
          Own.Instances.push_back(Peer);
        Own.Limit = Each.ConnectionLimit;
        Own.Incarnation = this->Options.Incarnation;
        DbEntry.Shares.emplace(Own, this->Time.now());
      }
      this->apply(Each.Id, DbEntry, this->Time.now());
    });
  }
  std::lock_guard Lock(this->Mutex);
  for (const DatabaseId &Before : this->Current)
    if (std::find(Now.begin(), Now.end(), Before) == Now.end())
      this->Entries.erase(Before);
  this->Current = std::move(Now);
}

Awaitable<void> ShareExchange::run() {
  auto Self = this->shared_from_this();
  while (!this->Stopped) {
    std::vector<DatabaseId> All;
    {
      std::lock_guard Lock(this->Mutex);
      All = this->Current;
    }
    for (const DatabaseId &Id : All)
      this->tick(Id);
    co_await sleepFor(TickInterval);
  }
}

void ShareExchange::updateNeed(Entry &DbEntry) const {
  std::uint32_t Need = 0;
  for (const Endpoint &Member : DbEntry.Members) {
    MemberLoad Load = this->Pool->load(Member);
    DemandEstimate &Demand = DbEntry.Demands[Member];
    Demand.onSample(Load.InUse + Load.Waiting);
    Need = std::max(Need, Demand.need());
  }
  DbEntry.Shares->setNeed(Need);
}

bool ShareExchange::isWithinAllowance(const Entry &DbEntry,
                                      TimePoint Now) const {
  std::size_t Usable = DbEntry.Shares->usable(Now);
  return std::all_of(DbEntry.Members.begin(), DbEntry.Members.end(),
                     [&](const Endpoint &Member) {
                       return this->Pool->load(Member).Open <= Usable;
                     });
}

void ShareExchange::apply(const DatabaseId &Id, Entry &DbEntry,
                          TimePoint Now) const {
  ShareAllowance Allowance = DbEntry.Shares->allowance(Now);
  for (const Endpoint &Member : DbEntry.Members)
    this->Pool->setAllowance(Member, Allowance);
  DbEntry.Shares->setWithinAllowance(this->isWithinAllowance(DbEntry, Now));
  if (Allowance.Usable == DbEntry.LoggedUsable)
    return;
  DbEntry.LoggedUsable = Allowance.Usable;
  writeDecision(DecisionLine("shares")
                    .field("database", Id.Value)
                    .field("usable", Allowance.Usable)
                    .field("borrowed", DbEntry.Shares->borrowed(Now))
                    .field("lent", DbEntry.Shares->lent(Now))
                    .field("need", DbEntry.Shares->need()));
}

void ShareExchange::tick(const DatabaseId &Id) {
  std::vector<ShareSend> Sends;
  this->Entries.update(Id, [&](Entry &DbEntry) {
    if (!DbEntry.Shares)
      return;
    TimePoint Now = this->Time.now();
    this->updateNeed(DbEntry);
    this->apply(Id, DbEntry, Now);
    bool ExcessExpired = DbEntry.Shares->hasExpiredExcess(Now);
    for (const Endpoint &Member : DbEntry.Members) {
      if (ExcessExpired)
        this->Pool->closeExcess(Member);
      this->Pool->maintain(Member);
    }
    Sends = DbEntry.Shares->onTick(Now);
  });
  this->send(Sends);
}

void ShareExchange::onPayload(const InstanceId &From,
                              const std::string &Payload) {
  ++this->Received;
  auto Decoded = toOutcome([&] { return decodeShareMessage(Payload); });
  if (!Decoded) {
    ++this->Dropped;
    return;
  }
  DatabaseId Id =
      std::visit([](const auto &M) { return M.Target; }, Decoded.value());
  bool Known = this->Entries.read(
      Id, [](const Entry *DbEntry) { return DbEntry != nullptr; });
  if (!Known) {
    ++this->Dropped;
    return;
  }
  std::vector<ShareSend> Sends;
  this->Entries.update(Id, [&](Entry &DbEntry) {
    if (!DbEntry.Shares)
      return;
    TimePoint Now = this->Time.now();
    Sends = DbEntry.Shares->onMessage(From, Decoded.value(), Now);
    this->apply(Id, DbEntry, Now);
    // While more connections are open than allowed, a granted connection could
    // be open at both instances at once, so the grants are withheld.
    if (Sends.empty() || this->isWithinAllowance(DbEntry, Now))
      return;
    this->Withheld += Sends.size();
    Sends.clear();
  });
  this->send(Sends);
}

void ShareExchange::send(const std::vector<ShareSend> &Sends) {
  for (const ShareSend &Each : Sends) {
    auto Where = this->Options.Peers.find(Each.To);
    if (Where == this->Options.Peers.end())
      continue;
    ++this->Sent;
    this->Transport->send(Where->second, PeerTopic::ConnectionShares,
                          encodeShareMessage(Each.Message));
  }
}

ShareExchangeCounters ShareExchange::counters() const {
  return {.Sent = this->Sent,
          .Received = this->Received,
          .Dropped = this->Dropped,
          .Withheld = this->Withheld};
}

} // namespace turmericpitch
