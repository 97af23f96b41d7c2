// Accepts one change ticket by a compare-and-swap chain in the platform.
#pragma once

#include "configuration/ConfigurationSnapshot.h"

namespace turmericpitch {

/// The keys under which the configuration lives in the platform.
inline constexpr std::string_view HeadKey = "turmericpitch/head";
inline constexpr std::string_view ObjectPrefix = "turmericpitch/object/";
inline constexpr std::string_view TicketPrefix = "turmericpitch/ticket/";
inline constexpr std::string_view ConfigurationPrefix = "turmericpitch/";

/// The newest accepted ticket.
struct TicketHead {
  TicketNumber Newest;
  std::string Digest;

  bool operator==(const TicketHead &) const = default;
};

/// The stored configuration, read from the platform at one revision.
struct StoredConfiguration {
  Revision AsOf;
  /// When the head was last written; 0 if there is none.
  Revision HeadModified;
  TicketHead Head;
  std::map<ObjectKey, ObjectRecord> Records;
  /// Digest by number of each accepted ticket that was read.
  std::map<TicketNumber, std::string> TicketDigests;
};

/// Reads the entries of a range over ConfigurationPrefix. Thread-safe.
/// Errors: BadRequest naming the unreadable key.
Result<StoredConfiguration>
readStoredConfiguration(const KeyValueAnswer &Answer);

/// The key and value under which an object is stored. Thread-safe.
PutOperation storedObject(const ObjectKey &Key, const ObjectRecord &Record);

/// What the driver must do next.
struct CallPlatform {
  KeyValueRequest Request;
};
struct AcceptanceDone {
  Outcome<Revision> Accepted;
};
using AcceptanceAction = std::variant<CallPlatform, AcceptanceDone>;

/// Accepts one ticket. A pure state machine: begin(), then onAnswer() with
/// each platform outcome until it is done. A lost answer is settled by
/// reading back number and digest, so that a ticket is never applied twice
/// nor reported wrongly. Not thread-safe.
class TicketAcceptance {
public:
  explicit TicketAcceptance(Ticket Change);

  /// The first action.
  AcceptanceAction begin();
  /// The next action after the platform's outcome. Precondition: the last
  /// action was CallPlatform.
  AcceptanceAction onAnswer(const Outcome<KeyValueAnswer> &Answer);

private:
  enum class Step { Reading, Writing };

  AcceptanceAction onFailure(const Error &Failure);
  AcceptanceAction decide(const StoredConfiguration &Stored);
  AcceptanceAction write(const StoredConfiguration &Stored);

  Ticket Change;
  std::string Digest;
  Step Current = Step::Reading;
  bool MayHaveWritten = false;
  std::uint32_t Attempts = 0;
};

} // namespace turmericpitch
