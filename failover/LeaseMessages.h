// What instances tell one another of primaries.
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

/// How a primary answers an instance.
enum class PrimaryReachability : std::uint8_t {
  /// Nothing was asked of it lately.
  Unknown,
  Responding,
  Silent,
};

/// What an instance tells of one service.
struct ServiceReport {
  /// WithoutPrimary the fields that only a promoter needs.
  PrimaryRecord Record;
  /// How old the read behind the record is at most.
  Duration Age{0};
  /// The sender closes no record of this reign for the longest use of a
  /// right, counted from when the question came in.
  bool Granted = false;
  PrimaryReachability Reachability = PrimaryReachability::Unknown;
  /// The newest position seen in the log of the record's primary while it
  /// certainly led; nothing if none was seen.
  std::optional<TermPosition> Sample = std::nullopt;
  /// How long before the answer that position was asked for.
  Duration SampleAge{0};

  bool operator==(const ServiceReport &) const = default;
};

/// How recent what an instance knows is, so that others notice that they are
/// behind.
struct KnownVersions {
  /// The version of the configuration that it runs.
  std::uint64_t Configuration = 0;
  /// The store's revision at which it found the members' list changed.
  std::uint64_t Members = 0;
  /// Tells two lists of instances apart.
  std::uint64_t Instances = 0;
  /// How old the read behind the list of instances is at most.
  Duration InstancesAge{0};
  /// The store's revision of the newest step in a change of any primary.
  std::uint64_t PromoterStep = 0;
  /// How long ago that step was seen; it was made no later.
  Duration PromoterStepAge{0};

  bool operator==(const KnownVersions &) const = default;
};

/// Asks what an instance knows.
struct LeaseQuery {
  std::uint32_t Serial = 0;
  /// Whether it should promise to close nothing.
  bool WantsGrants = false;

  bool operator==(const LeaseQuery &) const = default;
};
/// One part of the answer.
struct LeaseReply {
  std::uint32_t Serial = 0;
  std::uint8_t Part = 0;
  std::uint8_t Parts = 1;
  KnownVersions Versions = {};
  /// The registration under which the sender will not change any primary
  /// again, as it is about to end; 0 while it may.
  Revision RetiredRegistration = {};
  std::vector<ServiceReport> Services = {};

  bool operator==(const LeaseReply &) const = default;
};
/// Something has changed; asking the sender is worth it.
struct ChangeNotification {
  bool operator==(const ChangeNotification &) const = default;
};

using LeaseMessage = std::variant<LeaseQuery, LeaseReply, ChangeNotification>;

/// Services that fit one part of an answer.
inline constexpr std::size_t MaxServicesPerPart = 8;

/// Thread-safe.
std::string encodeLeaseMessage(const LeaseMessage &Message);
/// Thread-safe. Errors: BadRequest if malformed or of another version.
Result<LeaseMessage> decodeLeaseMessage(std::string_view Bytes);

} // namespace turmericpitch
