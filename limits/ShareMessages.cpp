#include "limits/ShareMessages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace turmericpitch {

namespace {

constexpr std::uint8_t ShareMessageVersion = 1;
constexpr std::size_t MaxShareMessageBytes = 512;

/// Wire values; never reused.
enum class ShareMessageKind : std::uint8_t { Request = 1, Grant = 2 };

template <typename Archive>
void archiveFields(Archive &Ar, ShareRequest &Message) {
  Ar(Message.Target, Message.Incarnation, Message.Sequence, Message.Accepted,
     Message.Wanted, Message.SentAt);
}

template <typename Archive>
void archiveFields(Archive &Ar, ShareGrant &Message) {
  Ar(Message.Target, Message.Incarnation, Message.Sequence, Message.SentAt,
     Message.Count, Message.ValidFor, Message.Spare);
}

Error malformedMessageError() {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "malformed share message",
          .Remedy = "check the peers' versions"};
}

template <typename Message, typename Archive>
ShareMessage readFields(Archive &Ar) {
  Message Read;
  archiveFields(Ar, Read);
  return Read;
}

} // namespace

std::string encodeShareMessage(const ShareMessage &Message) {
  std::ostringstream Stream;
  {
    cereal::PortableBinaryOutputArchive Ar(Stream);
    bool IsRequest = std::holds_alternative<ShareRequest>(Message);
    Ar(ShareMessageVersion,
       IsRequest ? ShareMessageKind::Request : ShareMessageKind::Grant);
    std::visit([&](auto Each) { archiveFields(Ar, Each); }, Message);
  }
  return Stream.str();
}

Result<ShareMessage> decodeShareMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxShareMessageBytes)
    return boost::leaf::new_error(malformedMessageError());
  try {
    std::istringstream Stream{std::string(Bytes)};
    cereal::PortableBinaryInputArchive Ar(Stream);
    std::uint8_t Version = 0;
    ShareMessageKind Kind{};
    Ar(Version, Kind);
    if (Version != ShareMessageVersion)
      return boost::leaf::new_error(malformedMessageError());
    if (Kind == ShareMessageKind::Request)
      return readFields<ShareRequest>(Ar);
    if (Kind == ShareMessageKind::Grant)
      return readFields<ShareGrant>(Ar);
  } catch (const std::exception &) {
    return boost::leaf::new_error(malformedMessageError());
  }
  return boost::leaf::new_error(malformedMessageError());
}

} // namespace turmericpitch
