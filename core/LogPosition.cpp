#include "core/LogPosition.h"

#include <algorithm>
#include <utility>

namespace turmericpitch {

TermHistory::TermHistory(std::vector<TermStart> Starts)
    : Starts(std::move(Starts)) {}

bool TermHistory::contains(const TermPosition &Entry,
                           LogPosition Reached) const {
  if (Entry.Position == LogPosition{})
    return true;
  if (Entry.Position > Reached)
    return false;
  auto Found = std::find_if(
      this->Starts.begin(), this->Starts.end(),
      [&](const TermStart &S) { return S.NewTerm == Entry.WrittenIn; });
  if (Found == this->Starts.end())
    return false;
  if (Entry.Position <= Found->PrecedingPosition)
    return false;
  auto Next = std::next(Found);
  return Next == this->Starts.end() ||
         Entry.Position <= Next->PrecedingPosition;
}

bool TermHistory::discards(const TermPosition &Entry) const {
  if (Entry.Position == LogPosition{})
    return false;
  if (Entry.WrittenIn > this->newestTerm())
    return false;
  if (Entry.WrittenIn == this->newestTerm())
    return Entry.Position <= this->Starts.back().PrecedingPosition;
  return !this->contains(Entry, Entry.Position);
}

TermPosition TermHistory::entryAt(LogPosition Position) const {
  auto Writer = std::find_if(this->Starts.rbegin(), this->Starts.rend(),
                             [&](const TermStart &Start) {
                               return Start.PrecedingPosition < Position;
                             });
  Term WrittenIn = Writer == this->Starts.rend() ? Term{} : Writer->NewTerm;
  return {.WrittenIn = WrittenIn, .Position = Position};
}

Term TermHistory::newestTerm() const {
  return this->Starts.empty() ? Term{} : this->Starts.back().NewTerm;
}

TermHistory TermHistory::extended(const TermStart &Start) const {
  std::vector<TermStart> Longer = this->Starts;
  Longer.push_back(Start);
  return TermHistory(std::move(Longer));
}

const std::vector<TermStart> &TermHistory::starts() const {
  return this->Starts;
}

} // namespace turmericpitch
