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

std::optional<InstanceSettings> loadSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File) {
    std::cerr << "can't read the settings file '" << Path
              << "'\nremedy: give its path with --settings or in "
              << SettingsVariable << "\n";
    return std::nullopt;
  }
  std::stringstream Text;
  Text << File.rdbuf();
  auto Settings =
      toOutcome([&] { return decodeInstanceSettings(Text.str(), Path); });
  if (Settings)
    return std::move(Settings.value());
  std::cerr << Settings.error().Message
            << "\nremedy: " << Settings.error().Remedy << "\n";
  return std::nullopt;
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
    auto Settings = loadSettings(Parsed["settings"].as<std::string>());
    if (!Settings)
      return ExitUsage;
    if (Parsed.count("check") > 0)
      return ExitSuccess;
    static BoundedLog Log;
    bufferLogIn(Log);
    SessionDaemonOptions Daemon{.Rules = {}, .Log = &Log};
    Status Finished = SessionDaemon(*Settings, Daemon).run();
    if (Finished)
      return ExitSuccess;
    std::cerr << Finished.error().Message
              << "\nremedy: " << Finished.error().Remedy << "\n";
    return ExitUnavailable;
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
