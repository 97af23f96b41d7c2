// Parts of the review's lab: a platform, database members, clients and the
// daemons under test, on loopback addresses.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;
template <typename T> using Awaitable = asio::awaitable<T>;
using Milliseconds = std::chrono::milliseconds;

/// Writes what was sent, answered and run, with the time since the start.
class Record {
public:
  explicit Record(const std::string &Path)
      : File(Path), Began(SteadyClock::now()) {}
  void line(const std::string &Text);
  [[nodiscard]] double now() const;

private:
  std::ofstream File;
  SteadyClock::time_point Began;
};

/// Everything runs on one thread.
struct Lab {
  explicit Lab(const std::string &RecordPath) : Log(RecordPath) {}
  asio::io_context Loop{1};
  Record Log;

  Awaitable<void> pause(Milliseconds Length);
  template <typename Work> void spawn(Work Run) {
    asio::co_spawn(this->Loop, std::move(Run), asio::detached);
  }
};

/// A port of this address that nothing listens on.
std::uint16_t freePort(const std::string &Address);
/// Removes and returns the text up to the next blank.
std::string takeWord(std::string &Rest);

struct HttpRequest {
  std::string Method;
  std::string Target;
  std::string Body;
};
struct HttpReply {
  unsigned Status = 200;
  std::string Body = "{}";
};
using HttpHandler = std::function<Awaitable<HttpReply>(HttpRequest)>;
/// Connections that were opened before the newest generation are silent: what
/// arrives on them is lost, and nothing is sent.
using Generation = std::shared_ptr<std::uint64_t>;
/// Serves HTTP on a loopback port; returns the port.
std::uint16_t serveHttp(Lab &Owner, HttpHandler Handle,
                        Generation Newest = std::make_shared<std::uint64_t>());

/// The platform's metadata store.
class Store {
public:
  explicit Store(Lab &Owner);
  [[nodiscard]] std::uint16_t port() const { return this->Port; }
  /// A further port, for the calls of one daemon. OnCall gets their targets.
  std::uint16_t addPort(std::function<void(const std::string &Target)> OnCall);
  /// All open connections go silent for good, while new ones work.
  void silenceConnections() { ++*this->Newest; }
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Key;
    std::optional<Item> Written;
  };
  struct Lease {
    Milliseconds Length{0};
    SteadyClock::time_point EndsAt;
  };

  Awaitable<HttpReply> answer(HttpRequest Request);
  Awaitable<HttpReply> watch(std::string Prefix, std::uint64_t After,
                             Milliseconds Wait);
  HttpReply range(const std::string &Prefix, const std::string &After) const;
  HttpReply key(const std::string &Name) const;
  HttpReply commit(const std::string &Body);
  HttpReply lease(const HttpRequest &Request);
  void write(const std::string &Key, const std::string &Value,
             std::uint64_t LeaseId);
  void erase(const std::string &Key);
  void endLease(std::uint64_t Id);
  Awaitable<void> expireLeases();

  Lab &Owner;
  Generation Newest = std::make_shared<std::uint64_t>();
  std::uint16_t Port = 0;
  std::uint64_t Revision = 1;
  std::uint64_t LastLease = 0;
  std::map<std::string, Item> Items;
  std::map<std::uint64_t, Lease> Leases;
  std::deque<Event> History;
};

/// One entry of a database's log.
struct LogEntry {
  std::uint64_t Term = 1;
  std::string Id;
  std::string Item;
  std::string Data;
  bool operator==(const LogEntry &) const = default;
};

/// A statement that a member ran.
struct Run {
  std::string Member;
  std::string Id;
  std::string Text;
  double At = 0;
  double EndedAt = 0;
};

struct DatabaseOptions {
  std::string Service;
  std::vector<std::string> Zones;
  std::size_t Slots = 5;
  std::size_t Queue = 24;
  std::size_t MaxConnections = 60;
  std::size_t SyncReplicas = 0;
  Milliseconds ApplyLag{20};
  Milliseconds PromoteTime{300};
  Milliseconds ReadTime{20};
  Milliseconds WriteTime{8};
};

/// A primary and its replicas, which speak the line protocol.
class Database {
public:
  Database(Lab &Owner, Store &Registry, DatabaseOptions Options);

