// Stand-in for the members of one service, each in its own zone. Replicas can
// apply late or crash, and a zone can be cut off.
#pragma once

#include "../lab-2/Store.h"

#include <condition_variable>
#include <set>

namespace lab {

struct LogEntry {
  std::uint64_t Term = 0;
  /// The id of the statement that wrote it.
  std::string Id;
  Clock::time_point ReceivedAt;
};

/// The members speak PROTOCOL.md's line protocol on a loopback address and keep
/// their entries in the store. There are three, and the first one is the
/// primary. Thread-safe.
class Members {
public:
  Members(Record &Log, std::string Service) : Log(Log), Service(Service) {}

  void start(Store &Registry, const std::vector<std::string> &Ids);
  /// POST /promote. Returns the status of the answer.
  int promote(const std::string &Id);
  /// How much later replicas apply what they receive.
  void setLag(std::chrono::milliseconds Lag);
  /// Cuts the zone of the member that was ordered first off from the other
  /// members, the store and all daemons.
  void cutOrdered();
  /// Crashes the replica that wasn't ordered.
  void crashOther();
  /// Ends the cut and the crash.
  void heal();
  /// The ids that were committed at a primary after a later term had begun.
  [[nodiscard]] std::set<std::string> committedLate();
  /// The ids that the newest primary's log holds.
  [[nodiscard]] std::set<std::string> held();

private:
  struct Member {
    std::string Id;
    std::string Zone;
    std::uint16_t Port = 0;
    bool Primary = false;
    bool Down = false;
    std::set<int> Handles;
    std::uint64_t Term = 1;
    std::vector<LogEntry> Entries;
    int Running = 0;
    int Busy = 0;
    std::chrono::milliseconds Lag{0};
    Clock::time_point BeatAt;
    std::string StoredEntry;
    /// Since when it can reach a primary of a later term.
    Clock::time_point ReachesLaterSince;
  };
  struct Session {
    bool Open = false;
    bool InTransaction = false;
    std::vector<std::string> Pending;
  };
  using Guard = std::unique_lock<std::mutex>;

  void accept(Member &At, int Listener);
  void serve(Member &At, int Handle);
  std::string answer(Member &At, Session &With, const std::string &Line,
                     Guard &Lock);
  std::string run(Member &At, Session &With, const std::string &Id,
                  std::string Text, Guard &Lock);
  void work(Member &At, std::chrono::milliseconds Length, Guard &Lock);
  void commit(Member &At, const std::string &Id);
  void tick(Store &Registry);
  void follow(Member &At, const Member &Leader);
  [[nodiscard]] bool isCut(const Member &At) const;
  [[nodiscard]] bool canReach(const Member &At, const Member &Other) const;
  [[nodiscard]] static std::size_t applied(const Member &At);
  [[nodiscard]] static std::string position(const Member &At,
                                            std::size_t Count);
  Member &leader();

  Record &Log;
  std::string Service;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Member> All;
  std::set<std::string> Late;
  std::string CutZone;
  std::string Ordered;
};

} // namespace lab
