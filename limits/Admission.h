// Admission control: decides which statement gets a member's next free
// connection.
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

/// Scheduling class of a statement.
enum class AdmissionClass : std::uint8_t {
  Write,
  SessionRead,
  BoundedStalenessRead
};

inline constexpr std::size_t AdmissionClassCount = 3;

/// Returns the stable name of the class, as used in logs. Thread-safe.
std::string_view toString(AdmissionClass Class);

struct AdmissionOptions {
  /// Relative shares of the capacity while several classes wait. Every class
  /// has a share, so none starves.
  std::array<double, AdmissionClassCount> ClassWeights{8, 3, 1};
  /// Maximum number of waiting statements of one class.
  std::size_t MaxWaiting = 512;
  /// Assumed service time until one has been observed.
  Duration InitialServiceTime = std::chrono::milliseconds(5);
  /// Whether statements that cannot be served in time are shed before their
  /// deadline. If false, all wait until their deadline.
  bool ShedEarly = true;
  Duration MinRetryAfter = std::chrono::milliseconds(50);
  Duration MaxRetryAfter = std::chrono::seconds(5);
  std::uint64_t Seed = 1;
};

/// A statement's request for a connection. Immutable value.
struct AdmissionRequest {
  ClientAccountId Account;
  std::uint32_t Weight = 1;
  AdmissionClass Class = AdmissionClass::SessionRead;
  TimePoint Deadline;

  bool operator==(const AdmissionRequest &) const = default;
};

/// Identifies one waiting statement within one Admission.
using AdmissionTicket = Number<struct AdmissionTicketTag>;

/// The statement may take a connection immediately.
struct AdmitNow {
  bool operator==(const AdmitNow &) const = default;
};
/// The statement waits. A later AdmissionChange with the same ticket tells the
/// result.
struct AdmissionQueued {
  AdmissionTicket Ticket;

  bool operator==(const AdmissionQueued &) const = default;
};
using AdmissionDecision = std::variant<AdmitNow, AdmissionQueued, Error>;

/// Result for a waiting statement: it may take a connection, or it has been
/// shed if Shed is set.
struct AdmissionChange {
  AdmissionTicket Ticket;
  std::optional<Error> Shed;

  bool operator==(const AdmissionChange &) const = default;
};

/// The queue for one member's connections. Uses weighted fair queueing between
/// classes, and between client accounts within a class. A statement that cannot
/// be served by its deadline is shed immediately, before any of it has run.
/// Each freed connection goes to exactly one waiting statement. Pure; not
/// thread-safe.
class Admission {
public:
  explicit Admission(AdmissionOptions Options);

  /// Admits, queues or sheds a new statement. AdmitNow counts a connection as
  /// in use.
  AdmissionDecision admit(const AdmissionRequest &Request, TimePoint Now);
  /// Frees a connection that served a statement for HeldFor, and updates the
  /// service time.
  std::vector<AdmissionChange> onReleased(Duration HeldFor, TimePoint Now);
  /// Frees a connection that was granted but could not be used. Leaves the
  /// service time unchanged.
  std::vector<AdmissionChange> onUnused(TimePoint Now);
  /// Sets the number of connections that may be in use.
  std::vector<AdmissionChange> setCapacity(std::size_t Count, TimePoint Now);
  /// Sheds waiting statements that can no longer be served by their deadline.
  /// Must be called regularly.
  std::vector<AdmissionChange> shedExpired(TimePoint Now);
  /// Removes a waiting statement whose caller has gone. Returns whether it was
  /// still waiting.
  bool cancel(AdmissionTicket Ticket);

  [[nodiscard]] std::size_t inUse() const { return this->InUse; }
  [[nodiscard]] std::size_t waiting() const { return this->Positions.size(); }
  [[nodiscard]] Duration serviceTime() const { return this->ServiceTime; }

private:
  /// Order within a class: by virtual finish time, then by arrival.
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
    /// Virtual time within the class: the finish time of the statement admitted
    /// last.
    double VirtualTime = 0;
    /// Virtual time at which the class is next served, as in stride scheduling.
    double Pass = 0;
  };
  struct TicketLocation {
    AdmissionClass Class;
    QueuePosition Where;
  };

  ClassQueue &queueOf(AdmissionClass Class);
  [[nodiscard]] double classWeight(AdmissionClass Class) const;
  /// Expected time until the account's statement at Position, counted from 1,
  /// is served, if all statements that wait now keep waiting.
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
  /// Pass of the class served last; the virtual time across the classes.
  double ClassVirtualTime = 0;
};

} // namespace turmericpitch
