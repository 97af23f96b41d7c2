#include "configuration/PeerDirectory.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericpitch {

namespace {

std::uint64_t weightOf(const InstanceId &Id, const ZoneId &Zone) {
  std::string Text = Zone.Value + "\n" + Id.Value;
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace

PeerDirectory::PeerDirectory(std::vector<ConfigurationPeer> Given)
    : Peers(std::move(Given)) {
  for (std::uint32_t Index = 0; Index < this->Peers.size(); ++Index)
    this->ByZone[this->Peers[Index].Zone].push_back(Index);
}

const std::vector<std::uint32_t> &
PeerDirectory::inZone(const ZoneId &Zone) const {
  static const std::vector<std::uint32_t> None;
  auto Found = this->ByZone.find(Zone);
  return Found == this->ByZone.end() ? None : Found->second;
}

std::size_t PeerDirectory::readerRank(const InstanceId &Id,
                                      const ZoneId &Zone) const {
  std::uint64_t Own = weightOf(Id, Zone);
  const auto &Members = this->inZone(Zone);
  return static_cast<std::size_t>(
      std::ranges::count_if(Members, [&](std::uint32_t Index) {
        const InstanceId &Other = this->Peers[Index].Id;
        return Other != Id && weightOf(Other, Zone) > Own;
      }));
}

} // namespace turmericpitch
