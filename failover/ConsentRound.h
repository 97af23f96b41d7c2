// One round of requests for consent to the closing of a record.
#pragma once

#include "failover/GrantorSet.h"
#include "failover/LeaseMessages.h"

#include <optional>
#include <set>

namespace turmericpitch {

/// Collects the consents of the grantors. Pure; not thread-safe.
class ConsentRound {
public:
  ConsentRound() = default;
  ConsentRound(CloseRequest Request, GrantorSet Set)
      : Request(std::move(Request)), Set(std::move(Set)) {}

  void onConsent(const Grantor &From, std::uint32_t Serial, TimePoint Now);
  /// When the newest consent arrived that was needed for a majority; nothing
  /// while there is none.
  [[nodiscard]] std::optional<TimePoint> completedAt() const {
    return this->CompletedAt;
  }
  [[nodiscard]] const CloseRequest &request() const { return this->Request; }
  [[nodiscard]] const GrantorSet &grantors() const { return this->Set; }
  [[nodiscard]] bool hasAnswered(const Grantor &From) const {
    return this->Consented.contains(From);
  }

private:
  CloseRequest Request;
  GrantorSet Set;
  std::set<Grantor> Consented;
  std::optional<TimePoint> CompletedAt;
};

} // namespace turmericpitch
