// The instances that exchange configuration changes.
#pragma once

#include "core/Endpoint.h"
#include "core/Identifiers.h"

#include <map>
#include <memory>
#include <vector>

namespace turmericpitch {

/// An instance, possibly this one.
struct ConfigurationPeer {
  InstanceId Id;
  ZoneId Zone;
  Endpoint Where;

  bool operator==(const ConfigurationPeer &) const = default;
};

/// The instances believed to be live at one moment. Immutable; thread-safe.
class PeerDirectory {
public:
  explicit PeerDirectory(std::vector<ConfigurationPeer> Peers);

  [[nodiscard]] const std::vector<ConfigurationPeer> &all() const {
    return this->Peers;
  }
  /// Indices into all() of the instances of a zone.
  [[nodiscard]] const std::vector<std::uint32_t> &
  inZone(const ZoneId &Zone) const;
  /// Rank of an instance in its zone by rendezvous hashing, from 0. Those with
  /// the lowest ranks read the platform. An instance that is not listed gets
  /// the rank that it would have if it were.
  [[nodiscard]] std::size_t readerRank(const InstanceId &Id,
                                       const ZoneId &Zone) const;

private:
  std::vector<ConfigurationPeer> Peers;
  std::map<ZoneId, std::vector<std::uint32_t>> ByZone;
};

using SharedPeerDirectory = std::shared_ptr<const PeerDirectory>;

} // namespace turmericpitch
