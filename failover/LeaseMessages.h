// Messages that instances exchange about primaries and leases.
#pragma once

#include "core/LogPosition.h"
#include "core/Time.h"
#include "failover/PrimaryRecord.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericpitch {

/// Whether a primary responds to an instance.
enum class PrimaryReachability : std::uint8_t {
  /// No recent request.
  Unknown,
  Responding,
  Silent,
};

/// The report of an instance on one service.
struct ServiceReport {
  /// Without target, term, writer and attempt, which only a promoter needs. It
  /// reads the store first.
  PrimaryRecord Record;
  /// Maximum age of the read that showed the record.
  Duration Age{0};
  /// Maximum age of what the sender's lease is counted from: that read, or a
  /// later round of grants.
  Duration LeaseAge{0};
  /// The revision of the grantor set that the read showed.
  Revision Grantors = {};
  /// Whether the sender promises to keep the record of this epoch open for the
  /// maximum use of a lease, counted from the receipt of the query.
  bool Granted = false;
  /// The newest closing of this service that the sender has consented to.
  Revision ConsentedTo = {};
  PrimaryReachability Reachability = PrimaryReachability::Unknown;
  /// The newest log position of the record's primary that was read while it
  /// was certainly the primary; nothing if none was read.
  std::optional<TermPosition> Sample = std::nullopt;
  /// Time between the request for that position and this reply.
  Duration SampleAge{0};

  bool operator==(const ServiceReport &) const = default;
};

/// The versions that an instance has, so that others notice when theirs are
/// stale.
struct KnownVersions {
  /// The version of the active configuration.
  std::uint64_t Configuration = 0;
  /// The store's revision of the newest change in the member registry.
  std::uint64_t Members = 0;
  /// Distinguishes lists of instances.
  std::uint64_t Instances = 0;
  /// Maximum age of the read that showed the list of instances.
  Duration InstancesAge{0};
  /// The store's revision of the newest promotion step of any service.
  std::uint64_t PromoterStep = 0;
  /// Time since that step was read; the step itself may be older.
  Duration PromoterStepAge{0};
  /// The store held no newer configuration this long ago; nothing if that isn't
  /// known, or the instance runs a build that doesn't tell.
  std::optional<Duration> ConfigurationConfirmedAge = std::nullopt;
  /// The same for changes in the member registry.
  std::optional<Duration> MembersConfirmedAge = std::nullopt;

  bool operator==(const KnownVersions &) const = default;
};

/// Queries the reports of an instance.
struct LeaseQuery {
  std::uint32_t Serial = 0;
  /// Whether the receiver should promise to keep open records open for the
  /// maximum use of a lease.
  bool WantsGrants = false;
  /// Whether a reply without reports on services suffices.
  bool Brief = false;

  bool operator==(const LeaseQuery &) const = default;
};
/// One part of the reply to a query.
struct LeaseReply {
  std::uint32_t Serial = 0;
  std::uint8_t Part = 0;
  std::uint8_t Parts = 1;
  KnownVersions Versions = {};
  /// Whether the sender remembers what it has consented to: it has read
  /// verified records from the store since its start.
  bool RemembersGrants = false;
  /// Whether the sender is stopping, so that its silence is expected.
  bool Stopping = false;
  std::vector<ServiceReport> Services = {};

  bool operator==(const LeaseReply &) const = default;
};
/// A report has changed. The receiver should query the sender.
struct ChangeNotification {
  bool operator==(const ChangeNotification &) const = default;
};

/// Asks a grantor to grant nothing more on a record that was closed.
struct CloseRequest {
  std::uint32_t Serial = 0;
  ServiceId Service;
  /// The revision of the closed record.
  Revision Closed = {};

  bool operator==(const CloseRequest &) const = default;
};
/// Consents to a CloseRequest.
struct CloseConsent {
  std::uint32_t Serial = 0;

  bool operator==(const CloseConsent &) const = default;
};

using LeaseMessage = std::variant<LeaseQuery, LeaseReply, ChangeNotification,
                                  CloseRequest, CloseConsent>;

/// Maximum number of services in one part of a reply.
inline constexpr std::size_t MaxServicesPerPart = 8;

/// Names longer than 200 bytes are truncated. Thread-safe.
std::string encodeLeaseMessage(const LeaseMessage &Message);
/// Thread-safe. Errors: BadRequest if malformed or of another version.
Result<LeaseMessage> decodeLeaseMessage(std::string_view Bytes);

} // namespace turmericpitch
