#include "drivers/OutstandingAttempts.h"

#include "drivers/MemberLinkPool.h"

#include <algorithm>

namespace turmericpitch {

void OutstandingAttempts::add(StatementAttempt Attempt) {
  this->Attempts.push_back(std::move(Attempt));
}

void OutstandingAttempts::remove(const std::shared_ptr<MemberLink> &Link) {
  std::erase_if(this->Attempts, [&](const StatementAttempt &Each) {
    return Each.Link == Link;
  });
}

bool OutstandingAttempts::at(const UpstreamId &Member) const {
  return std::any_of(this->Attempts.begin(), this->Attempts.end(),
                     [&](const StatementAttempt &Each) {
                       return Each.Pool->member().Id == Member;
                     });
}

void OutstandingAttempts::close(TimePoint Now) const {
  for (const StatementAttempt &Each : this->Attempts) {
    if (!Each.Pool->answeredSince(Each.SentAt))
      Each.Pool->onUnanswered(Now);
    Each.Link->close();
  }
}

} // namespace turmericpitch
