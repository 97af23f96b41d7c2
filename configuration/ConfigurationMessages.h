// Messages that instances exchange about the configuration.
#pragma once

#include "configuration/ConfigurationChange.h"

#include <string_view>

namespace turmericpitch {

/// Why an instance does not run the newest ticket it knows of. The values are
/// part of the protocol and are never reused.
enum class ConfigurationProblem : std::uint8_t {
  None = 0,
  /// The instance has no configuration yet.
  Empty = 1,
  /// The instance cannot parse a change, for example one of a later version.
  Unreadable = 2,
  /// The instance received different content under the number of the ticket it
  /// runs.
  Diverged = 3,
};

/// Description of the problem for operators; the text is stable. Thread-safe.
std::string_view toString(ConfigurationProblem Problem);

/// The ticket that the sender runs.
struct ConfigurationAnnouncement {
  TicketNumber Newest;
  /// Digest of the newest ticket; empty without one.
  std::string Digest;
  /// Time since the latest platform reply to any instance known to the sender.
  Duration PlatformReplyAge{0};
  ConfigurationProblem Problem = ConfigurationProblem::None;
  /// Requests an announcement in return.
  bool WantsReply = false;
  /// A receiver with an older ticket is to fetch a copy over TCP.
  bool OffersCopy = false;

  bool operator==(const ConfigurationAnnouncement &) const = default;
};

using ConfigurationMessage =
    std::variant<ConfigurationAnnouncement, ConfigurationChange>;

/// Largest configuration copy accepted from a peer, in bytes.
inline constexpr std::size_t MaximumCopyBytes = 64 * 1024 * 1024;

/// Encode and decode messages. Thread-safe. Errors of decodeMessage():
/// BadRequest if the message is malformed, has another version, or states sizes
/// beyond its own length.
std::string encodeMessage(const ConfigurationMessage &Message);
Result<ConfigurationMessage> decodeMessage(std::string_view Bytes);

} // namespace turmericpitch
