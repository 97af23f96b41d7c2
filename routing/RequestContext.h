// A caller's request and what the filters derive from it.
#pragma once

#include "configuration/ConfigurationSnapshot.h"
#include "routing/UpstreamView.h"
#include "session/SessionToken.h"

#include <string>

namespace turmericpitch {

/// A statement as sent by the caller. Immutable value.
struct StatementRequest {
  RequestId Id;
  /// The Host header without the port.
  std::string Host;
  /// The bearer credential.
  std::string Credential;
  ServiceId Service;
  DatabaseId Target;
  std::string Statement;
  bool Write = false;
  /// Whether the statement is idempotent. Reads always are.
  bool Repeatable = false;
  std::optional<Duration> MaximumAge;
  std::optional<IdempotencyKey> Key;
  std::string TokenText;
  /// Time after which the caller stops waiting.
  Duration Timeout = std::chrono::seconds(5);

  bool operator==(const StatementRequest &) const = default;
};

/// The request and the results of the filters. Used by one request only.
struct RequestContext {
  StatementRequest Request;
  TimePoint ArrivedAt;
  /// The same moment by the wall clock.
  WallTime ArrivedAtWall;
  SharedConfiguration Configuration;
  SharedDatabaseView View;

  // Set by the filters, in this order.
  const Brand *OwningBrand = nullptr;
  const ClientAccount *Account = nullptr;
  const Database *Target = nullptr;
  TimePoint Deadline;
  SessionToken Token;
};

} // namespace turmericpitch
