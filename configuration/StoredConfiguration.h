// Encoding of the configuration in the platform's key-value store.
#pragma once

#include "configuration/ConfigurationSnapshot.h"

namespace turmericpitch {

/// Keys and key prefixes of the configuration in the platform.
inline constexpr std::string_view HeadKey = "turmericpitch/head";
inline constexpr std::string_view LargeTicketPrefix = "turmericpitch/large/";
inline constexpr std::string_view ObjectPrefix = "turmericpitch/object/";
inline constexpr std::string_view TicketPrefix = "turmericpitch/ticket/";
inline constexpr std::string_view ConfigurationPrefix = "turmericpitch/";

/// Number of accepted tickets whose digests are stored. Each further ticket
/// overwrites the oldest digest.
inline constexpr std::uint64_t RetainedTickets = 2048;

/// The configuration entries read from the platform at one revision.
struct StoredConfiguration {
  Revision StoreRevision;
  ConfigurationChange Change;
  /// Digests of the accepted tickets that were read, by ticket number.
  std::map<TicketNumber, std::string> TicketDigests;
};

/// Parses the entries under ConfigurationPrefix. Thread-safe.
/// Errors: Unavailable that names the unreadable key.
Result<StoredConfiguration>
readStoredConfiguration(const KeyValueAnswer &Answer);

/// Path of the object below ObjectPrefix, "kind/name". Thread-safe.
std::string objectPath(const ObjectKey &Key);
/// The write that stores an object. Thread-safe.
PutOperation putObject(const ObjectKey &Key, const ObjectRecord &Record);
/// The write that stores the head. Thread-safe.
PutOperation putHead(const TicketHead &Head);
/// The write that stores the digest of the newest ticket. It overwrites the
/// digest of the ticket accepted RetainedTickets earlier. Thread-safe.
PutOperation putTicketDigest(const TicketHead &Head);
/// The write that stores all objects of a large ticket as one value.
/// Thread-safe.
PutOperation putLargeTicket(TicketNumber Number,
                            const std::vector<SharedObject> &Objects);
/// The key that putLargeTicket() writes to. Thread-safe.
std::string largeTicketKey(TicketNumber Number);

} // namespace turmericpitch
