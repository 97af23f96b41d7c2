// Writes log lines to a file descriptor without blocking on its reader.
#pragma once

#include "core/BoundedLog.h"

namespace turmericpitch {

/// Writes as much of the pending log as the descriptor accepts without
/// blocking; the rest stays pending. Not thread-safe.
void writePending(BoundedLog &Log, int Descriptor);

} // namespace turmericpitch