  /// The answer to a promote call: 200, or 409 if the member is not running.
  unsigned promote(const std::string &Id);
  void crash(const std::string &Id);
  void restart(const std::string &Id);
  void setDeaf(const std::string &Id, bool Deaf);
  /// The member reports that it is about to be shut down; it serves on.
  void drain(const std::string &Id);
  [[nodiscard]] std::string memberId(std::size_t Index) const;
  /// The member that leads the newest term; empty while there is none.
  [[nodiscard]] std::string primary() const;
  [[nodiscard]] bool logHolds(const std::string &Member,
                              const std::string &StatementId) const;
  [[nodiscard]] const std::deque<Run> &runs() const { return this->Runs; }
  [[nodiscard]] const DatabaseOptions &options() const { return this->Options; }
  /// Called when a promotion has taken effect.
  std::function<void(const std::string &Member)> OnPromoted;
  /// Called when a read runs, with the ids in the log that it runs on.
  std::function<void(const std::string &Member, const std::string &Id,
                     const std::set<std::string> &Applied)>
      OnRead;

private:
  struct Member;
  struct Connection;

  void listen(const std::shared_ptr<Member> &At);
  Awaitable<void> accept(std::shared_ptr<Member> At, std::uint64_t Start);
  Awaitable<void> serve(std::shared_ptr<Member> At, tcp::socket Connected);
  Awaitable<std::string> answer(std::shared_ptr<Connection> From,
                                std::string Id, std::string Text);
  Awaitable<std::string> run(std::shared_ptr<Connection> From, std::string Id,
                             std::string Text);
  Awaitable<std::string> runRead(std::shared_ptr<Connection> From,
                                 std::string Id, std::string Text,
                                 std::string Item);
  Awaitable<std::string> commit(std::shared_ptr<Connection> From,
                                std::vector<LogEntry> Writes);
  Awaitable<bool> acquireSlot(std::shared_ptr<Member> At, bool Waits);
  void releaseSlot(Member &At);
  Awaitable<void> replicate();
  Awaitable<void> beat();
  Awaitable<void> takeOver(std::shared_ptr<Member> At);
  [[nodiscard]] std::shared_ptr<Member> leader() const;
  std::string statusRow(const Member &At) const;
  void report(Member &Each);
  std::string sign();

  Lab &Owner;
  Store &Registry;
  DatabaseOptions Options;
  std::map<std::string, std::shared_ptr<Member>> Members;
  std::deque<Run> Runs;
  std::uint64_t Signatures = 0;
};

/// A client's session.
class Session {
public:
  Session(Lab &Owner, std::string Name);
  ~Session();
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  /// Connects and opens the session; false if that failed.
  Awaitable<bool> open(std::string Address, std::uint16_t Port,
                       std::string Host);
  /// Sends bytes as they are.
  Awaitable<bool> send(std::string Bytes);
  /// Lines up to READY; without READY if the connection has ended.
  Awaitable<std::vector<std::string>> readReply(Milliseconds Timeout);
  Awaitable<std::vector<std::string>> query(std::string Id, std::string Text);
  [[nodiscard]] bool closed() const { return !this->Stream.is_open(); }
  void close();

private:
  Awaitable<std::optional<std::string>> readLine();

  Lab &Owner;
  std::string Name;
  tcp::socket Stream;
  asio::steady_timer Timer;
  std::string Buffer;
};

/// A daemon under test, as a process of its own.
struct DaemonOptions {
  std::string Name;
  std::string Zone;
  std::string Address;
  std::map<std::string, std::string> Zones;
  std::uint16_t Front = 0;
  std::uint16_t Ready = 0;
  std::uint16_t FirstPeerPort = 0;
  std::uint16_t StorePort = 0;
  std::uint16_t CloudPort = 0;
  std::string Folder;
};

class Daemon {
public:
  explicit Daemon(DaemonOptions Options) : Options(std::move(Options)) {}
  ~Daemon() { this->signal(9); }
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  void start();
  void signal(int Signal);
  /// Whether the process still runs.
  bool running();
  /// The memory that the process uses, in megabytes; 0 if it is gone.
  [[nodiscard]] double memory() const;
  [[nodiscard]] const DaemonOptions &options() const { return this->Options; }

private:
  DaemonOptions Options;
  pid_t Process = 0;
};

/// The status of GET /api/ready; 0 without an answer.
Awaitable<unsigned> askReady(Lab &Owner, const Daemon &Of);

/// Whether a reply is a success with a signature.
bool succeeded(const std::vector<std::string> &Reply);
/// The error code of a reply; empty if it has none.
std::string errorCode(const std::vector<std::string> &Reply);
std::string joined(const std::vector<std::string> &Lines);

} // namespace review
