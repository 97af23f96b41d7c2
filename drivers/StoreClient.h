// The platform's key-value service, as an instance of the platform calls it.
#pragma once

#include "drivers/HttpCaller.h"
#include "platform/StoreCalls.h"

namespace turmericpitch {

struct StoreClientOptions {
  Endpoint Store;
  Endpoint Promotions;
  /// Limit for one call; the store answers in about 4 ms, in 400 ms when it
  /// is a hundred times slower.
  Duration CallTimeout = std::chrono::milliseconds(1500);
  /// Limit for a read that is of use only while it is recent.
  Duration RecentReadTimeout = std::chrono::milliseconds(700);
  /// Beyond the time a watch is asked to wait.
  Duration WatchSlack = std::chrono::milliseconds(700);
};

/// Thread-safe. Errors of all calls: Unavailable, NotRun or Overloaded if
/// nothing was done, OutcomeUnknown otherwise.
class StoreClient {
public:
  StoreClient(const Executor &Exec, StoreClientOptions Options);

  /// All entries below a prefix, page by page; More is false, StoreRevision
  /// that of the first page.
  Awaitable<Outcome<StorePage>> readAll(std::string Prefix,
                                        ReadConsistency Consistency);
  /// The same under the shorter limit.
  Awaitable<Outcome<StorePage>> readAllRecent(std::string Prefix);
  Awaitable<Outcome<StoreItem>> readKey(std::string Key);
  Awaitable<Outcome<WatchReply>> watch(std::string Prefix, Revision After,
                                       std::chrono::milliseconds Wait);
  Awaitable<Outcome<CommitReply>> commit(TransactionRequest Request);
  Awaitable<Outcome<GrantedLease>>
  grantLease(std::chrono::milliseconds TimeToLive);
  Awaitable<Outcome<bool>> renewLease(LeaseId Lease);
  Awaitable<Outcome<bool>> endLease(LeaseId Lease);
  /// Orders a promotion; false if the member isn't running. StillWanted is
  /// asked once a connection is open, right before the order is sent.
  Awaitable<Outcome<bool>> promote(PromotionOrder Order, Duration Timeout,
                                   std::function<bool()> StillWanted);

  /// Calls made since the start.
  [[nodiscard]] std::uint64_t calls() const;

private:
  Awaitable<Outcome<StorePage>>
  readPages(std::string Prefix, ReadConsistency Consistency, Duration Timeout);

  StoreClientOptions Options;
  HttpCaller Store;
  HttpCaller Promotions;
};

} // namespace turmericpitch
