// A fleet of session daemons on loopback, each with its own address of the
// stand-in store.
#pragma once

#include "main/SessionDaemon.h"
#include "tests/platform/StoreDoor.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace turmericpitch {

/// One instance of a fleet.
struct FleetInstance {
  std::string Address;
  std::unique_ptr<StoreDoor> Store;
  std::unique_ptr<SessionDaemon> Daemon;
  std::thread Thread;
};

/// Three daemons, the store and the members of the service "ledger", all in
/// this process. The daemons serve once the constructor returns. Not
/// thread-safe.
class SessionFleet {
public:
  static constexpr std::size_t Size = 3;

  /// Precondition: the process runs no other fleet.
  explicit SessionFleet(Duration ConfigurationApplyTimeout);
  ~SessionFleet();
  SessionFleet(const SessionFleet &) = delete;
  SessionFleet &operator=(const SessionFleet &) = delete;

  /// Writes a configuration with a route for each of these databases.
  void configure(int Version, const std::vector<std::string> &Databases);
  /// Writes a key as the operator, a member or a stranger would.
  void put(const std::string &Key, const std::string &Value);
  /// The value of a key in the store, or "".
  std::string value(const std::string &Key);
  /// The first line that an instance replies to a session for a database; empty
  /// if there is none.
  std::string startupReply(std::size_t Instance, const std::string &Database);
  /// Repeats sessions until an instance accepts one for a database. Returns
  /// whether it did before GiveUp returned true.
  bool serves(std::size_t Instance, const std::string &Database,
              const std::function<bool()> &GiveUp);
  /// The instance that reads the store for the others.
  std::size_t reader();
  /// Ends an instance at once.
  void kill(std::size_t Instance);
  /// Runs Work on the stand-ins' thread and returns its result.
  template <typename Callable> auto onStandIns(Callable Work) {
    std::packaged_task<decltype(Work())()> Task(Work);
    auto Done = Task.get_future();
    boost::asio::post(this->Loop, [&Task] { Task(); });
    return Done.get();
  }
  /// A condition that becomes true once an instance has renewed its
  /// registration so many times since this call. Time bounds are counted in
  /// renewals, RenewalInterval apart, as a loaded machine delays these as well.
  std::function<bool()> afterRenewals(std::size_t Instance,
                                      std::uint64_t Count);
  static constexpr Duration RenewalInterval = std::chrono::seconds(3);

  SessionGroup &group() { return this->Group; }
  StoreDoor &door(std::size_t Instance) {
    return *this->Instances.at(Instance).Store;
  }

private:
  InstanceSettings settings(std::size_t Instance);

  Duration ApplyTimeout;
  boost::asio::io_context Loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard{this->Loop.get_executor()};
  SessionGroup Group;
  RevisionStore Store;
  std::array<FleetInstance, Size> Instances;
  std::thread StandInThread;
};

} // namespace turmericpitch
