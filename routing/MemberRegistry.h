// The members of each service as the platform lists them.
#pragma once

#include "core/Endpoint.h"
#include "core/Identifiers.h"
#include "core/Member.h"
#include "core/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

/// One member as it registered itself. Immutable value.
struct RegisteredMember {
  UpstreamId Id;
  ServiceId Service;
  Endpoint Where;
  ZoneId Zone;
  /// Statements that it runs at once.
  std::uint32_t Slots = 1;
  /// Takes no new work.
  bool Draining = false;
  /// How it sees itself.
  MemberRole Role = MemberRole::Replica;
  /// When it started, by its own wall clock; tells two lives of one id apart.
  std::uint64_t StartedAt = 0;

  auto operator<=>(const RegisteredMember &) const = default;
};

struct MemberRegistryOptions {
  /// How long a member that is missing after an outage of the list stays
  /// listed; the users state about 2 s until entries are back.
  Duration ReturnTimeout = std::chrono::milliseconds(2500);
  /// A longer pause between two listings counts as an outage: entries lapse
  /// after three missed heartbeats.
  Duration OutageThreshold = std::chrono::milliseconds(2500);
};

/// What a new listing changed.
struct RegistryChange {
  std::vector<RegisteredMember> Added;
  /// Members whose entry changed, as they are now.
  std::vector<RegisteredMember> Changed;
  std::vector<RegisteredMember> Removed;

  [[nodiscard]] bool empty() const {
    return this->Added.empty() && this->Changed.empty() &&
           this->Removed.empty();
  }
};

/// Pure; not thread-safe.
class MemberRegistry {
public:
  explicit MemberRegistry(MemberRegistryOptions Options = {})
      : Options(Options) {}

  /// Takes over a whole listing that was asked for at AskedAt.
  RegistryChange onListing(std::vector<RegisteredMember> Listing,
                           TimePoint AskedAt);
  [[nodiscard]] bool loaded() const { return this->LastListing.has_value(); }
  /// How old the newest listing is; nothing before the first.
  [[nodiscard]] std::optional<Duration> age(TimePoint Now) const;
  /// The members of a service, by id; valid until the next listing.
  [[nodiscard]] std::vector<const RegisteredMember *>
  membersOf(const ServiceId &Service) const;
  /// The member, or nullptr; valid until the next listing.
  [[nodiscard]] const RegisteredMember *find(const UpstreamId &Id) const;

private:
  MemberRegistryOptions Options;
  std::map<UpstreamId, RegisteredMember> Members;
  std::optional<TimePoint> LastListing;
  /// Until when missing members stay listed.
  TimePoint KeepMissingUntil;
};

} // namespace turmericpitch
