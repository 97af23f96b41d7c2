// Runs a load plan against an embedded fleet.
#pragma once

#include "core/RandomSource.h"
#include "tools/LoadChecker.h"
#include "tools/LoadClient.h"
#include "tools/LoadPlan.h"
#include "tools/LoadRecorder.h"

#include <ostream>

namespace turmericpitch {

/// Result of a load run.
struct LoadResult {
  std::vector<GuaranteeViolation> Violations;
  /// Acknowledged bookings, each checked at the end.
  std::size_t Acknowledged = 0;
  /// Whether the final scan reached every database.
  bool ScanComplete = false;
};

/// One load run. An object runs once. Not thread-safe.
class LoadRun {
public:
  LoadRun(LoadPlan Plan, std::ostream &Progress);
  ~LoadRun();

  /// Starts the fleet, applies the load and the faults, and checks the stored
  /// rows at the end. Blocks. Errors: Unavailable if the fleet can't start.
  Outcome<LoadResult> run();

  [[nodiscard]] const LoadRecorder &recorder() const { return this->Recorder; }
  [[nodiscard]] const LoadPlan &plan() const { return this->Plan; }

private:
  struct Session;

  Awaitable<void> dispatchArrivals();
  Awaitable<void> writeCatalogue();
  Awaitable<void> runFaults();
  Awaitable<void> runOperation(std::shared_ptr<Session> Caller);
  Awaitable<void> writeBooking(std::shared_ptr<Session> Caller);
  Awaitable<void> writeDispatch(std::shared_ptr<Session> Caller);
  Awaitable<void> readSessionCounter(std::shared_ptr<Session> Caller);
  Awaitable<void> readCatalogue(std::shared_ptr<Session> Caller);
  Awaitable<void> drainInstance(std::size_t Instance);
  Awaitable<void> restartInstance(std::size_t Instance);
  Awaitable<void> scanDatabases(std::shared_ptr<bool> Complete);
  Awaitable<Outcome<LoadAnswer>> send(std::shared_ptr<Session> Caller,
                                      LoadOperation Operation,
                                      LoadStatement Statement);
  void injectFault(const LoadFault &Fault);
  std::shared_ptr<Session> acquireSession();
  void releaseSession(const std::shared_ptr<Session> &Returned);
  std::size_t pickInstance();
  [[nodiscard]] Duration sinceStart() const;
  [[nodiscard]] bool loadEnded() const;

  LoadPlan Plan;
  std::ostream &Progress;
  EmbeddedFleet Fleet;
  LoadChecker Checker;
  LoadRecorder Recorder;
  boost::asio::io_context Context;
  Executor Exec;
  RandomSource Random;
  MonotonicClock Time;
  TimePoint StartedAt;
  std::vector<std::shared_ptr<Session>> IdleSessions;
  std::vector<bool> InstanceUp;
  std::vector<StoredRow> StoredRows;
  std::size_t BusySessions = 0;
  std::size_t SkippedArrivals = 0;
  std::uint64_t NextKey = 1;
};

} // namespace turmericpitch
