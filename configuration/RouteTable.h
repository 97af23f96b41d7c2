// The configured routes: which service each database name is routed to, and
// with which limits.
#pragma once

#include "configuration/AccountDirectory.h"
#include "core/Identifiers.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmericpitch {

/// The commits that a read is guaranteed to see.
enum class Consistency : std::uint8_t {
  /// Every commit acknowledged before the read started.
  Strong,
  /// Every commit older than the maximum age.
  BoundedStaleness,
  /// As BoundedStaleness, and every commit of the same session.
  ReadYourWrites,
};

/// Name of the level in logs and metrics; stable. Thread-safe.
std::string_view toString(Consistency Level);

/// Routing and limits for sessions of one database name. Immutable value.
struct RouteRule {
  std::string Name;
  /// Database name that callers use.
  std::string Database;
  ServiceId Service;
  Consistency Level = Consistency::Strong;
  /// Time-out of a single statement.
  Duration StatementTimeout{0};
  /// Target duration of a whole operation.
  Duration LatencyGoal{0};
  /// Scheduling priority; 0 is the highest.
  std::uint32_t Priority = 0;
  /// Maximum age of the data that a read returns. Used by BoundedStaleness and
  /// ReadYourWrites only.
  Duration MaximumAge{0};
  RouteAccess Access = RouteAccess::Authenticated;

  bool operator==(const RouteRule &) const = default;
};

/// Limits for the members of one service.
struct ServiceRule {
  /// Maximum connections to one member from all instances together.
  std::uint32_t MaximumConnections = 1;
  /// Replicas that must have received a commit before it is acknowledged.
  std::uint32_t SynchronousReplicas = 0;

  bool operator==(const ServiceRule &) const = default;
};

/// One complete version of the routing configuration. Immutable value.
struct RouteTable {
  std::uint64_t Version = 0;
  /// Keyed by database name.
  std::map<std::string, RouteRule, std::less<>> Routes;
  std::map<ServiceId, ServiceRule> Services;
  AccountDirectory Accounts = {};
  /// A transaction that is idle for longer may be ended; no limit if not
  /// set.
  std::optional<Duration> TransactionIdleTimeout = std::nullopt;

  bool operator==(const RouteTable &) const = default;
};

/// The smallest and the largest age of data that the routes of a service
/// accept. Immutable value.
struct AcceptedAges {
  Duration Strictest{0};
  Duration Loosest{0};

  bool operator==(const AcceptedAges &) const = default;
};

/// Holds the newest route table and rejects older ones. Does no I/O; not
/// thread-safe.
class RouteController {
public:
  /// Replaces the table if the candidate has a higher version. Returns whether
  /// it did.
  bool replaceIfNewer(RouteTable Candidate, TimePoint Now = {});
  [[nodiscard]] bool loaded() const { return this->Table.has_value(); }
  [[nodiscard]] std::uint64_t version() const;
  /// When the version in force was applied here.
  [[nodiscard]] TimePoint appliedAt() const { return this->AppliedAt; }
  /// The accounts of the version in force. Before any version is loaded, every
  /// caller is admitted: check loaded() first. Valid until the next
  /// replaceIfNewer().
  [[nodiscard]] const AccountDirectory &accounts() const;
  /// The route of a database name, or nullptr; valid until the next
  /// replaceIfNewer().
  [[nodiscard]] const RouteRule *route(std::string_view Database) const;
  [[nodiscard]] const ServiceRule *service(const ServiceId &Id) const;
  /// Whether a service acknowledges commits once replicas have received them.
  [[nodiscard]] bool hasSynchronousReplicas() const;
  /// The lowest priority (the greatest number) among the routes of a service; 0
  /// if it has none.
  [[nodiscard]] std::uint32_t lowestPriority(const ServiceId &Id) const;
  /// The limits on the age of data among the routes of a service; empty if none
  /// has one.
  [[nodiscard]] std::optional<AcceptedAges>
  acceptedAges(const ServiceId &Id) const;
  [[nodiscard]] const std::optional<RouteTable> &table() const {
    return this->Table;
  }

private:
  std::optional<RouteTable> Table;
  TimePoint AppliedAt;
};

} // namespace turmericpitch
