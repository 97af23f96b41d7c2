// The signed frame that carries each datagram between instances.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// Topic of a payload. Each topic is processed by one component. The numbers
/// are part of the protocol and never reused.
enum class PeerTopic : std::uint8_t {
  Membership = 1,
  Configuration = 2,
  ConnectionShares = 3,
  Failover = 4,
  AccountLimits = 5,
};

/// A key that authenticates frames between instances.
struct PeerKey {
  /// Name of the key in the settings.
  std::string Id;
  std::string Secret;

  bool operator==(const PeerKey &) const = default;
};

/// Contents of one datagram. Immutable value.
struct PeerFrame {
  InstanceId From;
  PeerTopic Topic = PeerTopic::Membership;
  std::string Payload;

  bool operator==(const PeerFrame &) const = default;
};

/// Maximum payload in bytes, so that a frame fits one unfragmented datagram.
inline constexpr std::size_t MaximumPeerPayload = 1200;
/// Protocol version written. Frames of other versions are rejected.
inline constexpr std::uint8_t PeerFrameVersion = 1;

/// Encodes, signs and verifies frames. Immutable; thread-safe.
class PeerFrameCodec {
public:
  /// The first key signs, and all keys are accepted. Precondition: Keys is not
  /// empty.
  explicit PeerFrameCodec(std::vector<PeerKey> Keys);

  /// Encodes and signs a frame. Errors: BadRequest if the payload is too large.
  [[nodiscard]] Result<std::string> encode(const PeerFrame &Frame) const;
  /// Verifies and decodes a frame. Errors: BadRequest if malformed or of
  /// another version, Forbidden if not signed with an accepted key.
  [[nodiscard]] Result<PeerFrame> decode(std::string_view Bytes) const;

private:
  std::vector<PeerKey> Keys;
};

} // namespace turmericpitch
