// Lines that stand-ins send unchecked, valid or not.
#pragma once

#include "session/ProtocolLines.h"

namespace turmericpitch {

struct UncheckedLines {
  static ProtocolLines of(std::string Bytes) {
    return ProtocolLines(std::move(Bytes));
  }
};

} // namespace turmericpitch
