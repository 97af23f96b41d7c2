#include "core/Member.h"

namespace turmericpitch {

std::string_view toString(MemberRole Role) {
  return Role == MemberRole::Primary ? "primary" : "replica";
}

} // namespace turmericpitch
