#include "membership/PeerFrame.h"

#include "core/Digest.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace turmericpitch {

namespace {

constexpr std::size_t SignatureLength = 32;
constexpr std::size_t MaxFrameSize = 1500;

Error frameError(ErrorKind Kind, std::string Message) {
  return {.Kind = Kind,
          .Message = std::move(Message),
          .Remedy = "check the keys and versions of the peers"};
}

} // namespace

PeerFrameCodec::PeerFrameCodec(std::vector<PeerKey> Keys)
    : Keys(std::move(Keys)) {}

Result<std::string> PeerFrameCodec::encode(const PeerFrame &Frame) const {
  if (Frame.Payload.size() > MaximumPeerPayload)
    return boost::leaf::new_error(
        frameError(ErrorKind::BadRequest, "peer payload too large"));
  std::ostringstream Stream;
  {
    cereal::PortableBinaryOutputArchive Archive(Stream);
    Archive(PeerFrameVersion, Frame.From, Frame.Topic, Frame.Payload);
  }
  std::string Body = Stream.str();
  return hmacSha256(this->Keys.front().Secret, Body) + Body;
}

Result<PeerFrame> PeerFrameCodec::decode(std::string_view Bytes) const {
  if (Bytes.size() <= SignatureLength || Bytes.size() > MaxFrameSize)
    return boost::leaf::new_error(
        frameError(ErrorKind::BadRequest, "malformed peer frame"));
  std::string_view Signature = Bytes.substr(0, SignatureLength);
  std::string_view Body = Bytes.substr(SignatureLength);
  // The signature is verified before any part of the body is parsed.
  bool Verified =
      std::any_of(this->Keys.begin(), this->Keys.end(), [&](const PeerKey &K) {
        return equalInConstantTime(hmacSha256(K.Secret, Body), Signature);
      });
  if (!Verified)
    return boost::leaf::new_error(frameError(
        ErrorKind::Forbidden, "peer frame not signed by a known key"));
  try {
    std::istringstream Stream{std::string(Body)};
    cereal::PortableBinaryInputArchive Archive(Stream);
    std::uint8_t Version = 0;
    Archive(Version);
    PeerFrame Frame;
    if (Version == PeerFrameVersion) {
      Archive(Frame.From, Frame.Topic, Frame.Payload);
      return Frame;
    }
  } catch (const std::exception &) {
    return boost::leaf::new_error(
        frameError(ErrorKind::BadRequest, "malformed peer frame"));
  }
  return boost::leaf::new_error(
      frameError(ErrorKind::BadRequest, "peer frame of another version"));
}

} // namespace turmericpitch
