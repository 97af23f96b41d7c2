#include "core/Error.h"

#include <array>

namespace turmericpitch {

namespace {

struct KindName {
  ErrorKind Kind;
  std::string_view Text;
};

constexpr std::array<KindName, 8> KindNames{{
    {ErrorKind::NotRun, "NotRun"},
    {ErrorKind::OutcomeUnknown, "OutcomeUnknown"},
    {ErrorKind::Superseded, "Superseded"},
    {ErrorKind::Overloaded, "Overloaded"},
    {ErrorKind::StaleToken, "StaleToken"},
    {ErrorKind::BadRequest, "BadRequest"},
    {ErrorKind::Forbidden, "Forbidden"},
    {ErrorKind::Unavailable, "Unavailable"},
}};

} // namespace

std::string_view toString(ErrorKind Kind) {
  for (const KindName &Entry : KindNames)
    if (Entry.Kind == Kind)
      return Entry.Text;
  return "Unavailable";
}

std::optional<ErrorKind> errorKindFromString(std::string_view Text) {
  for (const KindName &Entry : KindNames)
    if (Entry.Text == Text)
      return Entry.Kind;
  return std::nullopt;
}

bool provesNotRun(ErrorKind Kind) { return Kind != ErrorKind::OutcomeUnknown; }

} // namespace turmericpitch
