// Accepts one change ticket by a compare-and-swap chain in the platform.
#pragma once

#include "configuration/StoredConfiguration.h"
#include "core/RandomSource.h"

namespace turmericpitch {

struct TicketAcceptanceOptions {
  Ticket Change;
  /// The configuration in force here; spares reading what it holds already.
  SharedConfiguration Base = nullptr;
  /// Seeds the pauses between tries.
  std::uint64_t Seed = 1;
};

/// What the driver must do next.
struct CallPlatform {
  KeyValueRequest Request;
  /// The pause before the call.
  Duration Delay{0};
};

/// A ticket's end: it is accepted.
struct AcceptedTicket {
  /// From the base to the newest configuration seen, ready to be applied.
  ConfigurationChange Change;
};
struct AcceptanceDone {
  Outcome<AcceptedTicket> Accepted;
};
using AcceptanceAction = std::variant<CallPlatform, AcceptanceDone>;

/// Accepts one ticket. A pure state machine: begin(), then onAnswer() with
/// each platform outcome until it is done. A lost answer is settled by
/// reading back number and digest, so that a ticket is never applied twice
/// nor reported wrongly. Costs one read and one write where nothing
/// interferes. Not thread-safe.
///
/// Errors: BadRequest if the ticket is wrong or its number taken by other
/// content; Superseded if a later ticket has been accepted; Unavailable if
/// the platform could not be reached, Overloaded if others kept winning;
/// OutcomeUnknown if a write was sent and nothing could be read since.
class TicketAcceptance {
public:
  explicit TicketAcceptance(TicketAcceptanceOptions Options);

  /// The first action.
  AcceptanceAction begin();
  /// The next action after the platform's outcome. Precondition: the last
  /// action was CallPlatform.
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
  /// What was last read from the platform, as a change of Base.
  ConfigurationChange LastRead;
  RandomSource Random;
  Step CurrentStep = Step::Reading;
  TicketHead PendingHead;
  bool MayHaveWritten = false;
  std::uint32_t Failures = 0;
  std::uint32_t Conflicts = 0;
};

} // namespace turmericpitch
