// The operator's routes: which database name leads to which service, and how.
#pragma once

#include "core/Identifiers.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmericpitch {

/// Which commits a read must see.
enum class Consistency : std::uint8_t {
  /// Every commit acknowledged before the read.
  Strong,
  /// Every commit older than a stated age.
  BoundedStaleness,
  /// The same, and every commit of the own session.
  ReadYourWrites,
};

/// The level's stable name in logs and metrics. Thread-safe.
std::string_view toString(Consistency Level);

/// How the sessions of one database name are served. Immutable value.
struct RouteRule {
  std::string Name;
  /// The name under which callers reach it.
  std::string Database;
  ServiceId Service;
  Consistency Level = Consistency::Strong;
  /// Limit for a single statement.
  Duration StatementTimeout{0};
  /// By when a whole operation should be done.
  Duration LatencyGoal{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Age of data accepted; only for the levels that state one.
  Duration MaximumAge{0};

  bool operator==(const RouteRule &) const = default;
};

/// Limits of one service's members.
struct ServiceRule {
  /// Connections that one member takes from all instances together.
  std::uint32_t MaximumConnections = 1;
  /// Replicas that must have received a commit before it is acknowledged.
  std::uint32_t SynchronousReplicas = 0;

  bool operator==(const ServiceRule &) const = default;
};

/// One version of the configuration, whole. Immutable value.
struct RouteTable {
  std::uint64_t Version = 0;
  /// By the database's name.
  std::map<std::string, RouteRule, std::less<>> Routes;
  std::map<ServiceId, ServiceRule> Services;
  /// A transaction idle for longer may be ended; not set means no limit.
  std::optional<Duration> TransactionIdleTimeout = std::nullopt;

  bool operator==(const RouteTable &) const = default;
};

/// Holds the newest table; never goes back to an older one. Pure; not
/// thread-safe.
class RouteController {
public:
  /// Takes a table over. Returns whether it is newer than the one held.
  bool replaceIfNewer(RouteTable Candidate);
  [[nodiscard]] bool loaded() const { return this->Table.has_value(); }
  [[nodiscard]] std::uint64_t version() const;
  /// The route of a database name, or nullptr; valid until the next
  /// replaceIfNewer().
  [[nodiscard]] const RouteRule *route(std::string_view Database) const;
  [[nodiscard]] const ServiceRule *service(const ServiceId &Id) const;
  /// The greatest number, so the least urgency, of a service's routes.
  [[nodiscard]] std::uint32_t lowestPriority(const ServiceId &Id) const;
  [[nodiscard]] const std::optional<RouteTable> &table() const {
    return this->Table;
  }

private:
  std::optional<RouteTable> Table;
};

} // namespace turmericpitch
