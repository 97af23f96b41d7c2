// Stand-in for the platform's key-value service, served over HTTP.
#pragma once

#include "drivers/ChangeSignal.h"
#include "drivers/HttpServer.h"
#include "stand_ins/KeyValueStore.h"

namespace turmericpitch {

/// Serves a KeyValueStore with the API of the etcd v3 JSON gateway.
/// POST /stand-in/faults sets the injected faults. Thread-safe.
class KeyValueServer {
public:
  KeyValueServer(Executor Exec, Endpoint Listen, KeyValueLimits Limits = {});

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  void close();
  void setFaults(const KeyValueFaults &Faults);
  [[nodiscard]] KeyValueCounters counters() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
  HttpServer Server;
};

} // namespace turmericpitch
