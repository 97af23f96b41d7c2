#include "failover/CommitRule.h"

namespace turmericpitch {

WriteConfirmation confirmationFor(const MemberAnswer &Answer) {
  Term Present = Answer.Status.Accepted;
  bool OfPresentTerm = Answer.Written->WrittenIn == Present;
  return {.Entry = OfPresentTerm ? *Answer.Written : Answer.Status.Received,
          .WrittenUnder = Present};
}

bool confirms(const MemberStatus &Replica, const WriteConfirmation &Wanted) {
  return Replica.Accepted == Wanted.WrittenUnder &&
         Replica.History.holds(Wanted.Entry, Replica.Received.Position);
}

} // namespace turmericpitch
