// Settings of a daemon, read from a YAML file.
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

/// Another instance of the system, as listed in the settings.
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
  /// Keys of session tokens. The first one signs.
  std::vector<TokenKey> TokenKeys;
  /// Keys that authenticate frames between instances. The first one signs.
  std::vector<PeerKey> PeerKeys;
  /// SHA-256 digest of the operators' bearer credential, in hexadecimal.
  std::string OperatorCredentialDigest;
  /// TLS for callers and operators. If not set, they use plain TCP.
  std::optional<TlsFiles> Tls;
  std::uint32_t Threads = 2;
  /// Maximum wait for a replica to catch up.
  Duration MaxReplicaWait = std::chrono::milliseconds(20);
  Duration ProbeInterval = std::chrono::milliseconds(100);
  Duration ProbeTimeout = std::chrono::milliseconds(200);
  Duration PrimarySilenceTimeout = std::chrono::milliseconds(200);
  Duration PromoterRankDelay = std::chrono::milliseconds(150);
  DrainOptions Drain;
  /// Maximum time-out that a caller may give. Longer ones are refused.
  Duration MaxRequestTimeout = std::chrono::seconds(30);

  bool operator==(const DaemonSettings &) const = default;
};

/// Parses and validates settings. File is the name that error messages give
/// for the source. Thread-safe. Errors: BadRequest that lists every problem
/// with file, line, key and remedy.
Result<DaemonSettings> parseDaemonSettings(std::string_view Text,
                                           const std::string &File);

} // namespace turmericpitch
