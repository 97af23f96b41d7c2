// The subcommands of the turmericpitch program.
#pragma once

#include "main/ExitCode.h"

namespace turmericpitch {

/// Runs the subcommand that the arguments name. Returns an ExitCode.
int runCommand(int ArgumentCount, const char *const *Arguments);

} // namespace turmericpitch
