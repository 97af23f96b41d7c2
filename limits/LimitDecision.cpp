#include "limits/LimitDecision.h"

namespace turmericpitch {

std::string_view toString(LimitRefusal Refusal) {
  switch (Refusal) {
  case LimitRefusal::LimitReached:
    return "limit_reached";
  case LimitRefusal::NoShare:
    return "no_share";
  }
  return "unknown";
}

} // namespace turmericpitch
