#include "routing/UpstreamView.h"

#include <algorithm>
#include <bit>

namespace turmericpitch {

namespace {

MemberView *find(DatabaseView &View, const UpstreamId &Id) {
  auto Found = std::find_if(
      View.Members.begin(), View.Members.end(),
      [&](const MemberView &Member) { return Member.Configured.Id == Id; });
  return Found == View.Members.end() ? nullptr : &*Found;
}

/// Whether Status is at least as recent as Known. Statuses may arrive out of
/// order. A member's term never decreases, nor does its applied position within
/// a term.
bool isNewerThanKnown(const MemberStatus &Status,
                      const std::optional<MemberStatus> &Known) {
  if (!Known)
    return true;
  if (Status.AcceptedTerm != Known->AcceptedTerm)
    return Status.AcceptedTerm > Known->AcceptedTerm;
  if (Status.Role != Known->Role)
    return Status.Role == MemberRole::Primary;
  return Status.AppliedPosition >= Known->AppliedPosition;
}

void addSample(DatabaseView &View, const MemberStatus &Status,
               TimePoint AskedAt) {
  if (Status.Role != MemberRole::Primary ||
      Status.AcceptedTerm != View.newestTerm())
    return;
  bool TooSoon = !View.Samples.empty() &&
                 AskedAt < View.Samples.back().TakenAt +
                               UpstreamController::MinSampleInterval;
  if (TooSoon)
    return;
  if (View.Samples.size() >= UpstreamController::MaxSamples)
    View.Samples.erase(View.Samples.begin());
  View.Samples.push_back({.TakenAt = AskedAt,
                          .PrimaryTerm = Status.AcceptedTerm,
                          .Reached = Status.LastEntry});
}

/// Counts a member's status as confirmation of the samples taken before the
/// member was queried.
void confirmSamples(DatabaseView &View, const MemberStatus &Status,
                    TimePoint AskedAt) {
  auto Member = std::find_if(
      View.Members.begin(), View.Members.end(),
      [&](const MemberView &M) { return M.Configured.Id == Status.Id; });
  auto Index = static_cast<std::size_t>(Member - View.Members.begin());
  if (Index >= UpstreamController::MaxConfirmingMembers)
    return;
  for (auto At = View.Samples.rbegin(); At != View.Samples.rend(); ++At) {
    // A member's term only grows, so it accepted no newer one at TakenAt
    // either.
    bool Confirms =
        At->TakenAt <= AskedAt && Status.AcceptedTerm <= At->PrimaryTerm;
    if (Confirms)
      At->ConfirmedBy |= std::uint64_t{1} << Index;
  }
}

/// Whether both views have the same members in the same order, so that the bits
/// of PositionSample::ConfirmedBy keep their meaning.
bool haveSameMembers(const DatabaseView &Left, const DatabaseView &Right) {
  return std::equal(Left.Members.begin(), Left.Members.end(),
                    Right.Members.begin(), Right.Members.end(),
                    [](const MemberView &L, const MemberView &R) {
                      return L.Configured.Id == R.Configured.Id &&
                             L.Configured.Where == R.Configured.Where;
                    });
}

} // namespace

Term DatabaseView::newestTerm() const {
  Term Newest;
  for (const MemberView &Member : this->Members)
    if (Member.Last)
      Newest = std::max(Newest, Member.Last->AcceptedTerm);
  return Newest;
}

const MemberView *DatabaseView::primary() const {
  Term Newest = this->newestTerm();
  for (const MemberView &Member : this->Members)
    if (Member.Last && Member.Last->Role == MemberRole::Primary &&
        Member.Last->AcceptedTerm == Newest)
      return &Member;
  return nullptr;
}

const MemberView *DatabaseView::member(const UpstreamId &Id) const {
  for (const MemberView &Member : this->Members)
    if (Member.Configured.Id == Id)
      return &Member;
  return nullptr;
}

std::size_t DatabaseView::majority() const {
  return this->Members.size() / 2 + 1;
}

bool DatabaseView::isProven(const PositionSample &Sample) const {
  return static_cast<std::size_t>(std::popcount(Sample.ConfirmedBy)) >=
         this->majority();
}

void UpstreamController::onConfigured(const Database &Configured) {
  this->Views.update(Configured.Id, [&](SharedDatabaseView &Slot) {
    auto Next = std::make_shared<DatabaseView>();
    Next->Id = Configured.Id;
    for (const DatabaseMember &Member : Configured.Members) {
      MemberView Updated;
      const MemberView *Previous = Slot ? Slot->member(Member.Id) : nullptr;
      if (Previous && Previous->Configured.Where == Member.Where)
        Updated = *Previous;
      Updated.Configured = Member;
      Next->Members.push_back(std::move(Updated));
    }
    if (Slot && haveSameMembers(*Slot, *Next))
      Next->Samples = Slot->Samples;
    Slot = std::move(Next);
  });
}

void UpstreamController::onRemoved(const DatabaseId &Id) {
  this->Views.erase(Id);
}

void UpstreamController::onStatus(const DatabaseId &Id,
                                  const MemberStatus &Status,
                                  TimePoint AskedAt) {
  this->Views.update(Id, [&](SharedDatabaseView &Slot) {
    if (!Slot || !Slot->member(Status.Id))
      return;
    auto Next = std::make_shared<DatabaseView>(*Slot);
    MemberView *Member = find(*Next, Status.Id);
    Member->FailuresInRow = 0;
    if (isNewerThanKnown(Status, Member->Last)) {
      Member->Last = Status;
      Member->AskedAt = AskedAt;
    }
    addSample(*Next, Status, AskedAt);
    confirmSamples(*Next, Status, AskedAt);
    Slot = std::move(Next);
  });
}

void UpstreamController::onFailure(const DatabaseId &Id,
                                   const UpstreamId &Member, TimePoint Now) {
  this->Views.update(Id, [&](SharedDatabaseView &Slot) {
    if (!Slot || !Slot->member(Member))
      return;
    auto Next = std::make_shared<DatabaseView>(*Slot);
    MemberView *Failed = find(*Next, Member);
    ++Failed->FailuresInRow;
    Failed->LastFailureAt = Now;
    Slot = std::move(Next);
  });
}

SharedDatabaseView UpstreamController::view(const DatabaseId &Id) const {
  return this->Views.read(Id, [](const SharedDatabaseView *Slot) {
    return Slot ? *Slot : SharedDatabaseView{};
  });
}

} // namespace turmericpitch
