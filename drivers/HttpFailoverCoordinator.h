// Probes the members of each database and promotes a replica when the primary
// is lost.
#pragma once

#include "drivers/MemberPool.h"
#include "failover/PrimaryFailureDetector.h"
#include "failover/ProbeSchedule.h"
#include "failover/PromotionCheck.h"

#include <atomic>

namespace turmericpitch {

struct HttpFailoverCoordinatorOptions {
  InstanceId Self;
  PrimaryFailureDetectorOptions Detector;
  ProbeScheduleOptions Probes;
  Duration ProbeTimeout = std::chrono::milliseconds(200);
  /// Unique for each start of the instance.
  std::string StartId;
  /// This instance's rank among a database's observers and promoters, from 0;
  /// nothing if it isn't one of them. Called from any thread.
  std::function<std::optional<std::size_t>(const DatabaseId &)> RankOf;
};

/// Monitors the primary of each database in a loop of its own and promotes a
/// replica when the primary is lost. Thread-safe. Must be held by a
/// shared pointer.
class HttpFailoverCoordinator
    : public std::enable_shared_from_this<HttpFailoverCoordinator> {
public:
  /// Number of instances that monitor a database and may promote.
  static constexpr std::size_t PromoterCount = 3;

  HttpFailoverCoordinator(Executor Exec, HttpFailoverCoordinatorOptions Options,
                          std::shared_ptr<MemberPool> ControlPool,
                          std::shared_ptr<UpstreamController> Upstreams);

  /// Probes exactly these databases from now on.
  void onConfigured(const std::vector<Database> &Databases);
  /// Call when a statement for the database arrives; its members are then
  /// probed at the active interval for a while.
  void onStatement(const DatabaseId &Id);
  void stop();

private:
  /// State of one database's loop that other threads access.
  struct Watch {
    std::atomic<bool> Ended = false;
    /// Time of the last statement, as the tick count of a TimePoint.
    std::atomic<Duration::rep> LastStatement = 0;
    ChangeSignal Wake;
  };
  using SharedWatch = std::shared_ptr<Watch>;

  Awaitable<void> watchDatabase(Database Target, SharedWatch Own);
  Awaitable<void> checkPrimary(const Database &Target,
                               PrimaryFailureDetector &Detector,
                               std::optional<std::size_t> Rank);
  void probe(const DatabaseId &Id, const DatabaseMember &Member);
  /// Sends the calls that a round requests and passes it their outcomes, until
  /// the round is over or Timeout has passed.
  template <typename Round>
  Awaitable<void> runRound(const Database &Target, Round &Running,
                           Duration Timeout);
  Awaitable<bool> mayPromote(const Database &Target, Term Newest);
  Awaitable<void> promote(const Database &Target, Term Newest,
                          PrimaryDecision Cause);
  Awaitable<Outcome<MemberAnswer>> call(DatabaseId Id, DatabaseMember Member,
                                        MemberRequest Request);

  struct Loop {
    Database Target;
    SharedWatch Own;
  };
  static void endLoop(const Loop &Ended);

  Executor Exec;
  HttpFailoverCoordinatorOptions Options;
  std::shared_ptr<MemberPool> ControlPool;
  std::shared_ptr<UpstreamController> Upstreams;
  std::mutex Mutex;
  std::map<DatabaseId, Loop> Loops;
  Sharded<DatabaseId, SharedWatch> Watches;
  std::atomic<std::uint64_t> Attempts = 0;
  MonotonicClock Time;
};

} // namespace turmericpitch
