#include "failover/LossDetector.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericpitch {

namespace {

std::uint64_t weight(const DatabaseId &Id, const InstanceId &Instance) {
  std::string Text = Id.Value + "/" + Instance.Value;
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

std::size_t promoterRank(const DatabaseId &Id,
                         const LossDetectorOptions &Options) {
  std::uint64_t Own = weight(Id, Options.Self);
  return static_cast<std::size_t>(std::count_if(
      Options.Instances.begin(), Options.Instances.end(),
      [&](const InstanceId &Instance) { return weight(Id, Instance) > Own; }));
}

LossDetector::LossDetector(LossDetectorOptions Options)
    : Options(std::move(Options)) {}

PrimaryVerdict LossDetector::look(const DatabaseView &View, TimePoint Now) {
  bool WasPaused =
      this->LastLook && Now - *this->LastLook > this->Options.OwnPauseLimit;
  this->LastLook = Now;
  if (WasPaused)
    this->SilentSince.reset();
  const MemberView *Primary = View.primary();
  if (Primary && Primary->FailuresInRow == 0) {
    this->SilentSince.reset();
    return PrimaryVerdict::Wait;
  }
  if (!this->SilentSince)
    this->SilentSince = Now;
  Duration Delay =
      this->Options.SilenceLimit +
      this->Options.RankDelay *
          static_cast<std::int64_t>(promoterRank(View.Id, this->Options));
  if (Now < *this->SilentSince + Delay)
    return PrimaryVerdict::Wait;
  this->SilentSince = Now;
  return PrimaryVerdict::Promote;
}

} // namespace turmericpitch
