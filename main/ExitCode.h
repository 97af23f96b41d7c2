// Exit codes of the programs.
#pragma once

namespace turmericpitch {

/// Exit codes, the same for every subcommand.
enum ExitCode : int {
  ExitSuccess = 0,
  /// The command ran and the result is negative, such as a rejected ticket or
  /// a violated guarantee in a load run.
  ExitRefused = 1,
  /// The command line or the settings are invalid. Nothing was started.
  ExitUsage = 2,
  /// A required address or service is unavailable.
  ExitUnavailable = 3,
};

} // namespace turmericpitch
