// Asks the members before fencing whether they have lost contact with the
// primary.
#pragma once

#include "failover/Promotion.h"

namespace turmericpitch {

enum class PromotionCheckDecision { Open, Proceed, Refuse };

/// The stable name in the decision log. Thread-safe.
std::string_view toString(PromotionCheckDecision Decision);

struct PromotionCheckOptions {
  /// The newest term known to the promoter.
  Term Newest;
  /// A replica that received from its primary within this time still counts
  /// the primary as live.
  Duration PrimarySilenceTimeout = std::chrono::milliseconds(250);
};

/// One round of status requests. The members are in several zones and act as
/// observers: a promotion may proceed only if a majority of them replies and
/// has no contact with a primary. Without such a majority, the primary can
/// still have writes confirmed, or fencing couldn't succeed anyway. A single
/// slow link, a paused promoter or a promoter isolated from the majority
/// therefore doesn't fence. Pure; not thread-safe.
class PromotionCheck {
public:
  PromotionCheck(Database Target, PromotionCheckOptions Options);

  /// The status requests to send, one for each member.
  [[nodiscard]] std::vector<MemberCall> begin() const;
  /// Records an outcome. Always returns no further calls.
  std::vector<MemberCall> onOutcome(const UpstreamId &From,
                                    const Outcome<MemberAnswer> &Answer);
  [[nodiscard]] PromotionCheckDecision decision() const;
  [[nodiscard]] bool over() const {
    return this->decision() != PromotionCheckDecision::Open;
  }

private:
  [[nodiscard]] bool reportsLivePrimary(const MemberStatus &Status) const;

  Database Target;
  PromotionCheckOptions Options;
  /// Members that replied and have no contact with a primary.
  std::set<UpstreamId> WithoutPrimary;
  /// Members that have contact with a primary or didn't reply.
  std::set<UpstreamId> Objecting;
  bool NewerTerm = false;
};

} // namespace turmericpitch
