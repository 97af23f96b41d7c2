// The running instances as registered in the store.
#pragma once

#include "core/Endpoint.h"
#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/KeyValue.h"
#include "core/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// Key prefix under which each instance registers with its name and a lease.
inline constexpr std::string_view InstancesPrefix = "turmericpitch/instances/";

/// An instance's registration. Immutable value.
struct RegisteredInstance {
  InstanceId Id;
  /// Where the instance receives datagrams of other instances.
  Endpoint PeerEndpoint;
  ZoneId Zone;
  /// The store's revision of the registration.
  Revision Stored = {};

  auto operator<=>(const RegisteredInstance &) const = default;
};

/// Encodes the value that an instance registers. Thread-safe.
std::string encodeRegisteredInstance(const RegisteredInstance &Instance);
/// Decodes a registration. Thread-safe. Errors: BadRequest if malformed.
Result<RegisteredInstance> decodeRegisteredInstance(const KeyValueEntry &Entry);

/// The registered instances, sorted by name. Performs no I/O; not thread-safe.
class InstanceRegistry {
public:
  explicit InstanceRegistry(InstanceId Self) : Self(std::move(Self)) {}

  /// Replaces the list by the result of a read sent at ReadSentAt. Returns
  /// whether the list has changed.
  bool onListing(std::vector<RegisteredInstance> NewInstances,
                 TimePoint ReadSentAt);
  /// Records that another instance holds the same list, from a read sent no
  /// earlier than ReadSentAt.
  void onConfirmed(TimePoint ReadSentAt);
  /// Hash of the names and store revisions in the list; 0 before the first
  /// listing that is not empty.
  [[nodiscard]] std::uint64_t digest() const { return this->Digest; }
  [[nodiscard]] const InstanceId &self() const { return this->Self; }
  /// Number of instances, this one included even if it isn't listed.
  [[nodiscard]] std::size_t count() const;
  /// Whether an instance of another zone is listed.
  [[nodiscard]] bool hasOtherZone(const ZoneId &Zone) const;
  /// The registration of an instance, or nullptr. Valid until the next listing.
  [[nodiscard]] const RegisteredInstance *find(const InstanceId &Id) const;
  /// Whether this instance is in the newest listing.
  [[nodiscard]] bool listsSelf() const;
  [[nodiscard]] const std::vector<RegisteredInstance> &all() const {
    return this->Instances;
  }
  [[nodiscard]] const std::optional<TimePoint> &readSentAt() const {
    return this->ReadSentAt;
  }

private:
  InstanceId Self;
  std::vector<RegisteredInstance> Instances;
  std::optional<TimePoint> ReadSentAt;
  std::uint64_t Digest = 0;
};

} // namespace turmericpitch
