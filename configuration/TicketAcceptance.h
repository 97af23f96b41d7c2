// Accepts a change ticket by a compare-and-swap in the platform.
#pragma once

#include "configuration/StoredConfiguration.h"
#include "core/RandomSource.h"

namespace turmericpitch {

struct TicketAcceptanceOptions {
  Ticket Change;
  /// The active configuration of this instance; what it contains is not read
  /// again.
  SharedConfiguration Base = nullptr;
  /// Seed of the jitter of the back-off.
  std::uint64_t Seed = 1;
};

/// An action for the driver: call the platform, then call onAnswer().
struct CallPlatform {
  KeyValueRequest Request;
  /// Time to wait before the call.
  Duration Delay{0};
};

/// The result of an accepted ticket.
struct AcceptedTicket {
  /// The change from the base to the newest configuration read or written.
  ConfigurationChange Change;
};
/// The last action: the ticket was accepted or has failed.
struct AcceptanceDone {
  Outcome<AcceptedTicket> Accepted;
};
using AcceptanceAction = std::variant<CallPlatform, AcceptanceDone>;

/// State machine that accepts one ticket, without I/O. Call begin(), then
/// onAnswer() with the outcome of each platform call until it returns
/// AcceptanceDone. When the reply to a write is lost, the outcome is determined
/// by reading back the ticket number and digest, so a ticket is never applied
/// twice and its outcome is never reported wrongly. Takes one read and one
/// write if no call fails and no other ticket competes. Not thread-safe.
///
/// Errors: BadRequest if the ticket is invalid or its number is taken by a
/// ticket with different content; Superseded if a newer ticket has been
/// accepted; Unavailable if the platform cannot be reached; Overloaded if
/// each attempt lost against a competing ticket; OutcomeUnknown if the reply to
/// a write was lost and its outcome could not be read afterwards.
class TicketAcceptance {
public:
  explicit TicketAcceptance(TicketAcceptanceOptions Options);

  /// The first action.
  AcceptanceAction begin();
  /// The next action after a platform call. Precondition: the last action was
  /// CallPlatform.
  AcceptanceAction onAnswer(const Outcome<KeyValueAnswer> &Answer);

private:
  enum class Step { Reading, ReadingDigests, Writing };

  AcceptanceAction read(Duration Delay);
  AcceptanceAction onWriteReply(const KeyValueAnswer &Answer);
  AcceptanceAction onCallFailure(const Error &Failure);
  AcceptanceAction onConfigurationRead(const StoredConfiguration &Stored);
  AcceptanceAction readTicketDigests();
  AcceptanceAction decideByDigest(const StoredConfiguration &Stored);
  AcceptanceAction write();
  AcceptanceAction send(TransactionRequest Request, TicketHead Next);
  [[nodiscard]] AcceptanceAction fail(Error Failure) const;

  Ticket Change;
  std::string Digest;
  SharedConfiguration Base;
  /// The configuration last read from the platform, as a change relative to
  /// Base.
  ConfigurationChange LastRead;
  RandomSource Random;
  Step CurrentStep = Step::Reading;
  /// The head sent with the last write.
  TicketHead PendingHead;
  /// Whether the reply to a write of this ticket was lost.
  bool MayHaveWritten = false;
  std::uint32_t Failures = 0;
  std::uint32_t Conflicts = 0;
};

} // namespace turmericpitch
