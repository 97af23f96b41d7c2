// The instances that run at present, as they registered in the store.
#pragma once

#include "core/Endpoint.h"
#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/KeyValue.h"
#include "core/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// Where instances register, each under its own name and lease.
inline constexpr std::string_view InstancesPrefix = "turmericpitch/instances/";

/// One registered instance. Immutable value.
struct RegisteredInstance {
  InstanceId Id;
  /// Where it takes datagrams of other instances.
  Endpoint PeerEndpoint;
  ZoneId Zone;
  /// The store's revision of the entry.
  Revision Stored = {};

  auto operator<=>(const RegisteredInstance &) const = default;
};

/// The value that an instance registers. Thread-safe.
std::string encodeRegisteredInstance(const RegisteredInstance &Instance);
/// Thread-safe. Errors: BadRequest.
Result<RegisteredInstance> decodeRegisteredInstance(const KeyValueEntry &Entry);

/// The registered instances, sorted by name. Pure; not thread-safe.
class InstanceRegistry {
public:
  explicit InstanceRegistry(InstanceId Self) : Self(std::move(Self)) {}

  /// All entries as a read sent at AskedAt showed them. Returns whether the
  /// set of instances has changed.
  bool onListing(std::vector<RegisteredInstance> NewInstances,
                 TimePoint ReadSentAt);
  /// Another instance holds the same list from a read no older than AskedAt.
  void onConfirmed(TimePoint ReadSentAt);
  /// When the present list was read, the newest such time that is no later
  /// than Latest; nothing if there is none.
  [[nodiscard]] std::optional<TimePoint> readSentBefore(TimePoint Latest) const;
  /// Tells two lists apart.
  [[nodiscard]] std::uint64_t digest() const { return this->Digest; }
  [[nodiscard]] const InstanceId &self() const { return this->Self; }
  /// Whether an instance registered less than Limit ago, as far as this one
  /// has seen it come; who was there at the first listing counts as old.
  [[nodiscard]] bool isNew(const InstanceId &Id, Duration MaxAge,
                           TimePoint Now) const;
  /// How many instances there are, the own one included.
  [[nodiscard]] std::size_t count() const;
  /// Whether an instance of another zone is listed.
  [[nodiscard]] bool hasOtherZone(const ZoneId &Zone) const;
  /// The entry of an instance, or nullptr; valid until the next listing.
  [[nodiscard]] const RegisteredInstance *find(const InstanceId &Id) const;
  /// Whether the own entry was in the newest listing.
  [[nodiscard]] bool listsSelf() const;
  [[nodiscard]] const std::vector<RegisteredInstance> &all() const {
    return this->Instances;
  }
  [[nodiscard]] const std::optional<TimePoint> &readSentAt() const {
    return this->ReadSentAt;
  }

private:
  /// When a registration was first seen.
  struct Registration {
    Revision Stored;
    TimePoint FirstSeenAt;
  };
  void updateRegistrations(TimePoint ReadSentAt);

  InstanceId Self;
  std::vector<RegisteredInstance> Instances;
  /// Of instances that came after the first listing.
  std::map<InstanceId, Registration> Registrations;
  bool HasListing = false;
  std::optional<TimePoint> ReadSentAt;
  /// Times at which the present list was read, oldest first.
  std::deque<TimePoint> ReadTimes;
  std::uint64_t Digest = 0;
};

} // namespace turmericpitch
