// The frame in which instances exchange small datagrams.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// What a payload is about; each topic has one owner in the code. Numbers
/// are part of the protocol and never reused.
enum class PeerTopic : std::uint8_t {
  Membership = 1,
  Configuration = 2,
  ConnectionShares = 3,
  Failover = 4,
};

/// A key that authenticates frames between instances.
struct PeerKey {
  /// Names the key within frames.
  std::string Id;
  std::string Secret;

  bool operator==(const PeerKey &) const = default;
};

/// One datagram's contents. Immutable value.
struct PeerFrame {
  InstanceId From;
  PeerTopic Topic = PeerTopic::Membership;
  std::string Payload;

  bool operator==(const PeerFrame &) const = default;
};

/// Largest payload, bytes; a frame then fits one unfragmented datagram.
inline constexpr std::size_t MaximumPeerPayload = 1200;
/// Version written; frames of other versions are refused.
inline constexpr std::uint8_t PeerFrameVersion = 1;

/// Encodes and authenticates frames. Immutable; thread-safe.
class PeerFrameCodec {
public:
  /// Keys: the first signs; all are accepted. Precondition: not empty.
  explicit PeerFrameCodec(std::vector<PeerKey> Keys);

  /// Errors: BadRequest if the payload is too large.
  [[nodiscard]] Result<std::string> encode(const PeerFrame &Frame) const;
  /// Errors: BadRequest if malformed or of another version, Forbidden if
  /// not signed with an accepted key.
  [[nodiscard]] Result<PeerFrame> decode(std::string_view Bytes) const;

private:
  std::vector<PeerKey> Keys;
};

} // namespace turmericpitch
