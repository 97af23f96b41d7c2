// Subcommands of the turmericpitch program.
#pragma once

#include "main/ExitCode.h"

namespace turmericpitch {

/// Runs the subcommand given by the first argument. Returns an ExitCode.
int runCommand(int ArgumentCount, const char *const *Arguments);

} // namespace turmericpitch
