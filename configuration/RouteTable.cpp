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

std::uint32_t RouteController::lowestPriority(const ServiceId &Id) const {
  std::uint32_t Lowest = 0;
  if (!this->Table)
    return Lowest;
  for (const auto &[Database, Route] : this->Table->Routes)
    if (Route.Service == Id)
      Lowest = std::max(Lowest, Route.Priority);
  return Lowest;
}

std::optional<Duration>
RouteController::strictestMaximumAge(const ServiceId &Id) const {
  std::optional<Duration> Strictest;
  if (!this->Table)
    return Strictest;
  for (const auto &[Database, Route] : this->Table->Routes)
    if (Route.Service == Id && Route.Level != Consistency::Strong)
      Strictest =
          std::min(Strictest.value_or(Route.MaximumAge), Route.MaximumAge);
  return Strictest;
}

} // namespace turmericpitch
