// What instances tell each other about the configuration.
#pragma once

#include "configuration/ConfigurationChange.h"

#include <string_view>

namespace turmericpitch {

/// Why an instance runs an older ticket than it has heard of. Numbers are
/// part of the protocol and never reused.
enum class ConfigurationProblem : std::uint8_t {
  None = 0,
  /// It has no configuration yet.
  Empty = 1,
  /// It can't read a change, as one of a later version.
  Unreadable = 2,
  /// It runs other content under a number that it was offered.
  Diverged = 3,
};

/// The problem's stable name. Thread-safe.
std::string_view toString(ConfigurationProblem Problem);

/// What the sender runs.
struct ConfigurationAnnouncement {
  TicketNumber Newest;
  /// Of the newest ticket; empty without one.
  std::string Digest;
  /// How long ago the platform last answered someone, as far as is known.
  Duration PlatformReplyAge{0};
  ConfigurationProblem Problem = ConfigurationProblem::None;
  /// Asks for an announcement in return.
  bool WantsReply = false;
  /// Tells an instance that is behind to fetch a copy over TCP.
  bool OffersCopy = false;

  bool operator==(const ConfigurationAnnouncement &) const = default;
};

using ConfigurationMessage =
    std::variant<ConfigurationAnnouncement, ConfigurationChange>;

/// Largest copy of a configuration taken from a peer, bytes.
inline constexpr std::size_t MaximumCopyBytes = 64 * 1024 * 1024;

/// All functions are thread-safe. Decoding errors are BadRequest: malformed,
/// of another version, or naming sizes beyond the bytes at hand.
std::string encodeMessage(const ConfigurationMessage &Message);
Result<ConfigurationMessage> decodeMessage(std::string_view Bytes);

} // namespace turmericpitch
