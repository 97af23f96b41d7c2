// Messages of the membership topic and their encoding.
#pragma once

#include "core/Error.h"
#include "membership/InstanceRecord.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// Kinds of messages. The numbers are part of the protocol and never reused.
enum class MembershipMessageKind : std::uint8_t {
  /// Requests an Ack from the receiver.
  Ping = 1,
  /// Confirms that Subject is alive, in reply to the Ping or PingRequest with
  /// the sequence number InReplyTo.
  Ack = 2,
  /// Requests that the receiver ping Subject on the sender's behalf.
  PingRequest = 3,
  /// Requests the records of instances whose names sort after Cursor.
  PageRequest = 4,
  /// Carries the next records in Updates. Cursor is the last record's name, or
  /// empty on the last page.
  Page = 5,
};

/// Time since the sender's zone last received a message from another zone.
struct ZoneAge {
  /// zoneKey() of the zone.
  std::uint32_t Zone = 0;
  Duration Age{0};

  auto operator<=>(const ZoneAge &) const = default;
};

/// Most zones reported in one message, so that it fits a datagram.
inline constexpr std::size_t MaxZoneAges = 40;

/// Hash that stands for a zone's name in messages. Thread-safe.
std::uint32_t zoneKey(const ZoneId &Zone);

/// Digests of consecutive buckets of the sender's table.
struct BucketDigests {
  std::uint8_t First = 0;
  std::vector<std::uint32_t> Digests;

  auto operator<=>(const BucketDigests &) const = default;
};

/// A membership message. Immutable value.
struct MembershipMessage {
  MembershipMessageKind Kind = MembershipMessageKind::Ping;
  /// The addressee; other instances drop the message.
  InstanceId To;
  InstanceRecord Sender;
  /// Increases with each message of the sender.
  std::uint64_t Sequence = 0;
  std::uint64_t InReplyTo = 0;
  InstanceId Subject;
  InstanceId Cursor;
  std::vector<InstanceRecord> Updates;
  std::vector<ZoneAge> Zones;
  BucketDigests Buckets;

  auto operator<=>(const MembershipMessage &) const = default;
};

/// A decoded message with the number of skipped sections.
struct DecodedMembershipMessage {
  MembershipMessage Message;
  /// Sections skipped because their tags are unknown to this version.
  std::uint32_t UnknownSections = 0;
};

/// Protocol version written. A later version may add sections, which readers
/// of this version skip. A version that these readers can't understand raises
/// the minimum reader version that is written next to it.
inline constexpr std::uint8_t MembershipVersion = 1;

/// Encoded size of a record in bytes. Thread-safe.
std::size_t encodedSize(const InstanceRecord &Record);
/// Size of encodeMembership()'s result in bytes. Thread-safe.
std::size_t encodedSize(const MembershipMessage &Message);
/// Encodes a message. Thread-safe. Precondition: names have at most 64 bytes,
/// the limit of the settings.
std::string encodeMembership(const MembershipMessage &Message);
/// Decodes a message. Thread-safe. Errors: BadRequest if malformed, too large,
/// or if it requires a later reader version.
Result<DecodedMembershipMessage> decodeMembership(std::string_view Bytes);

} // namespace turmericpitch
