// Client of the platform's key-value store and promotion service.
#pragma once

#include "drivers/HttpClient.h"
#include "platform/StoreCalls.h"

#include <atomic>

namespace turmericpitch {

struct StoreClientOptions {
  Endpoint Store;
  Endpoint Promotions;
  /// Timeout of one call. The store replies in about 4 ms, or in 400 ms when
  /// it is a hundred times slower.
  Duration CallTimeout = std::chrono::milliseconds(1500);
  /// Timeout of one page of a read whose result is useful only while it is
  /// recent.
  Duration RecentReadTimeout = std::chrono::milliseconds(700);
  /// Added to the wait time of a watch to get its timeout.
  Duration WatchSlack = std::chrono::milliseconds(700);
};

/// Thread-safe. Errors of all calls: Unavailable, NotRun or Overloaded if the
/// call was not executed, OutcomeUnknown otherwise.
class StoreClient {
public:
  StoreClient(const Executor &Exec, StoreClientOptions Options);

  /// Reads all entries below a prefix, page by page. In the result, More is
  /// false and StoreRevision is that of the first page. Fails if the store is
  /// restored between two pages.
  Awaitable<Outcome<StorePage>> readAll(std::string Prefix,
                                        ReadConsistency Consistency);
  /// Reads all current entries below a prefix, with RecentReadTimeout for each
  /// page.
  Awaitable<Outcome<StorePage>> readAllRecent(std::string Prefix);
  Awaitable<Outcome<StoreItem>> readKey(std::string Key);
  /// The changes below a prefix after a revision, without waiting for one, with
  /// RecentReadTimeout.
  Awaitable<Outcome<WatchReply>> changesSince(std::string Prefix,
                                              Revision After);
  Awaitable<Outcome<WatchReply>> watch(std::string Prefix, Revision After,
                                       std::chrono::milliseconds Wait);
  /// Conditions on revisions of an earlier era than era() fail without a call,
  /// as the store may have given out the same revision again. If the reply
  /// tells of a later era than the conditions, the outcome is OutcomeUnknown.
  Awaitable<Outcome<CommitReply>> commit(TransactionRequest Request);
  Awaitable<Outcome<GrantedLease>>
  grantLease(std::chrono::milliseconds TimeToLive);
  Awaitable<Outcome<bool>> renewLease(LeaseId Lease);
  Awaitable<Outcome<bool>> endLease(LeaseId Lease);
  /// Orders a promotion; returns false if the member isn't running.
  /// ShouldSend is called once a connection is open, immediately before the
  /// order is sent.
  Awaitable<Outcome<bool>> promote(PromotionOrder Order, Duration Timeout,
                                   std::function<bool()> ShouldSend);

  /// The newest era of the store that a reply has told.
  [[nodiscard]] StoreEra era() const {
    return {this->NewestEra.load(std::memory_order_relaxed)};
  }
  /// Number of calls to the store since the start.
  [[nodiscard]] std::uint64_t calls() const;

private:
  Awaitable<Outcome<StorePage>>
  readPages(std::string Prefix, ReadConsistency Consistency, Duration Timeout);

  Awaitable<Outcome<HttpReply>> call(HttpRequest Request, Duration Timeout);

  StoreClientOptions Options;
  std::atomic<std::uint64_t> NewestEra = 0;
  HttpClient Store;
  HttpClient Promotions;
};

} // namespace turmericpitch
