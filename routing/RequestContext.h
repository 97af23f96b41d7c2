// One caller request on its way through the filter chain.
#pragma once

#include "configuration/ConfigurationSnapshot.h"
#include "routing/UpstreamView.h"
#include "session/SessionToken.h"

#include <string>

namespace turmericpitch {

/// A statement as the caller sent it. Immutable value.
struct StatementRequest {
  RequestId Id;
  /// The Host header, without a port.
  std::string Host;
  /// The bearer credential.
  std::string Credential;
  ServiceId Service;
  DatabaseId Target;
  std::string Statement;
  bool Write = false;
  /// Whether running it twice does no harm. Reads always are.
  bool Repeatable = false;
  std::optional<Duration> MaximumAge;
  std::optional<IdempotencyKey> Key;
  std::string TokenText;
  /// How long the caller waits.
  Duration Timeout = std::chrono::seconds(5);

  bool operator==(const StatementRequest &) const = default;
};

/// What the filters have worked out. Used by one request only.
struct RequestContext {
  StatementRequest Request;
  TimePoint ArrivedAt;
  /// The same moment by the calendar.
  WallTime ArrivedAtWall;
  SharedConfiguration Configuration;
  SharedDatabaseView View;

  // Filled in by the filters, in this order.
  const Brand *OwningBrand = nullptr;
  const ClientAccount *Account = nullptr;
  const Database *Target = nullptr;
  TimePoint Deadline;
  SessionToken Token;
};

} // namespace turmericpitch
