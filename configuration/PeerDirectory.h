// The instances among which configuration changes spread.
#pragma once

#include "core/Endpoint.h"
#include "core/Identifiers.h"

#include <map>
#include <memory>
#include <vector>

namespace turmericpitch {

/// Another instance, or this one.
struct ConfigurationPeer {
  InstanceId Id;
  ZoneId Zone;
  Endpoint Where;

  bool operator==(const ConfigurationPeer &) const = default;
};

/// The instances believed live at one moment. Immutable; thread-safe.
class PeerDirectory {
public:
  explicit PeerDirectory(std::vector<ConfigurationPeer> Peers);

  [[nodiscard]] const std::vector<ConfigurationPeer> &all() const {
    return this->Peers;
  }
  /// Indices into all() of the zone's instances.
  [[nodiscard]] const std::vector<std::uint32_t> &
  inZone(const ZoneId &Zone) const;
  /// The place of an instance in its zone by rendezvous hashing: 0 is the
  /// first to take up the duty of reading the platform. An instance that is
  /// not listed gets the place that it would have.
  [[nodiscard]] std::size_t readerRank(const InstanceId &Id,
                                       const ZoneId &Zone) const;

private:
  std::vector<ConfigurationPeer> Peers;
  std::map<ZoneId, std::vector<std::uint32_t>> ByZone;
};

using SharedPeerDirectory = std::shared_ptr<const PeerDirectory>;

} // namespace turmericpitch
