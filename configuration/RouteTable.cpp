#include "configuration/RouteTable.h"

#include <algorithm>

namespace turmericpitch {

std::string_view toString(Consistency Level) {
  switch (Level) {
  case Consistency::Strong:
    return "strong";
  case Consistency::BoundedStaleness:
    return "bounded_staleness";
  case Consistency::ReadYourWrites:
    break;
  }
  return "read_your_writes";
}

bool RouteController::replaceIfNewer(RouteTable Candidate, TimePoint Now) {
  if (this->Table && Candidate.Version <= this->Table->Version)
    return false;
  this->Table = std::move(Candidate);
  this->AppliedAt = Now;
  return true;
}

std::uint64_t RouteController::version() const {
  return this->Table ? this->Table->Version : 0;
}

const AccountDirectory &RouteController::accounts() const {
  static const AccountDirectory None;
  return this->Table ? this->Table->Accounts : None;
}

const RouteRule *RouteController::route(std::string_view Database) const {
  if (!this->Table)
    return nullptr;
  auto Found = this->Table->Routes.find(Database);
  return Found == this->Table->Routes.end() ? nullptr : &Found->second;
}

const ServiceRule *RouteController::service(const ServiceId &Id) const {
  if (!this->Table)
    return nullptr;
  auto Found = this->Table->Services.find(Id);
  return Found == this->Table->Services.end() ? nullptr : &Found->second;
}

bool RouteController::hasSynchronousReplicas() const {
  return this->Table &&
         std::ranges::any_of(this->Table->Services, [](const auto &Each) {
           return Each.second.SynchronousReplicas > 0;
         });
}

std::uint32_t RouteController::lowestPriority(const ServiceId &Id) const {
  std::uint32_t Lowest = 0;
  if (!this->Table)
    return Lowest;
  for (const auto &[Database, Route] : this->Table->Routes)
    if (Route.Service == Id)
      Lowest = std::max(Lowest, Route.Priority);
  return Lowest;
}

std::optional<AcceptedAges>
RouteController::acceptedAges(const ServiceId &Id) const {
  std::optional<AcceptedAges> Ages;
  if (!this->Table)
    return Ages;
  for (const auto &[Database, Route] : this->Table->Routes) {
    if (Route.Service != Id || Route.Level == Consistency::Strong)
      continue;
    AcceptedAges Known = Ages.value_or(AcceptedAges{
        .Strictest = Route.MaximumAge, .Loosest = Route.MaximumAge});
    Ages = {.Strictest = std::min(Known.Strictest, Route.MaximumAge),
            .Loosest = std::max(Known.Loosest, Route.MaximumAge)};
  }
  return Ages;
}

} // namespace turmericpitch
