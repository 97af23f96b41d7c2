// The payloads of the membership topic.
#pragma once

#include "core/Error.h"
#include "membership/InstanceRecord.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// Numbers are part of the protocol and never reused.
enum class MembershipMessageKind : std::uint8_t {
  /// Asks the receiver for an Ack.
  Ping = 1,
  /// Proves Subject alive; answers the Ping or PingRequest numbered InReplyTo.
  Ack = 2,
  /// Asks the receiver to ping Subject on the sender's behalf.
  PingRequest = 3,
  /// Asks for records of instances whose names follow Cursor.
  PageRequest = 4,
  /// Updates are the next records; Cursor is the last one's name, empty
  /// after the last page.
  Page = 5,
};

/// How long ago the sender's zone last heard from another zone.
struct ZoneAge {
  /// zoneKey() of the zone.
  std::uint32_t Zone = 0;
  Duration Age{0};

  auto operator<=>(const ZoneAge &) const = default;
};

/// Zones told of in one message, so that it fits a datagram.
inline constexpr std::size_t MaxZoneAges = 40;

/// Short name of a zone within messages. Thread-safe.
std::uint32_t zoneKey(const ZoneId &Zone);

/// Digests of consecutive buckets of the sender's table.
struct BucketDigests {
  std::uint8_t First = 0;
  std::vector<std::uint32_t> Digests;

  auto operator<=>(const BucketDigests &) const = default;
};

/// One message. Immutable value.
struct MembershipMessage {
  MembershipMessageKind Kind = MembershipMessageKind::Ping;
  /// The instance it is meant for; others drop it.
  InstanceId To;
  InstanceRecord Sender;
  /// Grows with each message of the sender.
  std::uint64_t Sequence = 0;
  std::uint64_t InReplyTo = 0;
  InstanceId Subject;
  InstanceId Cursor;
  std::vector<InstanceRecord> Updates;
  std::vector<ZoneAge> Zones;
  BucketDigests Buckets;

  auto operator<=>(const MembershipMessage &) const = default;
};

/// A message as decoded, with what the reader had to leave out.
struct DecodedMembershipMessage {
  MembershipMessage Message;
  /// Sections of later versions that were skipped.
  std::uint32_t UnknownSections = 0;
};

/// Version written. A later version may add sections, which readers of this
/// version skip; one that these readers can't understand raises the oldest
/// reader written beside it.
inline constexpr std::uint8_t MembershipVersion = 1;

/// Bytes that a record takes in a message. Thread-safe.
std::size_t encodedSize(const InstanceRecord &Record);
/// Bytes that encodeMembership() makes of a message. Thread-safe.
std::size_t encodedSize(const MembershipMessage &Message);
/// Thread-safe. Precondition: names have at most 64 bytes, as in settings.
std::string encodeMembership(const MembershipMessage &Message);
/// Thread-safe. Errors: BadRequest if malformed, too large, or for later
/// readers only.
Result<DecodedMembershipMessage> decodeMembership(std::string_view Bytes);

} // namespace turmericpitch
