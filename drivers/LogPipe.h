// Writes log lines to a file descriptor without ever waiting for its reader.
#pragma once

#include "core/BoundedLog.h"

namespace turmericpitch {

/// Writes what the descriptor takes at once, and leaves the rest. Belongs to
/// one thread.
void writePending(BoundedLog &Log, int Descriptor);

} // namespace turmericpitch
