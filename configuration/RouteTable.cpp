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

bool RouteController::offer(RouteTable Offered) {
  if (this->Present && Offered.Version <= this->Present->Version)
    return false;
  this->Present = std::move(Offered);
  return true;
}

std::uint64_t RouteController::version() const {
  return this->Present ? this->Present->Version : 0;
}

const RouteRule *RouteController::route(std::string_view Database) const {
  if (!this->Present)
    return nullptr;
  auto Found = this->Present->Routes.find(Database);
  return Found == this->Present->Routes.end() ? nullptr : &Found->second;
}

const ServiceRule *RouteController::service(const ServiceId &Id) const {
  if (!this->Present)
    return nullptr;
  auto Found = this->Present->Services.find(Id);
  return Found == this->Present->Services.end() ? nullptr : &Found->second;
}

std::uint32_t RouteController::leastUrgent(const ServiceId &Id) const {
  std::uint32_t Least = 0;
  if (!this->Present)
    return Least;
  for (const auto &[Database, Route] : this->Present->Routes)
    if (Route.Service == Id)
      Least = std::max(Least, Route.Priority);
  return Least;
}

} // namespace turmericpitch
