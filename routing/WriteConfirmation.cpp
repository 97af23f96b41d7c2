#include "routing/WriteConfirmation.h"

namespace turmericpitch {

ConfirmWrite confirmationOf(const MemberAnswer &Answer, const UpstreamId &From,
                            const DatabaseView &View, Duration Limit) {
  ConfirmWrite Wanted;
  Wanted.WrittenUnder = Answer.Status.Accepted;
  // An entry of an earlier term is safe only under one of the present term.
  if (Answer.Written)
    Wanted.Written = Answer.Written->WrittenIn == Answer.Status.Accepted
                         ? *Answer.Written
                         : Answer.Status.Received;
  for (const MemberView &Member : View.Members)
    if (Member.Configured.Id != From)
      Wanted.Replicas.push_back(Member.Configured);
  Wanted.Needed = View.majority() - 1;
  Wanted.Limit = Limit;
  return Wanted;
}

bool confirms(const ConfirmWrite &Wanted, const MemberStatus &Status) {
  return Status.Accepted == Wanted.WrittenUnder &&
         Status.History.contains(Wanted.Written, Status.Received.Position);
}

} // namespace turmericpitch
