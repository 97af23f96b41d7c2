// Opens many client connections to an instance, sends one readiness check on
// each, and keeps them open until the end of standard input. Prints how long
// opening them took. Used by tools/client_connections_report.sh.

#include "drivers/ChangeSignal.h"
#include "drivers/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <iostream>

namespace turmericpitch {

namespace {

constexpr int UsageExit = 2;
constexpr Duration CallTimeout = std::chrono::seconds(30);

/// Connections opened and readiness checks finished so far.
struct ConnectionCounts {
  std::vector<std::shared_ptr<HttpConnection>> Open;
  std::size_t Failed = 0;
  std::size_t Finished = 0;
};

Awaitable<void> openConnection(Executor Exec, Endpoint Target,
                               ConnectionCounts &Counts) {
  auto Opened = co_await HttpConnection::open(Exec, Target, CallTimeout);
  bool Ready = false;
  if (Opened) {
    HttpRequest Request;
    Request.Method = "GET";
    Request.Target = "/ready";
    Request.Host = toString(Target);
    std::shared_ptr<HttpConnection> Connection = Opened.value();
    auto Reply = co_await Connection->exchange(std::move(Request), CallTimeout);
    Ready = Reply.hasValue();
    Counts.Open.push_back(Connection);
  }
  Counts.Failed += Ready ? 0 : 1;
  ++Counts.Finished;
}

int runProgram(int Count, char **Arguments) {
  cxxopts::Options Options("ClientConnectionsExperiment",
                           "Opens client connections and keeps them idle");
  Options.add_options()("to", "client listen address of an instance",
                        cxxopts::value<std::string>());
  Options.add_options()("count", "number of connections to open",
                        cxxopts::value<std::size_t>()->default_value("3404"));
  Options.add_options()("help", "print this help");
  auto Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help") > 0) {
    std::cout << Options.help();
    return 0;
  }
  auto Target = parseEndpoint(
      Parsed.count("to") > 0 ? Parsed["to"].as<std::string>() : std::string());
  if (!Target) {
    std::cerr << "no instance address given\nremedy: pass --to IP:PORT\n";
    return UsageExit;
  }
  boost::asio::io_context Context;
  Executor Exec = Context.get_executor();
  ConnectionCounts Counts;
  MonotonicClock Time;
  TimePoint StartedAt = Time.now();
  auto RequestedCount = Parsed["count"].as<std::size_t>();
  for (std::size_t Index = 0; Index < RequestedCount; ++Index)
    boost::asio::co_spawn(Exec, openConnection(Exec, *Target, Counts),
                          boost::asio::detached);
  Context.run();
  Duration Elapsed = Time.now() - StartedAt;
  std::cout << Counts.Open.size() << " connections, " << Counts.Failed
            << " failed, " << Elapsed.count() / 1000 << " ms" << std::endl;
  std::string Line;
  while (std::getline(std::cin, Line)) {
  }
  return 0;
}

} // namespace

} // namespace turmericpitch

int main(int Count, char **Arguments) {
  try {
    return turmericpitch::runProgram(Count, Arguments);
  } catch (const cxxopts::exceptions::exception &Failure) {
    std::cerr << Failure.what() << "\nremedy: see --help\n";
    return turmericpitch::UsageExit;
  }
}
