// The settings of one daemon.
#pragma once

#include "core/Endpoint.h"
#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/Time.h"
#include "drivers/TlsKeys.h"
#include "membership/DrainController.h"
#include "membership/PeerFrame.h"
#include "session/SessionToken.h"

namespace turmericpitch {

/// Another instance of the system.
struct PeerSettings {
  InstanceId Id;
  Endpoint PeerEndpoint;
  ZoneId Zone;

  bool operator==(const PeerSettings &) const = default;
};

struct DaemonSettings {
  InstanceId Self;
  ZoneId Zone;
  Endpoint CallerEndpoint;
  Endpoint OperatorEndpoint;
  Endpoint PeerEndpoint;
  Endpoint PlatformEndpoint;
  std::vector<PeerSettings> Peers;
  std::vector<TokenKey> TokenKeys;
  /// Authenticate frames between instances; the first one signs.
  std::vector<PeerKey> PeerKeys;
  /// SHA-256 of the operators' bearer credential, in hexadecimal.
  std::string OperatorCredentialDigest;
  /// TLS towards callers and operators; not set means plain TCP.
  std::optional<TlsFiles> Tls;
  std::uint32_t Threads = 2;
  Duration MaxReplicaWait = std::chrono::milliseconds(20);
  Duration ProbeInterval = std::chrono::milliseconds(100);
  Duration ProbeTimeout = std::chrono::milliseconds(200);
  Duration PrimarySilenceTimeout = std::chrono::milliseconds(200);
  Duration PromoterRankDelay = std::chrono::milliseconds(150);
  DrainOptions Drain;
  Duration MaxDeadline = std::chrono::seconds(30);

  bool operator==(const DaemonSettings &) const = default;
};

/// Reads and checks settings whole. File names the source in messages.
/// Thread-safe. Errors: BadRequest with every problem: file, line, key and
/// remedy.
Result<DaemonSettings> parseDaemonSettings(std::string_view Text,
                                           const std::string &File);

} // namespace turmericpitch
