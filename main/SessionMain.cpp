#include "core/DecisionLog.h"
#include "main/ExitCode.h"
#include "main/SessionDaemon.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace turmericpitch {

namespace {

/// Environment variable with the path of the settings file. Used if the option
/// is not given.
constexpr const char *SettingsVariable = "TURMERICPITCH_BOOT";

Outcome<InstanceSettings> loadSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return Error{.Kind = ErrorKind::BadRequest,
                 .Message = "can't read the settings file '" + Path + "'",
                 .Remedy = std::string("give its path with --settings or in ") +
                           SettingsVariable};
  std::stringstream Text;
  Text << File.rdbuf();
  return toOutcome([&] { return decodeInstanceSettings(Text.str(), Path); });
}

int report(const Error &Failure, int Code) {
  std::cerr << Failure.Message << "\nremedy: " << Failure.Remedy << "\n";
  return Code;
}

int runSessions(int ArgumentCount, const char *const *Arguments) {
  const char *FromEnvironment = std::getenv(SettingsVariable);
  cxxopts::Options Options("turmericpitch-sessions",
                           "Serves callers' database sessions on the platform");
  Options.add_options()("settings", "path of the settings file",
                        cxxopts::value<std::string>()->default_value(
                            FromEnvironment ? FromEnvironment : ""))(
      "check", "check the settings file and exit")("help", "print this help");
  try {
    auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help();
      return ExitSuccess;
    }
    std::string Path = Parsed["settings"].as<std::string>();
    auto Settings = loadSettings(Path);
    if (!Settings)
      return report(Settings.error(), ExitUsage);
    if (Parsed.count("check") > 0)
      return ExitSuccess;
    static BoundedLog Log;
    bufferLogIn(Log);
    SessionDaemonOptions Daemon;
    Daemon.ReadSettings = [Path] { return loadSettings(Path); };
    Daemon.Log = &Log;
    Status Finished = SessionDaemon(Settings.value(), Daemon).run();
    if (Finished)
      return ExitSuccess;
    return report(Finished.error(), ExitUnavailable);
  } catch (const cxxopts::exceptions::exception &Failure) {
    std::cerr << Failure.what() << "\n" << Options.help();
    return ExitUsage;
  }
}

} // namespace

} // namespace turmericpitch

int main(int ArgumentCount, char **Arguments) {
  return turmericpitch::runSessions(ArgumentCount, Arguments);
}
