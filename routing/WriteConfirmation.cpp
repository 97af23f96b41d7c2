#include "routing/WriteConfirmation.h"

namespace turmericpitch {

ConfirmWrite requiredConfirmation(const MemberAnswer &Answer,
                                  const UpstreamId &From,
                                  const DatabaseView &View, Duration Timeout) {
  ConfirmWrite Wanted;
  Wanted.WriteTerm = Answer.Status.AcceptedTerm;
  // Replicating an entry of an earlier term does not make it safe; an entry of
  // the current term after it must be replicated, too.
  if (Answer.Written)
    Wanted.Written = Answer.Written->WrittenIn == Answer.Status.AcceptedTerm
                         ? *Answer.Written
                         : Answer.Status.LastEntry;
  for (const MemberView &Member : View.Members)
    if (Member.Configured.Id != From)
      Wanted.Replicas.push_back(Member.Configured);
  Wanted.RequiredCount = View.majority() - 1;
  Wanted.Timeout = Timeout;
  return Wanted;
}

bool confirms(const ConfirmWrite &Wanted, const MemberStatus &Status) {
  return Status.AcceptedTerm == Wanted.WriteTerm &&
         Status.History.contains(Wanted.Written, Status.LastEntry.Position);
}

} // namespace turmericpitch
