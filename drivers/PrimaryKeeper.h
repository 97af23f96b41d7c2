// Probes the members of each database and promotes when a primary is lost.
#pragma once

#include "drivers/MemberPool.h"
#include "failover/LossDetector.h"
#include "failover/PromotionCheck.h"

#include <atomic>

namespace turmericpitch {

struct PrimaryKeeperOptions {
  LossDetectorOptions Detector;
  Duration ProbeInterval = std::chrono::milliseconds(100);
  Duration ProbeLimit = std::chrono::milliseconds(200);
  /// Differs with every start of the instance.
  std::string StartId;
};

/// Keeps one loop for each database. Thread-safe. Must be held by a shared
/// pointer.
class PrimaryKeeper : public std::enable_shared_from_this<PrimaryKeeper> {
public:
  PrimaryKeeper(Executor On, PrimaryKeeperOptions Options,
                std::shared_ptr<MemberPool> Control,
                std::shared_ptr<UpstreamController> Upstreams);

  /// Probes exactly these databases from now on.
  void onConfigured(const std::vector<Database> &Databases);
  void stop();

private:
  Awaitable<void> keep(Database Target,
                       std::shared_ptr<std::atomic<bool>> Ended);
  void probe(const DatabaseId &Id, const DatabaseMember &Member);
  /// Sends what a round asks for and hands it the outcomes until it is over
  /// or Limit has passed.
  template <typename Round>
  Awaitable<void> drive(const Database &Target, Round &Running, Duration Limit);
  Awaitable<bool> mayPromote(const Database &Target, Term Newest);
  Awaitable<void> promote(const Database &Target, Term Newest);
  Awaitable<Outcome<MemberAnswer>> call(DatabaseId Id, DatabaseMember Member,
                                        MemberRequest Request);

  struct Loop {
    Database Target;
    std::shared_ptr<std::atomic<bool>> Ended;
  };

  Executor On;
  PrimaryKeeperOptions Options;
  std::shared_ptr<MemberPool> Control;
  std::shared_ptr<UpstreamController> Upstreams;
  std::mutex Guard;
  std::map<DatabaseId, Loop> Loops;
  std::atomic<std::uint64_t> Attempts = 0;
  MonotonicClock Time;
};

} // namespace turmericpitch
