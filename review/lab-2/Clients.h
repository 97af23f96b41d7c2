// Stand-ins for clients that write one entry after the other.
#pragma once

#include "Record.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lab {

struct Front {
  std::string Ip;
  std::uint16_t Port = 0;
};

/// Clients of one database, spread over the daemons. Each opens a session,
/// writes with a pause, and goes to the next daemon after an error.
/// Thread-safe.
class Clients {
public:
  Clients(Record &Log, std::vector<Front> Fronts, std::string Database);
  void start(int Count);
  /// Sends no further statement.
  void stop() { this->Stopping = true; }
  /// The ids of the writes that were acknowledged.
  [[nodiscard]] std::vector<std::string> acknowledged();
  [[nodiscard]] std::size_t count();

private:
  void run(int Client);
  void session(int Client, const Front &At);

  Record &Log;
  std::vector<Front> Fronts;
  std::string Database;
  std::mutex Mutex;
  std::vector<std::string> Acknowledged;
  std::atomic<bool> Stopping = false;
  std::atomic<int> NextId = 1;
};

} // namespace lab
