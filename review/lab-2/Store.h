// Stand-in for the platform: its metadata store and the promotion service.
#pragma once

#include "Record.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lab {

/// Serves PROTOCOL.md's calls of the store and POST /promote on one address.
/// Thread-safe.
class Store {
public:
  /// Called with the service, the member and the fence token of an order;
  /// returns the status of the answer.
  using PromoteHandler = std::function<int(const std::string &,
                                           const std::string &, std::uint64_t)>;

  Store(Record &Log, PromoteHandler OnPromote);

  /// Listens on a free port of a loopback address. Returns the port. May be
  /// called again for another port.
  std::uint16_t start(const std::string &Ip);
  /// What the next connection to a port sends arrives this much later.
  void holdUpNext(std::uint16_t Port, std::chrono::milliseconds Delay);
  /// Writes or removes a key as the operator or a member does.
  void put(const std::string &Key, const std::string &Json);
  void remove(const std::string &Key);

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    Item Now;
    bool Deleted = false;
  };
  struct Lease {
    std::chrono::milliseconds Length{0};
    Clock::time_point EndsAt;
  };
  struct Answer {
    int Status = 200;
    std::string Body = "{}";
  };

  void serve(int Handle);
  std::chrono::milliseconds takeHoldUp(std::uint16_t Port);
  void endLeases();
  Answer call(const std::string &Target, const std::string &Body,
              const std::map<std::string, std::string> &Fields);
  Answer watch(const std::map<std::string, std::string> &Query);
  Answer commit(const std::string &Body);
  void write(const std::string &Key, const std::string &Value,
             std::uint64_t LeaseId);
  void erase(const std::string &Key);

  Record &Log;
  PromoteHandler OnPromote;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Change> History;
  std::map<std::uint64_t, Lease> Leases;
  std::map<std::uint16_t, std::chrono::milliseconds> HoldUps;
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 1;
};

} // namespace lab
