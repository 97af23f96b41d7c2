// The configuration as the platform's key-value service keeps it.
#pragma once

#include "configuration/ConfigurationSnapshot.h"

namespace turmericpitch {

/// The keys under which the configuration lives in the platform.
inline constexpr std::string_view HeadKey = "turmericpitch/head";
inline constexpr std::string_view LargePrefix = "turmericpitch/large/";
inline constexpr std::string_view ObjectPrefix = "turmericpitch/object/";
inline constexpr std::string_view TicketPrefix = "turmericpitch/ticket/";
inline constexpr std::string_view ConfigurationPrefix = "turmericpitch/";

/// Accepted tickets whose digests are kept; older ones are forgotten.
inline constexpr std::uint64_t KeptTickets = 2048;

/// What was read from the platform at one revision.
struct StoredConfiguration {
  Revision StoreRevision;
  ConfigurationChange Change;
  /// Digest by number of each accepted ticket that was read.
  std::map<TicketNumber, std::string> TicketDigests;
};

/// Reads entries over ConfigurationPrefix. Thread-safe.
/// Errors: Unavailable naming the unreadable key.
Result<StoredConfiguration>
readStoredConfiguration(const KeyValueAnswer &Answer);

/// "kind/name". Thread-safe.
std::string objectPath(const ObjectKey &Key);
/// The key and value under which an object is stored. Thread-safe.
PutOperation storedObject(const ObjectKey &Key, const ObjectRecord &Record);
/// As storedObject(), for the head. Thread-safe.
PutOperation storedHead(const TicketHead &Head);
/// The record of an accepted ticket's digest; it takes the place of the one
/// KeptTickets before it. Thread-safe.
PutOperation storedTicket(const TicketHead &Head);
/// All objects of one ticket as one value. Thread-safe.
PutOperation storedLarge(TicketNumber Number,
                         const std::vector<SharedObject> &Objects);
/// The key that storedLarge() writes. Thread-safe.
std::string largeKey(TicketNumber Number);

} // namespace turmericpitch
