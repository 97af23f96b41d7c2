#include "membership/MembershipMessage.h"

#include "membership/PeerFrame.h"

#include <algorithm>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <xxhash.h>

namespace turmericpitch {

namespace {

constexpr std::size_t MaxNameLength = 64;
// Bytes of a record without its two names: their lengths, address, port,
// incarnation and flags.
constexpr std::size_t RecordFixedSize = 17;
// Bytes of a message without names, sender and sections: the archive's byte
// order, versions, kind, three name lengths and two sequence numbers.
constexpr std::size_t HeaderFixedSize = 23;
// Bytes of a section before its items: tag, length and the inner archive's byte
// order.
constexpr std::size_t SectionHeaderSize = 4;
constexpr std::size_t ZoneAgeSize = 5;
constexpr std::size_t AddressParts = 4;
constexpr std::uint8_t LeavingFlag = 0x80;
constexpr std::uint8_t HealthMask = 0x03;
constexpr Duration AgeUnit = std::chrono::milliseconds(100);
constexpr std::int64_t MaxAgeUnits = 255;

/// Section tags. Readers skip sections with unknown tags.
enum class Section : std::uint8_t { Updates = 1, Zones = 2, Buckets = 3 };

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

struct MalformedMessage : std::exception {};

/// Writes the length as one byte; cereal's own string format takes eight.
void writeText(Writer &To, const std::string &Text) {
  auto Length = static_cast<std::uint8_t>(std::min(Text.size(), MaxNameLength));
  To(Length, cereal::binary_data(Text.data(), std::size_t{Length}));
}

std::string readText(Reader &From) {
  std::uint8_t Length = 0;
  From(Length);
  if (Length > MaxNameLength)
    throw MalformedMessage();
  std::string Text(Length, '\0');
  From(cereal::binary_data(Text.data(), Text.size()));
  return Text;
}

void writeEndpoint(Writer &To, const Endpoint &Where) {
  std::istringstream Parts(Where.Address);
  std::array<std::uint8_t, AddressParts> Numbers{};
  for (std::uint8_t &Number : Numbers) {
    unsigned Part = 0;
    Parts >> Part;
    Parts.ignore(1, '.');
    Number = static_cast<std::uint8_t>(Part);
  }
  for (std::uint8_t Number : Numbers)
    To(Number);
  To(Where.Port);
}

Endpoint readEndpoint(Reader &From) {
  Endpoint Where;
  for (std::size_t Index = 0; Index < AddressParts; ++Index) {
    std::uint8_t Number = 0;
    From(Number);
    Where.Address += (Index == 0 ? "" : ".") + std::to_string(Number);
  }
  From(Where.Port);
  return Where;
}

void writeRecord(Writer &To, const InstanceRecord &Record) {
  auto Flags = static_cast<std::uint8_t>(Record.Health);
  if (Record.Leaving)
    Flags |= LeavingFlag;
  writeText(To, Record.Id.Value);
  writeText(To, Record.Zone.Value);
  writeEndpoint(To, Record.PeerEndpoint);
  To(Record.IncarnationNumber.Value, Flags);
}

InstanceRecord readRecord(Reader &From) {
  InstanceRecord Record;
  Record.Id = InstanceId{readText(From)};
  Record.Zone = ZoneId{readText(From)};
  Record.PeerEndpoint = readEndpoint(From);
  std::uint8_t Flags = 0;
  From(Record.IncarnationNumber.Value, Flags);
  Record.Leaving = (Flags & LeavingFlag) != 0;
  std::uint8_t Health = Flags & HealthMask;
  if (Health > static_cast<std::uint8_t>(InstanceHealth::Dead) ||
      Record.Id.Value.empty())
    throw MalformedMessage();
  Record.Health = static_cast<InstanceHealth>(Health);
  return Record;
}

template <typename Callable>
void writeSection(Writer &To, Section Tag, Callable &&Fill) {
  std::ostringstream Stream;
  {
    Writer Inner(Stream);
    Fill(Inner);
  }
  std::string Bytes = Stream.str();
  auto Length = static_cast<std::uint16_t>(Bytes.size());
  To(static_cast<std::uint8_t>(Tag), Length,
     cereal::binary_data(Bytes.data(), Bytes.size()));
}

void writeSections(Writer &To, const MembershipMessage &Message) {
  if (!Message.Updates.empty())
    writeSection(To, Section::Updates, [&](Writer &Inner) {
      Inner(static_cast<std::uint8_t>(Message.Updates.size()));
      for (const InstanceRecord &Record : Message.Updates)
        writeRecord(Inner, Record);
    });
  if (!Message.Zones.empty())
    writeSection(To, Section::Zones, [&](Writer &Inner) {
      Inner(static_cast<std::uint8_t>(Message.Zones.size()));
      for (const ZoneAge &Zone : Message.Zones)
        Inner(Zone.Zone, static_cast<std::uint8_t>(std::clamp<std::int64_t>(
                             Zone.Age / AgeUnit, 0, MaxAgeUnits)));
    });
  if (!Message.Buckets.Digests.empty())
    writeSection(To, Section::Buckets, [&](Writer &Inner) {
      Inner(Message.Buckets.First,
            static_cast<std::uint8_t>(Message.Buckets.Digests.size()));
      for (std::uint32_t Digest : Message.Buckets.Digests)
        Inner(Digest);
    });
}

void readZones(Reader &From, MembershipMessage &Into) {
  std::uint8_t Count = 0;
  From(Count);
  for (unsigned Index = 0; Index < Count; ++Index) {
    ZoneAge Zone;
    std::uint8_t Units = 0;
    From(Zone.Zone, Units);
    Zone.Age = AgeUnit * Units;
    Into.Zones.push_back(Zone);
  }
}

void readBuckets(Reader &From, MembershipMessage &Into) {
  std::uint8_t Count = 0;
  From(Into.Buckets.First, Count);
  for (unsigned Index = 0; Index < Count; ++Index) {
    std::uint32_t Digest = 0;
    From(Digest);
    Into.Buckets.Digests.push_back(Digest);
  }
}

/// Returns false if the section is unknown.
bool readSection(Section Tag, const std::string &Bytes,
                 MembershipMessage &Into) {
  std::istringstream Stream(Bytes);
  Reader Inner(Stream);
  if (Tag == Section::Updates) {
    std::uint8_t Count = 0;
    Inner(Count);
    for (unsigned Index = 0; Index < Count; ++Index)
      Into.Updates.push_back(readRecord(Inner));
    return true;
  }
  if (Tag == Section::Zones) {
    readZones(Inner, Into);
    return true;
  }
  if (Tag == Section::Buckets) {
    readBuckets(Inner, Into);
    return true;
  }
  return false;
}

DecodedMembershipMessage readMessage(std::string_view Bytes) {
  std::istringstream Stream{std::string(Bytes)};
  Reader From(Stream);
  std::uint8_t Version = 0;
  std::uint8_t MinReaderVersion = 0;
  std::uint8_t Kind = 0;
  From(Version, MinReaderVersion, Kind);
  bool Known = Version > 0 && MinReaderVersion <= MembershipVersion &&
               Kind >= 1 &&
               Kind <= static_cast<std::uint8_t>(MembershipMessageKind::Page);
  if (!Known)
    throw MalformedMessage();
  DecodedMembershipMessage Read;
  MembershipMessage &Message = Read.Message;
  Message.Kind = static_cast<MembershipMessageKind>(Kind);
  Message.To = InstanceId{readText(From)};
  Message.Sender = readRecord(From);
  From(Message.Sequence, Message.InReplyTo);
  Message.Subject = InstanceId{readText(From)};
  Message.Cursor = InstanceId{readText(From)};
  while (Stream.peek() != std::istringstream::traits_type::eof()) {
    std::uint8_t Tag = 0;
    std::uint16_t Length = 0;
    From(Tag, Length);
    if (Length > MaximumPeerPayload)
      throw MalformedMessage();
    std::string Section(Length, '\0');
    From(cereal::binary_data(Section.data(), Section.size()));
    if (!readSection(static_cast<turmericpitch::Section>(Tag), Section,
                     Message))
      ++Read.UnknownSections;
  }
  return Read;
}

} // namespace

std::uint32_t zoneKey(const ZoneId &Zone) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(Zone.Value.data(), Zone.Value.size()));
}

