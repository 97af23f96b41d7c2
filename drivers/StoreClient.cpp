#include "drivers/StoreClient.h"

#include "core/Metrics.h"
#include "failover/PrimaryRecord.h"
#include "membership/InstanceRegistry.h"
#include "platform/StoredObjects.h"

namespace turmericpitch {

namespace {

/// What is stored below a prefix, as a metrics label.
std::string_view listedObjects(std::string_view Prefix) {
  if (Prefix == MembersPrefix)
    return "members";
  if (Prefix == InstancesPrefix)
    return "instances";
  return Prefix == PrimaryRecordPrefix ? "records" : "other";
}

} // namespace

StoreClient::StoreClient(const Executor &Exec, StoreClientOptions Options)
    : Options(Options), Store(Exec, {.Service = Options.Store}),
      Promotions(Exec, {.Service = Options.Promotions}) {}

Awaitable<Outcome<HttpReply>> StoreClient::call(HttpRequest Request,
                                                Duration Timeout) {
  auto Reply = co_await this->Store.call(std::move(Request), Timeout);
  if (!Reply)
    co_return Reply;
  std::uint64_t Era = eraOfReply(Reply.value()).Value;
  std::uint64_t Known = this->NewestEra.load(std::memory_order_relaxed);
  while (Known < Era && !this->NewestEra.compare_exchange_weak(
                            Known, Era, std::memory_order_relaxed))
    continue;
  co_return Reply;
}

Awaitable<Outcome<StorePage>>
StoreClient::readAll(std::string Prefix, ReadConsistency Consistency) {
  co_return co_await this->readPages(std::move(Prefix), Consistency,
                                     this->Options.CallTimeout);
}

Awaitable<Outcome<StorePage>> StoreClient::readAllRecent(std::string Prefix) {
  co_return co_await this->readPages(std::move(Prefix),
                                     ReadConsistency::Current,
                                     this->Options.RecentReadTimeout);
}

Awaitable<Outcome<StorePage>>
StoreClient::readPages(std::string Prefix, ReadConsistency Consistency,
                       Duration Timeout) {
  StorePage All;
  std::string After;
  while (true) {
    processMetrics().count("store_listings_total", listedObjects(Prefix));
    processMetrics().count(
        "store_calls_total",
        Consistency == ReadConsistency::Current ? "listing" : "old_listing");
    auto Reply = co_await this->call(encodePageRead(Prefix, After, Consistency),
                                     Timeout);
    if (!Reply)
      co_return Reply.error();
    auto Page = decodePage(Reply.value());
    if (!Page)
      co_return Page.error();
    if (After.empty())
      All.StoreRevision = Page.value().StoreRevision;
    if (eraOf(Page.value().StoreRevision) != eraOf(All.StoreRevision))
      co_return Error{.Kind = ErrorKind::Unavailable,
                      .Message = "the store was restored during a listing",
                      .Remedy = "read the list again"};
    for (KeyValueEntry &Each : Page.value().Entries)
      All.Entries.push_back(std::move(Each));
    if (!Page.value().More || All.Entries.empty())
      co_return All;
    After = All.Entries.back().Key;
  }
}

Awaitable<Outcome<StoreItem>> StoreClient::readKey(std::string Key) {
  processMetrics().count("store_calls_total", "read");
  auto Reply =
      co_await this->call(encodeKeyRead(Key), this->Options.CallTimeout);
  if (!Reply)
    co_return Reply.error();
  co_return decodeKeyRead(Reply.value());
}

Awaitable<Outcome<WatchReply>> StoreClient::changesSince(std::string Prefix,
                                                         Revision After) {
  constexpr std::chrono::milliseconds ShortestWait(1);
  processMetrics().count("store_calls_total", "check");
  auto Reply = co_await this->call(encodeWatch(Prefix, After, ShortestWait),
                                   this->Options.RecentReadTimeout);
  if (!Reply)
    co_return Reply.error();
  co_return decodeWatch(Reply.value(), After);
}

Awaitable<Outcome<WatchReply>>
StoreClient::watch(std::string Prefix, Revision After,
                   std::chrono::milliseconds Wait) {
  processMetrics().count("store_calls_total", "watch");
  auto Reply = co_await this->call(encodeWatch(Prefix, After, Wait),
                                   Wait + this->Options.WatchSlack);
  if (!Reply)
    co_return Reply.error();
  co_return decodeWatch(Reply.value(), After);
}

Awaitable<Outcome<CommitReply>>
StoreClient::commit(TransactionRequest Request) {
  std::optional<StoreEra> OldestCondition;
  for (const ModifiedCompare &Each : Request.Compares)
    if (Each.Modified != Revision{})
      OldestCondition =
          std::min(OldestCondition.value_or(this->era()), eraOf(Each.Modified));
  if (OldestCondition && *OldestCondition < this->era())
    co_return CommitReply{.Result = CommitReply::CommitStatus::ConditionFailed,
                          .Written = {}};
  processMetrics().count("store_calls_total", "write");
  auto Reply =
      co_await this->call(encodeCommit(Request), this->Options.CallTimeout);
  if (!Reply)
    co_return Reply.error();
  if (OldestCondition && *OldestCondition < eraOfReply(Reply.value()))
    co_return Error{.Kind = ErrorKind::OutcomeUnknown,
                    .Message = "the store was restored before the write",
                    .Remedy = "read the stored value before writing again"};
  co_return decodeCommit(Reply.value());
}

Awaitable<Outcome<GrantedLease>>
StoreClient::grantLease(std::chrono::milliseconds TimeToLive) {
  auto Reply = co_await this->call(encodeLeaseGrant(TimeToLive),
                                   this->Options.CallTimeout);
  if (!Reply)
    co_return Reply.error();
  co_return decodeLeaseGrant(Reply.value());
}

Awaitable<Outcome<bool>> StoreClient::renewLease(LeaseId Lease) {
  processMetrics().count("store_calls_total", "renewal");
  auto Reply =
      co_await this->call(encodeLeaseRenewal(Lease), this->Options.CallTimeout);
  if (!Reply)
    co_return Reply.error();
  co_return decodeLeaseRenewal(Reply.value());
}

Awaitable<Outcome<bool>> StoreClient::endLease(LeaseId Lease) {
  auto Reply =
      co_await this->call(encodeLeaseEnd(Lease), this->Options.CallTimeout);
  if (!Reply)
    co_return Reply.error();
  co_return decodeLeaseRenewal(Reply.value());
}

Awaitable<Outcome<bool>>
StoreClient::promote(PromotionOrder Order, Duration Timeout,
                     std::function<bool()> ShouldSend) {
  auto Reply = co_await this->Promotions.call(encodePromotion(Order), Timeout,
                                              std::move(ShouldSend));
  if (!Reply)
    co_return Reply.error();
  co_return decodePromotion(Reply.value());
}

std::uint64_t StoreClient::calls() const { return this->Store.calls(); }

} // namespace turmericpitch
