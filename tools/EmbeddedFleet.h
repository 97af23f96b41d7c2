// Runs a whole installation in one process: platform, members and instances.
#pragma once

#include "configuration/Objects.h"
#include "main/Daemon.h"
#include "stand_ins/KeyValueServer.h"
#include "stand_ins/MemberServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace turmericpitch {

/// Size and names of the installation. All addresses are on loopback; ports are
/// assigned upwards from BasePort.
struct FleetOptions {
  std::uint16_t BasePort = 7400;
  std::string BrandName = "kaveri";
  std::string BrandHost = "db.kaveri.example";
  std::string AccountName = "sabarmati";
  std::string ServiceName = "order-desk";
  std::string DatabasePrefix = "bookings";
  std::vector<std::string> Zones{"vatva", "sanand", "naroda"};
  std::size_t Databases = 1;
  std::size_t MembersPerDatabase = 3;
  std::size_t Instances = 2;
  std::uint32_t ConnectionLimit = 20;
  std::uint32_t Slots = 3;
  Duration ApplyLag{0};
};

/// Identifies a member by the index of its database and its index within that
/// database, both from 0.
struct MemberLocation {
  std::size_t Database = 0;
  std::size_t Member = 0;
};

/// Starts and stops the parts of the installation and injects faults. Not
/// thread-safe; the parts run on their own threads. The destructor stops all
/// parts.
class EmbeddedFleet {
public:
  explicit EmbeddedFleet(FleetOptions Options);
  ~EmbeddedFleet();
  EmbeddedFleet(const EmbeddedFleet &) = delete;
  EmbeddedFleet &operator=(const EmbeddedFleet &) = delete;

  /// Starts all parts. Errors: Unavailable if a port is already in use.
  Status start();
  /// Submits the ticket that describes the installation, with the given members
  /// marked as leaving. Errors: those of the instance.
  Status submitTicket(std::uint64_t Number,
                      const std::vector<MemberLocation> &Leaving = {});
  /// Blocks until the ticket is active on every running instance, for at most
  /// Timeout. Returns false on a timeout.
  bool waitForTicket(std::uint64_t Number, Duration Timeout);

  /// Stops a member abruptly, as in a crash. It can't be started again.
  void crashMember(const MemberLocation &Location);
  void setMemberFaults(const MemberLocation &Location,
                       const MemberFaults &Faults);
  void setPlatformFaults(const KeyValueFaults &Faults);
  /// Stops an instance abruptly, as in a crash.
  void crashInstance(std::size_t Instance);
  /// Starts an instance that was stopped. Errors: Unavailable.
  Status startInstance(std::size_t Instance);
  /// Starts draining an instance. Call crashInstance() to stop it once
  /// drained() returns true.
  void beginDrain(std::size_t Instance);
  [[nodiscard]] bool drained(std::size_t Instance) const;
  [[nodiscard]] bool running(std::size_t Instance) const;

  /// Returns the index of the member that reports itself as primary of the
  /// database, the one with the newest term if there are several. Returns
  /// nothing if there is none.
  [[nodiscard]] std::optional<std::size_t>
  primaryOf(std::size_t Database) const;
  [[nodiscard]] DatabaseId databaseId(std::size_t Database) const;
  [[nodiscard]] Endpoint callerEndpoint(std::size_t Instance) const;
  [[nodiscard]] Endpoint operatorEndpoint(std::size_t Instance) const;
  [[nodiscard]] const FleetOptions &options() const { return this->Options; }

  static constexpr const char *CallerCredential = "embedded-caller-credential";
  static constexpr const char *OperatorCredential =
      "embedded-operator-credential";

private:
  [[nodiscard]] Endpoint port(std::size_t Offset) const;
  [[nodiscard]] Endpoint memberEndpoint(const MemberLocation &Location) const;
  [[nodiscard]] UpstreamId memberId(const MemberLocation &Location) const;
  [[nodiscard]] MemberServerOptions
  memberOptions(const MemberLocation &Location) const;
  [[nodiscard]] DaemonSettings daemonSettings(std::size_t Instance) const;
  [[nodiscard]] Database
  databaseObject(std::size_t Index,
                 const std::vector<MemberLocation> &Leaving) const;
  MemberServer &member(const MemberLocation &Location);

  FleetOptions Options;
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::vector<std::thread> Threads;
  std::unique_ptr<KeyValueServer> Platform;
  std::vector<std::unique_ptr<MemberServer>> Members;
  std::vector<std::unique_ptr<Daemon>> Daemons;
};

} // namespace turmericpitch