std::size_t encodedSize(const InstanceRecord &Record) {
  return RecordFixedSize + Record.Id.Value.size() + Record.Zone.Value.size();
}

std::size_t encodedSize(const MembershipMessage &Message) {
  std::size_t Size = HeaderFixedSize + Message.To.Value.size() +
                     Message.Subject.Value.size() +
                     Message.Cursor.Value.size() + encodedSize(Message.Sender);
  if (!Message.Updates.empty())
    Size += SectionHeaderSize + 1;
  for (const InstanceRecord &Record : Message.Updates)
    Size += encodedSize(Record);
  if (!Message.Zones.empty())
    Size += SectionHeaderSize + 1 + Message.Zones.size() * ZoneAgeSize;
  if (!Message.Buckets.Digests.empty())
    Size += SectionHeaderSize + 2 +
            Message.Buckets.Digests.size() * sizeof(std::uint32_t);
  return Size;
}

std::string encodeMembership(const MembershipMessage &Message) {
  std::ostringstream Stream;
  {
    Writer To(Stream);
    To(MembershipVersion, MembershipVersion,
       static_cast<std::uint8_t>(Message.Kind));
    writeText(To, Message.To.Value);
    writeRecord(To, Message.Sender);
    To(Message.Sequence, Message.InReplyTo);
    writeText(To, Message.Subject.Value);
    writeText(To, Message.Cursor.Value);
    writeSections(To, Message);
  }
  return Stream.str();
}

Result<DecodedMembershipMessage> decodeMembership(std::string_view Bytes) {
  if (Bytes.size() <= MaximumPeerPayload) {
    try {
      return readMessage(Bytes);
    } catch (const std::exception &) {
      // Rejected below, like a payload that is too large.
    }
  }
  return boost::leaf::new_error(
      Error{.Kind = ErrorKind::BadRequest,
            .Message = "malformed membership message",
            .Remedy = "run adjacent versions on all instances"});
}

} // namespace turmericpitch
