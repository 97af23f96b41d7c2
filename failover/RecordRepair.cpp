#include "failover/RecordRepair.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Added to the last known epoch. Far more than the changes of primary that may
/// have followed before the record was lost, so that no epoch stands for two
/// primaries.
constexpr std::uint64_t LostEpochs = 1U << 20;

} // namespace

void RecordRepair::onListing(const std::vector<UnreadableRecord> &Unreadable,
                             const std::vector<PrimaryRecord> &Known,
                             TimePoint Now) {
  std::map<ServiceId, Entry> Next;
  for (const UnreadableRecord &Each : Unreadable) {
    Entry Seen{.Stored = Each.Stored, .SeenAt = Now, .Known = std::nullopt};
    auto Before = this->Tracked.find(Each.Service);
    if (Before != this->Tracked.end()) {
      Seen.Known = Before->second.Known;
      if (Before->second.Stored == Each.Stored)
        Seen.SeenAt = Before->second.SeenAt;
    }
    auto Record =
        std::ranges::find(Known, Each.Service, &PrimaryRecord::Service);
    if (Record != Known.end() &&
        (!Seen.Known || Seen.Known->Stored < Record->Stored))
      Seen.Known = *Record;
    Next.emplace(Each.Service, std::move(Seen));
  }
  this->Tracked = std::move(Next);
}

std::optional<PrimaryRecord> RecordRepair::replacement(const ServiceId &Id,
                                                       std::size_t Rank,
                                                       TimePoint Now) const {
  auto Found = this->Tracked.find(Id);
  if (Found == this->Tracked.end())
    return std::nullopt;
  const Entry &Lost = Found->second;
  Duration Wait =
      Lost.Known ? this->Options.OrderTimeout : this->Options.UnknownTimeout;
  Wait += this->Options.RankDelay * static_cast<Duration::rep>(Rank);
  if (Now - Lost.SeenAt < Wait)
    return std::nullopt;
  PrimaryRecord Before = Lost.Known.value_or(PrimaryRecord{});
  return PrimaryRecord{
      .Service = Id,
      .Epoch = std::max(Before.Epoch, firstEpoch(Lost.Stored)) + LostEpochs,
      .Primary = Before.Primary,
      // What was lost may have announced an order.
      .Phase = PrimaryPhase::Ordered,
      .ClosedFrom = Lost.Stored,
      .Stored = Lost.Stored};
}

} // namespace turmericpitch
