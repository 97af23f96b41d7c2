// Stand-in for the members of one service: a primary and its replicas.
#pragma once

#include "Store.h"

#include <memory>
#include <optional>
#include <set>

namespace lab {

struct Entry {
  std::uint64_t Term = 0;
  /// The id of the statement that wrote it.
  std::string Id;
  std::string Item;
  std::string Data;
};

struct GroupOptions {
  std::string Service;
  std::string Ip;
  int SyncReplicas = 0;
  /// From an order until its member leads the next term.
  std::chrono::milliseconds PromoteTime{300};
  std::chrono::milliseconds Heartbeat{1200};
};

/// The members speak PROTOCOL.md's line protocol on loopback addresses and keep
/// their entries in the store. Replication is immediate. Thread-safe.
class Group {
public:
  /// Called when a member begins to lead, with its log.
  using PromotedHandler =
      std::function<void(const std::string &, const std::vector<Entry> &)>;

  Group(Record &Log, GroupOptions Options);
  void start(Store &Registry, const std::vector<std::string> &Ids,
             PromotedHandler OnPromoted);
  /// POST /promote. Returns the status of the answer.
  int promote(const std::string &Id, std::uint64_t Token);
  /// Ends members at the same moment, without a word.
  void crash(const std::vector<std::string> &Ids);
  /// Starts a member again. A primary has its log; a replica knows nothing of
  /// before. The entry in the store is renewed after EntryDelay.
  void restart(const std::string &Id, std::chrono::milliseconds EntryDelay);
  /// While deaf, a replica receives nothing.
  void setDeaf(const std::string &Id, bool Deaf);
  /// Cuts a member off from the store, and from nothing else, as its next
  /// heartbeat is due; returns then.
  void cutFromStore(const std::string &Id);
  /// Ends the cut. The member's entry is back with its next heartbeat.
  void reachStore(const std::string &Id);
  [[nodiscard]] std::string primary();

private:
  struct Member {
    std::string Id;
    std::uint16_t Port = 0;
    int Listener = -1;
    std::set<int> Open;
    bool Up = false;
    bool Primary = false;
    bool Deaf = false;
    std::uint64_t Term = 1;
    std::vector<Entry> Entries;
    std::uint64_t Born = 0;
    /// Counts the starts; threads of an earlier one end.
    int Start = 0;
    /// When the next heartbeat is due, and when the store last got one.
    Clock::time_point NextBeatAt;
    Clock::time_point LastBeatAt;
    bool CutFromStore = false;
    std::string StoredEntry;
    bool StoredPrimary = false;
  };
  struct Session {
    bool InTransaction = false;
    bool Failed = false;
    std::vector<Entry> Pending;
    std::map<std::string, bool> Prepared;
  };

  void listen(Member &At);
  void serve(Member &At, int Start, int Handle);
  std::string answer(Member &At, Session &With, const std::string &Id,
                     std::string Text, std::unique_lock<std::mutex> &Lock);
  std::string run(Member &At, Session &With, const std::string &Id,
                  const std::string &Text, std::unique_lock<std::mutex> &Lock);
  bool commit(Member &At, std::vector<Entry> Added,
              std::unique_lock<std::mutex> &Lock);
  void replicate();
  void tick(Store &Registry);
  Member *leader();

  Record &Log;
  GroupOptions Options;
  PromotedHandler OnPromoted;
  std::mutex Mutex;
  std::condition_variable Received;
  std::map<std::string, Member> Members;
};

} // namespace lab
