#include "failover/RecordVerification.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Added to the epoch of a service whose changes of primary may be forgotten.
/// Far more than the changes that a copy of some seconds can lack, so that no
/// epoch stands for two primaries.
constexpr std::uint64_t ForgottenEpochs = 1U << 20;
/// The same if all promises are remembered: at most one epoch may have begun
/// that a majority of the grantors don't know, as they would have consented to
/// the closing of a second.
constexpr std::uint64_t UnknownEpochs = 2;

/// Whether Left is the newer of two records of the same era.
bool isNewer(const PrimaryRecord &Left, const PrimaryRecord &Right) {
  return std::pair(Left.Epoch, Left.Stored) >
         std::pair(Right.Epoch, Right.Stored);
}

} // namespace

RecordVerification::RecordVerification(StoreEra Era, GrantorSet Set,
                                       TimePoint SeenAt,
                                       RecordVerificationOptions Options)
    : Era(Era), Set(std::move(Set)), SeenAt(SeenAt), Options(Options) {}

void RecordVerification::onReply(const Grantor &From, const LeaseReply &Reply) {
  if (!this->Set.all().contains(From))
    return;
  Progress &Own = this->Replies[From];
  if (!Own.Parts.insert(Reply.Part).second)
    return;
  Own.Remembers = Own.Remembers && Reply.RemembersGrants;
  for (const ServiceReport &Each : Reply.Services) {
    auto [Found, Added] = this->Known.try_emplace(
        Each.Record.Service, KnownService{Each.Record, Each.ConsentedTo});
    KnownService &Service = Found->second;
    if (Added)
      continue;
    if (isNewer(Each.Record, Service.Newest))
      Service.Newest = Each.Record;
    Service.ConsentedTo = std::max(Service.ConsentedTo, Each.ConsentedTo);
  }
  if (Own.Parts.size() != Reply.Parts)
    return;
  this->Replied.insert(From);
  if (Own.Remembers)
    this->Remembering.insert(From);
}

VerificationStatus RecordVerification::status(TimePoint Now) const {
  bool HasGrantors = !this->Set.Current.empty();
  if (HasGrantors && this->Set.hasQuorumOfEach(this->Remembering))
    return VerificationStatus::Complete;
  Duration Since = Now - this->SeenAt;
  bool Answered = HasGrantors && this->Set.hasQuorumOfEach(this->Replied);
  bool Over = Since >= (Answered ? this->Options.OrderTimeout
                                 : this->Options.LeaseTimeout);
  return Over ? VerificationStatus::Unknown : VerificationStatus::Waiting;
}

std::vector<PrimaryRecord>
RecordVerification::verified(const std::vector<PrimaryRecord> &Copy,
                             TimePoint Now) const {
  bool Complete = this->status(Now) == VerificationStatus::Complete;
  std::map<ServiceId, KnownService> All = this->Known;
  for (const PrimaryRecord &Each : Copy) {
    auto [Found, Added] =
        All.try_emplace(Each.Service, KnownService{Each, Revision{}});
    PrimaryRecord &Newest = Found->second.Newest;
    bool ClosedInCopy = Each.Epoch == Newest.Epoch &&
                        Each.Phase != PrimaryPhase::Open &&
                        Newest.Phase == PrimaryPhase::Open;
    if (Added || Each.Epoch > Newest.Epoch || ClosedInCopy)
      Newest = Each;
  }
  std::vector<PrimaryRecord> Records;
  for (const auto &[Id, Service] : All) {
    PrimaryRecord Next{.Service = Id,
                       .Epoch = Service.Newest.Epoch,
                       .Primary = Service.Newest.Primary};
    bool Certain = Complete && Service.Newest.Phase == PrimaryPhase::Open &&
                   Service.ConsentedTo < Service.Newest.Stored;
    if (!Certain) {
      // A promotion may have been ordered, and epochs that nobody knows may
      // have begun. This record's epoch and the next one must differ from them.
      Next.Phase = PrimaryPhase::Ordered;
      Next.ClosedFrom = positionInHistory(this->Era, 0);
      Next.Epoch += Complete ? UnknownEpochs : ForgottenEpochs;
    }
    Records.push_back(std::move(Next));
  }
  return Records;
}

} // namespace turmericpitch
