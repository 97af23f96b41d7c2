// Stand-in for a database member, served over HTTP.
#pragma once

#include "drivers/ChangeSignal.h"
#include "drivers/HttpServer.h"
#include "stand_ins/MemberStandIn.h"

namespace turmericpitch {

/// The address of another member of the replication group.
struct MemberAddress {
  UpstreamId Id;
  Endpoint Address;
};

/// Faults that a test or an operator of the stand-in injects.
struct MemberFaults {
  /// Requests are held and no reply is sent until the pause ends.
  bool Paused = false;
  /// The member accepts no entries from its primary.
  bool ReplicationBlocked = false;
  /// Time from the arrival of an entry until reads can see it.
  Duration ApplyLag{0};
};

struct MemberServerOptions {
  MemberOptions Member;
  Endpoint Listen;
  /// The other members of the replication group.
  std::vector<MemberAddress> Others;
  UpstreamId FirstPrimary;
  /// Delay added to the first statement on a connection. Simulates the cost of
  /// opening a database session.
  Duration ConnectTime = std::chrono::milliseconds(10);
  /// Execution time of a statement, during which it holds its slot.
  Duration StatementTime = std::chrono::microseconds(500);
};

/// Serves a MemberStandIn and replicates from its primary.
/// POST /stand-in/faults sets the injected faults. Thread-safe.
class MemberServer {
public:
  MemberServer(Executor Exec, MemberServerOptions Options);
  ~MemberServer();

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  /// Closes all connections at once, like a crash.
  void close();
  void setFaults(const MemberFaults &Faults);
  [[nodiscard]] MemberStatus status() const;
  [[nodiscard]] std::uint64_t truncatedEntries() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
  HttpServer Server;
};

} // namespace turmericpitch
