// Program that runs a stand-in for the platform or for a database member:
// stand-in platform | member.

#include "stand_ins/KeyValueServer.h"
#include "stand_ins/MemberServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

namespace turmericpitch {

namespace {

constexpr int UsageExit = 2;
constexpr int UnavailableExit = 3;

/// Parses "name=ip:port,name=ip:port". Returns nothing if the text is
/// malformed.
std::optional<std::vector<MemberAddress>> parseOthers(const std::string &Text) {
  std::vector<MemberAddress> Others;
  std::istringstream Stream(Text);
  std::string Item;
  while (std::getline(Stream, Item, ',')) {
    std::size_t Equals = Item.find('=');
    if (Equals == std::string::npos)
      return std::nullopt;
    auto Address = parseEndpoint(Item.substr(Equals + 1));
    if (!Address)
      return std::nullopt;
    Others.push_back(
        {.Id = UpstreamId{Item.substr(0, Equals)}, .Address = *Address});
  }
  return Others;
}

template <typename Server>
int serveUntilSignalled(boost::asio::io_context &Context, Server &Instance) {
  Status Started = Instance.start();
  if (!Started) {
    std::cerr << Started.error().Message
              << "\nremedy: " << Started.error().Remedy << "\n";
    return UnavailableExit;
  }
  boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&](const auto &, int) { Context.stop(); });
  Context.run();
  return 0;
}

int runProgram(int Count, char **Arguments) {
  cxxopts::Options Options("stand-in",
                           "Runs a stand-in for the platform or for a database "
                           "member");
  Options.add_options()("role", "platform or member",
                        cxxopts::value<std::string>());
  Options.add_options()("listen", "own address, ip:port",
                        cxxopts::value<std::string>());
  Options.add_options()("name", "own upstream name",
                        cxxopts::value<std::string>()->default_value("a"));
  Options.add_options()("others", "other members: name=ip:port,...",
                        cxxopts::value<std::string>()->default_value(""));
  Options.add_options()("first-primary", "upstream that starts as primary",
                        cxxopts::value<std::string>()->default_value("a"));
  Options.add_options()("connections", "maximum number of connections",
                        cxxopts::value<std::uint32_t>()->default_value("20"));
  Options.add_options()("slots", "maximum number of concurrent statements",
                        cxxopts::value<std::uint32_t>()->default_value("3"));
  Options.add_options()("apply-lag-ms",
                        "delay until reads see a replicated entry, in ms",
                        cxxopts::value<unsigned>()->default_value("0"));
  Options.add_options()("help", "print this help");
  Options.parse_positional({"role"});
  auto Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help") > 0) {
    std::cout << Options.help();
    return 0;
  }
  bool Complete = Parsed.count("role") > 0 && Parsed.count("listen") > 0;
  auto Listen = parseEndpoint(Complete ? Parsed["listen"].as<std::string>()
                                       : std::string());
  auto Others = parseOthers(Parsed["others"].as<std::string>());
  if (!Listen || !Others) {
    std::cerr << "missing or invalid role, --listen or --others\n"
                 "remedy: see --help\n";
    return UsageExit;
  }
  boost::asio::io_context Context;
  if (Parsed["role"].as<std::string>() == "platform") {
    KeyValueServer Server(Context.get_executor(), *Listen);
    return serveUntilSignalled(Context, Server);
  }
  MemberServerOptions Member;
  Member.Listen = *Listen;
  Member.Others = *Others;
  Member.Member.Id = UpstreamId{Parsed["name"].as<std::string>()};
  Member.Member.ConnectionLimit = Parsed["connections"].as<std::uint32_t>();
  Member.Member.Slots = Parsed["slots"].as<std::uint32_t>();
  Member.Member.ApplyLag =
      std::chrono::milliseconds(Parsed["apply-lag-ms"].as<unsigned>());
  Member.FirstPrimary = UpstreamId{Parsed["first-primary"].as<std::string>()};
  MemberServer Server(Context.get_executor(), Member);
  return serveUntilSignalled(Context, Server);
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
