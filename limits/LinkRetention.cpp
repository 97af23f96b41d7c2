#include "limits/LinkRetention.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace turmericpitch {

double retentionPosition(const InstanceId &Instance, const UpstreamId &Member) {
  std::string Text = Instance.Value + "\n" + Member.Value;
  // The upper 53 bits fit the mantissa of a double.
  constexpr int UnusedBits = 11;
  constexpr double Range = 1ULL << 53;
  return static_cast<double>(XXH64(Text.data(), Text.size(), 0) >> UnusedBits) /
         Range;
}

bool LinkRetention::hasSmallShare(const MemberOccupancy &Seen) const {
  return Seen.Limit < this->Options.MinShareToKeepLinks *
                          std::max<std::size_t>(1, Seen.Instances);
}

std::size_t LinkRetention::heldLinks(const MemberOccupancy &Seen) const {
  double Fraction = Seen.Replica ? this->Options.MaxHeldFractionAtReplica
                                 : this->Options.MaxHeldFraction;
  double Share = Fraction * static_cast<double>(Seen.Limit) * Seen.RelativeUse /
                 static_cast<double>(std::max<std::size_t>(1, Seen.Instances));
  double Whole = std::floor(Share);
  return static_cast<std::size_t>(Whole) +
         (Seen.Position < Share - Whole ? 1 : 0);
}

bool LinkRetention::isCrowded(const MemberOccupancy &Seen, double Fraction,
                              TimePoint Now) const {
  if (Seen.RefusedAt &&
      Now - *Seen.RefusedAt < this->Options.CrowdedAfterRefusal)
    return true;
  if (Seen.Reported)
    return static_cast<double>(*Seen.Reported) >
           Fraction * static_cast<double>(Seen.Limit);
  return Now - Seen.StartedAt < this->Options.StartPeriod;
}

bool LinkRetention::hasRoom(const MemberOccupancy &Seen) const {
  return Seen.Reported &&
         static_cast<double>(*Seen.Reported) <=
             this->Options.RoomFraction * static_cast<double>(Seen.Limit);
}

std::size_t LinkRetention::minOpen(const MemberOccupancy &Seen) const {
  return this->hasSmallShare(Seen) ? 0 : this->Options.MinOpenLinks;
}

bool LinkRetention::isCrowdedAt(const MemberOccupancy &Seen, std::size_t Rank,
                                TimePoint Now) const {
  bool Held = Rank < this->heldLinks(Seen);
  return this->isCrowded(
      Seen, Held ? this->Options.FullFraction : this->Options.CrowdedFraction,
      Now);
}

bool LinkRetention::keepsIdle(const MemberOccupancy &Seen, std::size_t Rank,
                              double AccountShare, TimePoint Now) const {
  return !this->hasSmallShare(Seen) || !this->isCrowdedAt(Seen, Rank, Now) ||
         AccountShare >= this->Options.MinShareToKeepCrowded;
}

Duration LinkRetention::idleTimeout(const MemberOccupancy &Seen,
                                    std::size_t Rank, TimePoint Now) const {
  if (!this->hasSmallShare(Seen))
    return this->Options.ExtraIdleTimeout;
  if (this->isCrowdedAt(Seen, Rank, Now))
    return this->Options.CrowdedIdleTimeout;
  if (Rank < this->heldLinks(Seen))
    return this->Options.HeldIdleTimeout;
  return this->hasRoom(Seen) ? this->Options.RoomIdleTimeout
                             : this->Options.SmallShareIdleTimeout;
}

} // namespace turmericpitch
