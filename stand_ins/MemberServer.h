// A database member stand-in on a loopback address.
#pragma once

#include "drivers/ChangeSignal.h"
#include "drivers/HttpServer.h"
#include "stand_ins/MemberStandIn.h"

namespace turmericpitch {

/// Where another member of the group answers.
struct MemberAddress {
  UpstreamId Id;
  Endpoint Address;
};

/// The faults that a test or an operator of the stand-in switches on.
struct MemberFaults {
  /// Nothing is answered; what arrives waits.
  bool Paused = false;
  /// The member takes no entries from its primary.
  bool ReplicationBlocked = false;
  Duration ApplyLag{0};
};

struct MemberServerOptions {
  MemberOptions Member;
  Endpoint Listen;
  /// The other members of the group.
  std::vector<MemberAddress> Others;
  UpstreamId FirstPrimary;
  /// Added to a connection's first statement, as opening a session costs.
  Duration ConnectTime = std::chrono::milliseconds(10);
  /// How long a statement holds its slot.
  Duration StatementTime = std::chrono::microseconds(500);
};

/// Serves a MemberStandIn, replicates from its primary, and takes
/// POST /stand-in/faults. Thread-safe.
class MemberServer {
public:
  MemberServer(Executor Exec, MemberServerOptions Options);
  ~MemberServer();

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  /// Ends every connection at once, as a crash does.
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
