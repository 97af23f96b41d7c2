// Divides database connections between instances over datagrams and applies
// the shares to the connection pool.
#pragma once

#include "configuration/Objects.h"
#include "core/Sharded.h"
#include "drivers/MemberPool.h"
#include "drivers/PeerTransport.h"
#include "limits/ConnectionShares.h"
#include "limits/DemandEstimate.h"

#include <atomic>

namespace turmericpitch {

struct ShareExchangeOptions {
  InstanceId Self;
  /// The other instances that share the connections.
  std::map<InstanceId, Endpoint> Peers;
  /// Unique for each start of the instance.
  std::uint64_t Incarnation = 0;
};

/// Message counts since the start.
struct ShareExchangeCounters {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  /// Malformed, of another version, or of an unknown database.
  std::uint64_t Dropped = 0;
  /// Grants not sent because too many connections were still open.
  std::uint64_t Withheld = 0;
};

/// Thread-safe. Must be held by a shared pointer.
class ShareExchange : public std::enable_shared_from_this<ShareExchange> {
public:
  ShareExchange(ShareExchangeOptions Options,
                std::shared_ptr<PeerTransport> Transport,
                std::shared_ptr<MemberPool> Pool);

  /// Registers the handler of the connection shares topic. Call before the
  /// transport starts.
  void attach();
  /// Divides the connections of exactly these databases from now on.
  void onConfigured(const std::vector<Database> &Databases);
  /// Runs until stop().
  Awaitable<void> run();
  void stop() { this->Stopped = true; }
  [[nodiscard]] ShareExchangeCounters counters() const;

private:
  struct Entry {
    std::optional<ConnectionShares> Shares;
    std::vector<Endpoint> Members;
    std::map<Endpoint, DemandEstimate> Demands;
    std::uint32_t LoggedUsable = 0;
  };

  void onPayload(const InstanceId &From, const std::string &Payload);
  void tick(const DatabaseId &Id);
  void updateNeed(Entry &DbEntry) const;
  void apply(const DatabaseId &Id, Entry &DbEntry, TimePoint Now) const;
  [[nodiscard]] bool isWithinAllowance(const Entry &DbEntry,
                                       TimePoint Now) const;
  void send(const std::vector<ShareSend> &Sends);

  ShareExchangeOptions Options;
  std::shared_ptr<PeerTransport> Transport;
  std::shared_ptr<MemberPool> Pool;
  Sharded<DatabaseId, Entry> Entries;
  std::mutex Mutex;
  std::vector<DatabaseId> Current;
  std::atomic<bool> Stopped = false;
  std::atomic<std::uint64_t> Sent = 0;
  std::atomic<std::uint64_t> Received = 0;
  std::atomic<std::uint64_t> Dropped = 0;
  std::atomic<std::uint64_t> Withheld = 0;
  MonotonicClock Time;
};

} // namespace turmericpitch
