// A whole installation in one process: platform, members and instances.
#pragma once

#include "configuration/Objects.h"
#include "main/Daemon.h"
#include "stand_ins/KeyValueServer.h"
#include "stand_ins/MemberServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace turmericpitch {

/// What the installation consists of. All addresses are on loopback, ports
/// counted up from BasePort.
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

/// Names one member: its database and its place in it, from 0.
struct MemberLocation {
  std::size_t Database = 0;
  std::size_t Member = 0;
};

/// Starts, faults and ends the parts. Not thread-safe; the parts run on
/// threads of their own. Destruction ends everything.
class EmbeddedFleet {
public:
  explicit EmbeddedFleet(FleetOptions Options);
  ~EmbeddedFleet();
  EmbeddedFleet(const EmbeddedFleet &) = delete;
  EmbeddedFleet &operator=(const EmbeddedFleet &) = delete;

  /// Starts all parts. Errors: Unavailable if a port is taken.
  Status start();
  /// Submits the ticket that describes the installation, with the given
  /// members marked as leaving. Errors: the instance's.
  Status submitTicket(std::uint64_t Number,
                      const std::vector<MemberLocation> &Leaving = {});
  /// Blocks until every running instance has the ticket in force, at most
  /// Timeout. Returns whether it came to that.
  bool waitForTicket(std::uint64_t Number, Duration Timeout);

  /// Ends a member as a crash does, for good.
  void crashMember(const MemberLocation &Location);
  void setMemberFaults(const MemberLocation &Location,
                       const MemberFaults &Faults);
  void setPlatformFaults(const KeyValueFaults &Faults);
  /// Ends an instance as a crash does.
  void crashInstance(std::size_t Instance);
  /// Starts an instance that was ended. Errors: Unavailable.
  Status startInstance(std::size_t Instance);
  /// Lets an instance begin to drain; end it with crashInstance() once
  /// drained() says so.
  void beginDrain(std::size_t Instance);
  [[nodiscard]] bool drained(std::size_t Instance) const;
  [[nodiscard]] bool running(std::size_t Instance) const;

  /// Which member is primary of a database, as the members say; nothing if
  /// none is.
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
