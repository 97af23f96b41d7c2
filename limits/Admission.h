// Decides which statement gets a member's next free connection.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/RandomSource.h"
#include "core/Time.h"

#include <array>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace turmericpitch {

/// What a statement is, as far as its urgency goes.
enum class AdmissionClass : std::uint8_t {
  Write,
  SessionRead,
  BoundedStalenessRead
};

inline constexpr std::size_t AdmissionClassCount = 3;

/// The class's stable name, as in logs. Thread-safe.
std::string_view toString(AdmissionClass Class);

struct AdmissionOptions {
  /// Shares of the capacity while several classes wait; none starves.
  std::array<double, AdmissionClassCount> ClassWeights{8, 3, 1};
  /// Statements of one class that may wait.
  std::size_t MaxWaiting = 512;
  /// Taken for the service time until one has been observed.
  Duration InitialServiceTime = std::chrono::milliseconds(5);
  /// Whether those that can't be served in time are shed before their
  /// deadline; without, all wait until then.
  bool ShedEarly = true;
  Duration MinRetryAfter = std::chrono::milliseconds(50);
  Duration MaxRetryAfter = std::chrono::seconds(5);
  std::uint64_t Seed = 1;
};

/// A statement that needs a connection. Immutable value.
struct AdmissionRequest {
  ClientAccountId Account;
  std::uint32_t Weight = 1;
  AdmissionClass Class = AdmissionClass::SessionRead;
  TimePoint Deadline;

  bool operator==(const AdmissionRequest &) const = default;
};

/// Names one waiting statement of one Admission.
using AdmissionTicket = Number<struct AdmissionTicketTag>;

/// The statement may take a connection at once.
struct AdmitNow {
  bool operator==(const AdmitNow &) const = default;
};
/// The statement waits; its ticket comes back in an AdmissionChange.
struct AdmissionQueued {
  AdmissionTicket Ticket;

  bool operator==(const AdmissionQueued &) const = default;
};
using AdmissionDecision = std::variant<AdmitNow, AdmissionQueued, Error>;

/// What has become of a waiting statement: it may take a connection, or it
/// has been shed.
struct AdmissionChange {
  AdmissionTicket Ticket;
  std::optional<Error> Shed;

  bool operator==(const AdmissionChange &) const = default;
};

/// The queue before one member's connections. Weighted fair between
/// classes, and within a class between client accounts; a statement that
/// can't be served by its deadline is shed at once, before anything ran.
/// Each freed connection goes to exactly one waiter. Pure; not thread-safe.
class Admission {
public:
  explicit Admission(AdmissionOptions Options);

  /// A statement arrives. AdmitNow counts a connection as in use.
  AdmissionDecision admit(const AdmissionRequest &Request, TimePoint Now);
  /// A connection in use is free again after serving for HeldFor.
  std::vector<AdmissionChange> onReleased(Duration HeldFor, TimePoint Now);
  /// A connection granted could not be used; tells nothing of service time.
  std::vector<AdmissionChange> onUnused(TimePoint Now);
  /// Sets how many connections may be in use.
  std::vector<AdmissionChange> setCapacity(std::size_t Count, TimePoint Now);
  /// Sheds those that can no longer be served in time; call regularly.
  std::vector<AdmissionChange> shedExpired(TimePoint Now);
  /// The caller of a waiting statement has gone. Returns whether it waited.
  bool cancel(AdmissionTicket Ticket);

  [[nodiscard]] std::size_t inUse() const { return this->InUse; }
  [[nodiscard]] std::size_t waiting() const { return this->Positions.size(); }
  [[nodiscard]] Duration serviceTime() const { return this->ServiceTime; }

private:
  /// The order in a class: virtual finish time, then arrival.
  struct QueuePosition {
    double VirtualFinish = 0;
    std::uint64_t Ticket = 0;

    auto operator<=>(const QueuePosition &) const = default;
  };
  struct AccountQueue {
    std::size_t Waiting = 0;
    double Weight = 1;
    double LastVirtualFinish = 0;
  };
  struct ClassQueue {
    std::map<QueuePosition, AdmissionRequest> Waiting;
    std::unordered_map<ClientAccountId, AccountQueue> Accounts;
    double AccountWeights = 0;
    /// Virtual time within the class.
    double VirtualTime = 0;
    /// The class's own place among the classes.
    double Pass = 0;
  };
  struct TicketLocation {
    AdmissionClass Class;
    QueuePosition Where;
  };

  ClassQueue &queueOf(AdmissionClass Class);
  [[nodiscard]] double classWeight(AdmissionClass Class) const;
  /// Time until the account's statement number Position in its queue is
  /// served, if all that wait now keep waiting.
  [[nodiscard]] Duration expectedWait(const AdmissionRequest &Request,
                                      std::size_t Position) const;
  [[nodiscard]] bool meetsDeadline(const AdmissionRequest &Request,
                                   Duration Wait, TimePoint Now) const;
  Error makeShedError(const AdmissionRequest &Request, Duration Wait,
                      TimePoint Now);
  AdmissionTicket enqueue(const AdmissionRequest &Request);
  void remove(AdmissionClass Class, const QueuePosition &Where);
  ClassQueue *nextClass();
  std::vector<AdmissionChange> admitWaiting(TimePoint Now);

  AdmissionOptions Options;
  RandomSource Random;
  std::array<ClassQueue, AdmissionClassCount> Queues;
  std::unordered_map<AdmissionTicket, TicketLocation> Positions;
  std::uint64_t NextTicket = 1;
  std::size_t Capacity = 0;
  std::size_t InUse = 0;
  Duration ServiceTime;
  /// Virtual time among the classes.
  double ClassVirtualTime = 0;
};

} // namespace turmericpitch
