// Asks the members, before anything is sealed, whether a primary is lost.
#pragma once

#include "failover/Promotion.h"

namespace turmericpitch {

enum class PromotionCheckVerdict { Open, Proceed, Refuse };

/// The verdict's stable name in the decision log. Thread-safe.
std::string_view toString(PromotionCheckVerdict Verdict);

/// What the check goes by.
struct PromotionCheckOptions {
  /// The newest term known to the promoter.
  Term Newest;
  /// A replica that heard its primary less long ago still has it.
  Duration PrimarySilenceTimeout = std::chrono::milliseconds(250);
};

/// One round of status requests. The members stand in several zones, so they
/// are the observers: promotion may proceed only if a majority of them
/// answers and hears no primary. While there is no such majority the primary
/// can still have writes confirmed, or nothing could be sealed. So one slow
/// link, a paused promoter, or a promoter cut off from the majority seals
/// nothing. Pure; not thread-safe.
class PromotionCheck {
public:
  PromotionCheck(Database Target, PromotionCheckOptions Options);

  /// The status requests to send, to every member.
  [[nodiscard]] std::vector<MemberCall> begin() const;
  /// Takes an outcome in; nothing follows from it but the verdict.
  std::vector<MemberCall> onOutcome(const UpstreamId &From,
                                    const Outcome<MemberAnswer> &Answer);
  [[nodiscard]] PromotionCheckVerdict verdict() const;
  [[nodiscard]] bool over() const {
    return this->verdict() != PromotionCheckVerdict::Open;
  }

private:
  [[nodiscard]] bool reportsLivePrimary(const MemberStatus &Status) const;

  Database Target;
  PromotionCheckOptions Options;
  /// Members that answered and hear no primary.
  std::set<UpstreamId> WithoutPrimary;
  /// Members that hear a primary, or didn't answer.
  std::set<UpstreamId> Objecting;
  bool NewerTerm = false;
};

} // namespace turmericpitch
