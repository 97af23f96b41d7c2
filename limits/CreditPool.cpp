#include "limits/CreditPool.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Bounds the memory of a pool and the credit that expires early.
constexpr int SlicesPerAge = 16;

} // namespace

void CreditPool::add(double ShareSeconds, TimePoint CreatedAt, Duration Age) {
  if (ShareSeconds <= 0)
    return;
  Duration Width = std::max(Age / SlicesPerAge, Duration(1));
  // Rounded down, so that nothing expires late.
  TimePoint Start = CreatedAt - CreatedAt.time_since_epoch() % Width;
  if (Start > CreatedAt)
    Start -= Width;
  auto Position = std::upper_bound(
      this->Slices.begin(), this->Slices.end(), Start,
      [](TimePoint Time, const Slice &S) { return Time < S.CreatedAt; });
  if (Position != this->Slices.begin() &&
      std::prev(Position)->CreatedAt == Start) {
    std::prev(Position)->ShareSeconds += ShareSeconds;
    return;
  }
  this->Slices.insert(Position,
                      {.CreatedAt = Start, .ShareSeconds = ShareSeconds});
}

void CreditPool::removeBefore(TimePoint Oldest) {
  auto End =
      std::find_if(this->Slices.begin(), this->Slices.end(),
                   [&](const Slice &S) { return S.CreatedAt >= Oldest; });
  this->Slices.erase(this->Slices.begin(), End);
}

double CreditPool::available() const {
  double Sum = 0;
  for (const Slice &Each : this->Slices)
    Sum += Each.ShareSeconds;
  return Sum;
}

TimePoint CreditPool::take(double ShareSeconds, TimePoint Preferred) {
  TimePoint Earliest = TimePoint::max();
  auto TakeFrom = [&](auto Begin, auto End) {
    for (auto Each = Begin; Each != End && ShareSeconds > 0; ++Each) {
      double Taken = std::min(ShareSeconds, Each->ShareSeconds);
      if (Taken <= 0)
        continue;
      Each->ShareSeconds -= Taken;
      ShareSeconds -= Taken;
      Earliest = std::min(Earliest, Each->CreatedAt);
    }
  };
  auto First =
      std::find_if(this->Slices.begin(), this->Slices.end(),
                   [&](const Slice &S) { return S.CreatedAt >= Preferred; });
  TakeFrom(First, this->Slices.end());
  TakeFrom(std::make_reverse_iterator(First), this->Slices.rend());
  std::erase_if(this->Slices,
                [](const Slice &S) { return S.ShareSeconds <= 0; });
  return Earliest;
}

} // namespace turmericpitch
