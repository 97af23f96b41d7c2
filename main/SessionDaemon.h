// Daemon that serves database sessions on the users' platform.
#pragma once

#include "core/BoundedLog.h"
#include "failover/GrantorMaintenance.h"
#include "failover/PromotionRules.h"
#include "failover/ReplicaHistory.h"
#include "limits/ShareRight.h"
#include "platform/InstanceSettings.h"

#include <functional>
#include <memory>

namespace turmericpitch {

struct SessionDaemonOptions {
  PromotionRulesOptions Rules = {};
  GrantorMaintenanceOptions Grantors = {};
  /// EntryLifetime is that of the settings' heartbeat.
  ReplicaHistoryOptions Replicas = {};
  ShareRightOptions LimitShares = {};
  /// Reads the settings again, at SIGHUP and when the process is asked to stop.
  /// Not set if they can't change.
  std::function<Outcome<InstanceSettings>()> ReadSettings = {};
  /// Buffered log lines, which the daemon writes to standard output. Null if
  /// log lines are written directly.
  BoundedLog *Log = nullptr;
};

/// Runs an event loop on the calling thread only, because instances have one
/// core. Not thread-safe unless noted.
class SessionDaemon {
public:
  explicit SessionDaemon(InstanceSettings Settings,
                         SessionDaemonOptions Options = {});
  ~SessionDaemon();
  SessionDaemon(const SessionDaemon &) = delete;
  SessionDaemon &operator=(const SessionDaemon &) = delete;

  /// Serves until SIGTERM or SIGINT arrives and the subsequent drain has
  /// ended. Errors: Unavailable if an address can't be bound.
  Status run();
  /// Makes run() return at once, without a drain. Thread-safe.
  void abort();

private:
  struct Components;
  std::unique_ptr<Components> Impl;
};

} // namespace turmericpitch
