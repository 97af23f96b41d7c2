#include "main/Commands.h"

#include "core/DecisionLog.h"
#include "drivers/BlockingClient.h"
#include "main/Daemon.h"
#include "main/Demo.h"
#include "main/StatusTable.h"
#include "tools/LoadReport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <thread>

namespace turmericpitch {

namespace {

constexpr const char *Version = "turmericpitch 0.1.0";
constexpr unsigned HttpOk = 200;
constexpr Duration OperatorCallTimeout = std::chrono::seconds(10);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);

/// One subcommand.
struct Command {
  std::string_view Name;
  std::string_view Summary;
  std::function<int(int, const char *const *)> Run;
};

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    return std::nullopt;
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

int reportError(const Error &Failure, int Code) {
  std::cerr << toString(Failure.Kind) << ": " << Failure.Message
            << "\nremedy: " << Failure.Remedy << "\n";
  return Code;
}

/// Parses a subcommand's options. Returns nothing, and sets Code to the exit
/// code, if help or version was printed or the arguments are invalid.
std::optional<cxxopts::ParseResult> parseOptions(cxxopts::Options &Options,
                                                 int Count,
                                                 const char *const *Arguments,
                                                 int &Code) {
  Options.add_options()("help", "print this help");
  Options.add_options()("version", "print the version");
  try {
    auto Parsed = Options.parse(Count, Arguments);
    Code = ExitSuccess;
    if (Parsed.count("help") > 0) {
      std::cout << Options.help();
      return std::nullopt;
    }
    if (Parsed.count("version") > 0) {
      std::cout << Version << "\n";
      return std::nullopt;
    }
    return Parsed;
  } catch (const cxxopts::exceptions::exception &Failure) {
    std::cerr << Failure.what() << "\nremedy: see --help\n";
    Code = ExitUsage;
    return std::nullopt;
  }
}

Outcome<DaemonSettings> loadSettings(const std::string &Path) {
  auto Text = readFile(Path);
  if (!Text)
    return Error{.Kind = ErrorKind::BadRequest,
                 .Message = "can't read " + Path,
                 .Remedy = "give a readable settings file"};
  return toOutcome([&] { return parseDaemonSettings(*Text, Path); });
}

int checkConfig(int Count, const char *const *Arguments) {
  cxxopts::Options Options("turmericpitch check-config",
                           "Checks a settings file");
  Options.add_options()("settings", "settings file",
                        cxxopts::value<std::string>());
  Options.parse_positional({"settings"});
  int Code = ExitSuccess;
  auto Parsed = parseOptions(Options, Count, Arguments, Code);
  if (!Parsed)
    return Code;
  if (Parsed->count("settings") == 0) {
    std::cerr << "no settings file\nremedy: give the path of a settings file\n";
    return ExitUsage;
  }
  auto Settings = loadSettings((*Parsed)["settings"].as<std::string>());
  if (!Settings)
    return reportError(Settings.error(), ExitUsage);
  std::cout << "settings are valid\n";
  return ExitSuccess;
}

/// Serves until SIGINT or SIGTERM arrives or the instance is marked as leaving,
/// then drains. A second signal or the drain timeout forces the end: requests
/// in flight are answered with their known outcome. SIGHUP reloads the TLS
/// keys.
void serveUntilSignalled(Daemon &Instance) {
  boost::asio::io_context Context;
  boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
  boost::asio::steady_timer Poll(Context);
  std::function<void()> PollDrain = [&] {
    if (Instance.drained()) {
      Context.stop();
      return;
    }
    Poll.expires_after(DrainPollInterval);
    Poll.async_wait([&](const auto &) { PollDrain(); });
  };
  boost::asio::signal_set ReloadSignals(Context, SIGHUP);
  std::function<void()> AwaitReload = [&] {
    ReloadSignals.async_wait([&](const auto &Failure, int) {
      if (Failure)
        return;
      Status Reloaded = Instance.reloadKeys();
      if (Reloaded)
        writeInfo("TLS keys reloaded");
      else
        writeWarning("TLS keys not reloaded; current keys stay in use: " +
                     Reloaded.error().Message +
                     "; remedy: " + Reloaded.error().Remedy);
      AwaitReload();
    });
  };
  AwaitReload();
  Signals.async_wait([&](const auto &, int) {
    writeInfo("signal received; draining");
    Instance.beginDrain();
    Signals.async_wait([&](const auto &, int) { Instance.endDrain(); });
  });
  PollDrain();
  Context.run();
  Instance.stop();
}

int serve(int Count, const char *const *Arguments) {
  cxxopts::Options Options("turmericpitch serve", "Runs one instance");
  Options.add_options()("settings", "settings file",
                        cxxopts::value<std::string>());
  Options.add_options()("log-file", "log file; default: the terminal",
                        cxxopts::value<std::string>());
  Options.add_options()("drain-limit-s", "drain timeout in seconds",
                        cxxopts::value<unsigned>());
  int Code = ExitSuccess;
  auto Parsed = parseOptions(Options, Count, Arguments, Code);
  if (!Parsed)
    return Code;
  if (Parsed->count("settings") == 0) {
    std::cerr << "no settings file\nremedy: give --settings FILE\n";
    return ExitUsage;
  }
  if (Parsed->count("log-file") > 0)
    sendLogTo((*Parsed)["log-file"].as<std::string>());
  auto Settings = loadSettings((*Parsed)["settings"].as<std::string>());
  if (!Settings)
    return reportError(Settings.error(), ExitUsage);
  if (Parsed->count("drain-limit-s") > 0)
    Settings.value().Drain.Timeout =
        std::chrono::seconds((*Parsed)["drain-limit-s"].as<unsigned>());
  Daemon Instance(Settings.value());
  Status Started = Instance.start();
  if (!Started)
    return reportError(Started.error(), ExitUnavailable);
  writeInfo("instance " + Settings.value().Self.Value + " serves on " +
            toString(Settings.value().CallerEndpoint));
  serveUntilSignalled(Instance);
  return ExitSuccess;
}

int demo(int Count, const char *const *Arguments) {
  cxxopts::Options Options("turmericpitch demo",
                           "Runs a demonstration in one process");
  Options.add_options()("base-port", "first of 20 loopback ports",
                        cxxopts::value<std::uint16_t>()->default_value("7400"));
  Options.add_options()("log-file", "file for the decision log",
                        cxxopts::value<std::string>()->default_value(""));
  int Code = ExitSuccess;
  auto Parsed = parseOptions(Options, Count, Arguments, Code);
  if (!Parsed)
    return Code;
  sendLogTo((*Parsed)["log-file"].as<std::string>());
  return runDemo((*Parsed)["base-port"].as<std::uint16_t>(), std::cout)
             ? ExitSuccess
             : ExitRefused;
}

/// Adds the options that all commands which call an instance's operator address
/// have in common.
void addOperatorOptions(cxxopts::Options &Options) {
  Options.add_options()(
      "operators", "operator address of an instance",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7102"));
  Options.add_options()("credential-file", "file with the operator credential",
                        cxxopts::value<std::string>());
  Options.add_options()(
      "ca-file", "use TLS; file with the trusted certificate authorities",
      cxxopts::value<std::string>());
}

Outcome<TlsContext> clientTls(const cxxopts::ParseResult &Parsed) {
  if (Parsed.count("ca-file") == 0)
    return TlsContext();
  return loadTlsAuthorities(Parsed["ca-file"].as<std::string>());
}

std::string identity(const std::string &Body) { return Body; }

/// Sends a request to the operator address of an instance and prints the reply.
/// A successful reply is formatted with Format.
int callOperators(
    const cxxopts::ParseResult &Parsed, HttpRequest Request,
    const std::function<std::string(const std::string &)> &Format = identity) {
  auto Address = parseEndpoint(Parsed["operators"].as<std::string>());
  if (!Address) {
    std::cerr << "invalid operator address\nremedy: give --operators IP:PORT\n";
    return ExitUsage;
  }
  std::optional<std::string> Credential;
  if (Parsed.count("credential-file") > 0)
    Credential = readFile(Parsed["credential-file"].as<std::string>());
  if (!Credential) {
    std::cerr
        << "no operator credential\nremedy: give --credential-file FILE\n";
    return ExitUsage;
  }
  while (Credential->ends_with('\n'))
    Credential->pop_back();
  Request.Host = toString(*Address);
  Request.Authorization = "Bearer " + *Credential;
  auto Tls = clientTls(Parsed);
  if (!Tls)
    return reportError(Tls.error(), ExitUsage);
  auto Reply = callAndWait(*Address, std::move(Request), OperatorCallTimeout,
                           Tls.value());
  if (!Reply)
    return reportError(Reply.error(), ExitUnavailable);
  bool Answered = Reply.value().Status == HttpOk;
  std::cout << (Answered ? Format(Reply.value().Body) : Reply.value().Body)
            << "\n";
  return Answered ? ExitSuccess : ExitRefused;
}

int ticket(int Count, const char *const *Arguments) {
  cxxopts::Options Options("turmericpitch ticket",
                           "Submits or shows a change ticket");
  Options.add_options()("action", "submit or show",
                        cxxopts::value<std::string>());
  Options.add_options()("subject", "ticket file or number",
                        cxxopts::value<std::string>());
  Options.parse_positional({"action", "subject"});
  Options.positional_help("submit FILE | show NUMBER");
  addOperatorOptions(Options);
  int Code = ExitSuccess;
  auto Parsed = parseOptions(Options, Count, Arguments, Code);
  if (!Parsed)
    return Code;
  bool Complete = Parsed->count("action") > 0 && Parsed->count("subject") > 0;
  std::string Action =
      Complete ? (*Parsed)["action"].as<std::string>() : std::string();
  if (Action != "submit" && Action != "show") {
    std::cerr << "missing or invalid action\nremedy: give submit FILE or show "
                 "NUMBER\n";
    return ExitUsage;
  }
  std::string Subject = (*Parsed)["subject"].as<std::string>();
  HttpRequest Request;
  if (Action == "show") {
    Request.Method = "GET";
    Request.Target = "/v1/tickets/" + Subject;
    return callOperators(*Parsed, std::move(Request));
  }
  auto Text = readFile(Subject);
  if (!Text) {
    std::cerr << "can't read " << Subject
              << "\nremedy: give a readable ticket file\n";
    return ExitUsage;
  }
  Request.Target = "/v1/tickets";
  Request.Body = *Text;
  return callOperators(*Parsed, std::move(Request));
}

int status(int Count, const char *const *Arguments) {
  cxxopts::Options Options("turmericpitch status",
                           "Shows the status of an instance");
  addOperatorOptions(Options);
  Options.add_options()("json", "print the reply as JSON");
  int Code = ExitSuccess;
  auto Parsed = parseOptions(Options, Count, Arguments, Code);
  if (!Parsed)
    return Code;
  HttpRequest Request;
  Request.Method = "GET";
  Request.Target = "/v1/status";
  if (Parsed->count("json") > 0)
    return callOperators(*Parsed, std::move(Request));
  auto AsTable = [](const std::string &Body) {
    auto Table = toOutcome([&] { return formatStatus(Body); });
    return Table ? Table.value() : Body;
  };
  return callOperators(*Parsed, std::move(Request), AsTable);
}

bool writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream Stream(Path);
  Stream << Text;
  return Stream.good();
}

int load(int Count, const char *const *Arguments) {
  cxxopts::Options Options("turmericpitch load",
                           "Runs a load plan against an embedded fleet and "
                           "checks that all guarantees hold");
  Options.add_options()("plan", "plan file", cxxopts::value<std::string>());
  Options.add_options()("json", "write the results to this JSON file",
                        cxxopts::value<std::string>());
  Options.add_options()("html", "write the report with plots to this HTML file",
                        cxxopts::value<std::string>());
  Options.add_options()("log-file", "file for the decision log",
                        cxxopts::value<std::string>()->default_value(""));
  Options.parse_positional({"plan"});
  Options.positional_help("PLAN");
  int Code = ExitSuccess;
  auto Parsed = parseOptions(Options, Count, Arguments, Code);
  if (!Parsed)
    return Code;
  std::string Path =
      Parsed->count("plan") > 0 ? (*Parsed)["plan"].as<std::string>() : "";
  auto Text = readFile(Path);
  if (!Text) {
    std::cerr << "can't read the load plan '" << Path
              << "'\nremedy: give a plan such as examples/load/*.yaml\n";
    return ExitUsage;
  }
  auto Plan = toOutcome([&] { return parseLoadPlan(*Text, Path); });
  if (!Plan)
    return reportError(Plan.error(), ExitUsage);
  sendLogTo((*Parsed)["log-file"].as<std::string>());
  LoadRun Run(Plan.value(), std::cout);
  auto Result = Run.run();
  if (!Result)
    return reportError(Result.error(), ExitUnavailable);
  std::cout << loadReportText(Run, Result.value());
  bool Written = true;
  if (Parsed->count("json") > 0)
    Written = writeFile((*Parsed)["json"].as<std::string>(),
                        loadReportJson(Run, Result.value()));
  if (Parsed->count("html") > 0)
    Written = writeFile((*Parsed)["html"].as<std::string>(),
                        loadReportHtml(Run, Result.value())) &&
              Written;
  if (!Written) {
    std::cerr << "can't write the report\nremedy: give a writable file\n";
    return ExitUsage;
  }
  bool GuaranteesHeld =
      Result.value().Violations.empty() && Result.value().ScanComplete;
  return GuaranteesHeld ? ExitSuccess : ExitRefused;
}

std::vector<Command> allCommands() {
  return {{"serve", "run one instance", serve},
          {"demo", "run a demonstration in one process", demo},
          {"check-config", "check a settings file", checkConfig},
          {"ticket", "submit or show a change ticket", ticket},
          {"load", "run a load plan and check the guarantees", load},
          {"status", "show the status of an instance", status}};
}

void printUsage(std::ostream &Output) {
  Output << Version
         << "\nusage: turmericpitch COMMAND [OPTIONS]\n\ncommands:\n";
  for (const Command &Each : allCommands())
    Output << "  " << Each.Name << ": " << Each.Summary << "\n";
  Output << "\nexit codes: 0 done, 1 refused, 2 wrong arguments or settings, 3 "
            "unreachable\n";
}

} // namespace

int runCommand(int ArgumentCount, const char *const *Arguments) {
  if (ArgumentCount < 2) {
    printUsage(std::cerr);
    return ExitUsage;
  }
  std::string_view Name = Arguments[1];
  if (Name == "--help") {
    printUsage(std::cout);
    return ExitSuccess;
  }
  if (Name == "--version") {
    std::cout << Version << "\n";
    return ExitSuccess;
  }
  for (const Command &Each : allCommands())
    if (Each.Name == Name)
      return Each.Run(ArgumentCount - 1, Arguments + 1);
  std::cerr << "unknown command " << Name << "\n";
  printUsage(std::cerr);
  return ExitUsage;
}

} // namespace turmericpitch
