#include "core/Error.h"

#include "core/NameTable.h"

namespace turmericpitch {

namespace {

constexpr NameTable<ErrorKind, 8> KindNames{{
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

std::string_view toString(ErrorKind Kind) { return findName(KindNames, Kind); }

std::optional<ErrorKind> errorKindFromString(std::string_view Text) {
  return findValue(KindNames, Text);
}

bool provesNotRun(ErrorKind Kind) { return Kind != ErrorKind::OutcomeUnknown; }

} // namespace turmericpitch
