// What the programs return.
#pragma once

namespace turmericpitch {

/// The exit codes of every subcommand.
enum ExitCode : int {
  ExitSuccess = 0,
  /// The command ran and the answer is no: a refused ticket, a broken
  /// promise in a load run.
  ExitRefused = 1,
  /// Wrong command line or settings; nothing was started.
  ExitUsage = 2,
  /// Something needed can't be reached.
  ExitUnavailable = 3,
};

} // namespace turmericpitch
