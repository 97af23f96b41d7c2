// The memory that callers' sessions may fill.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

namespace turmericpitch {

/// What a session's bytes are kept for.
enum class SessionMemory : std::uint8_t {
  /// The received part of an incomplete line.
  Input,
  /// Lines that wait for the reply to an earlier one.
  Queue,
  /// The statement that runs.
  Statement,
  /// Replies that the caller hasn't taken yet.
  Output,
  /// Values and prepared statements.
  State,
};
inline constexpr std::size_t SessionMemoryKinds = 5;

/// The stable name in logs and metrics. Thread-safe.
std::string_view toString(SessionMemory Kind);

struct MemoryBudgetOptions {
  /// Bytes that all sessions together may hold beyond their allowances.
  std::size_t Shared = std::size_t{64} * 1024 * 1024;
  /// Bytes that each session may hold whatever the others do.
  std::size_t Allowance = std::size_t{8} * 1024;

  bool operator==(const MemoryBudgetOptions &) const = default;
};

class MemoryShare;

/// Divides the shared bytes among sessions by max-min fairness: when they are
/// used up, the session that holds most gives way, be it the one that asks.
/// Performs no I/O; not thread-safe.
class MemoryBudget {
public:
  explicit MemoryBudget(MemoryBudgetOptions Options = {}) : Options(Options) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  /// Bytes held by all sessions, allowances included.
  [[nodiscard]] std::size_t held(SessionMemory Kind) const {
    return this->Held.at(static_cast<std::size_t>(Kind));
  }
  /// Shared bytes in use; never above Options.Shared.
  [[nodiscard]] std::size_t sharedInUse() const { return this->SharedInUse; }
  [[nodiscard]] const MemoryBudgetOptions &options() const {
    return this->Options;
  }
  /// Number of sessions that had to give way.
  [[nodiscard]] std::uint64_t reclaimed() const { return this->Reclaimed; }

private:
  friend class MemoryShare;
  /// Whether Asker may hold Excess shared bytes; reclaims the shares of larger
  /// holders as needed.
  bool makeRoom(const MemoryShare &Asker, std::size_t Excess);

  MemoryBudgetOptions Options;
  std::array<std::size_t, SessionMemoryKinds> Held = {};
  std::size_t SharedInUse = 0;
  std::uint64_t Reclaimed = 0;
  /// Holders of shared bytes by their number.
  std::set<std::pair<std::size_t, MemoryShare *>> Holders;
};

/// The memory of one session. Releases it when it is destroyed. Not
/// thread-safe.
class MemoryShare {
public:
  /// Precondition: Budget is not null.
  explicit MemoryShare(std::shared_ptr<MemoryBudget> Budget)
      : Budget(std::move(Budget)) {}
  ~MemoryShare();
  MemoryShare(const MemoryShare &) = delete;
  MemoryShare &operator=(const MemoryShare &) = delete;

  /// Called once if the session has to give way, from within another share's
  /// hold(). The session must release its memory soon; nothing more is granted
  /// to it.
  void onReclaimed(std::function<void()> Handle) {
    this->ReclaimHandler = std::move(Handle);
  }
  /// Sets the bytes held for Kind. Returns false and changes nothing if there
  /// is no room. Always succeeds if Bytes is not above held(Kind).
  [[nodiscard]] bool hold(SessionMemory Kind, std::size_t Bytes);
  /// Sets the bytes held for Kind to a number not above held(Kind).
  void shrink(SessionMemory Kind, std::size_t Bytes);
  [[nodiscard]] std::size_t held(SessionMemory Kind) const {
    return this->Held.at(static_cast<std::size_t>(Kind));
  }
  /// Whether a request for more memory was refused, or the share reclaimed.
  [[nodiscard]] bool exhausted() const {
    return this->Refused || this->WasReclaimed;
  }

private:
  friend class MemoryBudget;
  [[nodiscard]] std::size_t total() const;
  void set(SessionMemory Kind, std::size_t Bytes);
  void setExcess(std::size_t Bytes);
  void reclaim();

  std::shared_ptr<MemoryBudget> Budget;
  std::array<std::size_t, SessionMemoryKinds> Held = {};
  /// Shared bytes in use.
  std::size_t Excess = 0;
  bool Refused = false;
  bool WasReclaimed = false;
  std::function<void()> ReclaimHandler;
};

/// What the sessions of a process may use.
struct SessionCapacity {
  std::size_t MaximumSessions = 0;
  MemoryBudgetOptions Memory = {};

  bool operator==(const SessionCapacity &) const = default;
};

/// Derives the capacity from the limits of the process: its memory in bytes,
/// and the number of files that it may have open. Thread-safe.
SessionCapacity sessionCapacity(std::size_t MemoryLimit,
                                std::size_t DescriptorLimit);

} // namespace turmericpitch
