// The members of each service, as listed by the platform.
#pragma once

#include "core/Endpoint.h"
#include "core/Identifiers.h"
#include "core/Member.h"
#include "core/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace turmericpitch {

/// A member's registration. Immutable value.
struct RegisteredMember {
  UpstreamId Id;
  ServiceId Service;
  Endpoint Where;
  ZoneId Zone;
  /// Number of statements that it runs concurrently.
  std::uint32_t Slots = 1;
  /// Whether it accepts no new statements.
  bool Draining = false;
  /// The role that it reports.
  MemberRole Role = MemberRole::Replica;
  /// Start time by the member's own wall clock. Distinguishes a restarted
  /// member from the earlier process with the same id.
  std::uint64_t StartedAt = 0;

  auto operator<=>(const RegisteredMember &) const = default;
};

struct MemberRegistryOptions {
  /// How long a member that is missing after an outage of the listing is kept.
  /// Entries are specified to return after about 2 s.
  Duration ReturnTimeout = std::chrono::milliseconds(2500);
  /// A longer gap between two listings counts as an outage. Entries expire
  /// after three missed heartbeats.
  Duration OutageThreshold = std::chrono::milliseconds(2500);
};

/// Difference between two listings.
struct RegistryChange {
  std::vector<RegisteredMember> Added;
  /// Members whose registration changed, with the new registration.
  std::vector<RegisteredMember> Changed;
  std::vector<RegisteredMember> Removed;

  [[nodiscard]] bool empty() const {
    return this->Added.empty() && this->Changed.empty() &&
           this->Removed.empty();
  }
};

/// The members of the newest listing. After an outage of the listing, missing
/// members are kept for a while, because they may not have registered again
/// yet. Pure; not thread-safe.
class MemberRegistry {
public:
  explicit MemberRegistry(MemberRegistryOptions Options = {})
      : Options(Options) {}

  /// The registry was restored from an older copy, in which entries may be
  /// missing until their members write them again. Counts as an outage.
  void onRestored(TimePoint Now) {
    this->KeepMissingUntil = Now + this->Options.ReturnTimeout;
  }
  /// Replaces the members by a complete listing that was requested at AskedAt.
  RegistryChange onListing(std::vector<RegisteredMember> Listing,
                           TimePoint AskedAt);
  [[nodiscard]] bool loaded() const { return this->LastListing.has_value(); }
  /// Age of the newest listing; empty before the first.
  [[nodiscard]] std::optional<Duration> age(TimePoint Now) const;
  /// The members of a service, ordered by id; valid until the next listing.
  [[nodiscard]] std::vector<const RegisteredMember *>
  membersOf(const ServiceId &Service) const;
  /// The member, or nullptr; valid until the next listing.
  [[nodiscard]] const RegisteredMember *find(const UpstreamId &Id) const;

private:
  MemberRegistryOptions Options;
  std::map<UpstreamId, RegisteredMember> Members;
  std::optional<TimePoint> LastListing;
  /// Until this time, members missing from a listing are kept.
  TimePoint KeepMissingUntil;
};

} // namespace turmericpitch
