// The daemon that serves sessions on the users' platform.
#pragma once

#include "core/BoundedLog.h"
#include "failover/PromotionRules.h"
#include "platform/InstanceSettings.h"

#include <memory>

namespace turmericpitch {

struct SessionDaemonOptions {
  PromotionRulesOptions Rules = {};
  /// The gathered log lines, which the daemon writes to standard output; not
  /// set where lines are written as they come.
  BoundedLog *Log = nullptr;
};

/// Runs on one thread, as its instances have one core. Not thread-safe.
class SessionDaemon {
public:
  explicit SessionDaemon(InstanceSettings Settings,
                         SessionDaemonOptions Options = {});
  ~SessionDaemon();
  SessionDaemon(const SessionDaemon &) = delete;
  SessionDaemon &operator=(const SessionDaemon &) = delete;

  /// Serves until a stop is asked for by signal and done. Errors:
  /// Unavailable if an address can't be bound.
  Status run();
  /// Makes run() return without a drain. Thread-safe.
  void abort();

private:
  struct Components;
  std::unique_ptr<Components> Impl;
};

} // namespace turmericpitch
