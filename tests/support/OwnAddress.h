// A loopback address for one test process.
#pragma once

#include <string>
#include <unistd.h>

namespace turmericpitch {

/// A loopback address that is unique to this process, so that tests in other
/// processes can use the same ports.
inline std::string ownAddress() {
  auto Id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (Id >> 16U) % 254) + "." +
         std::to_string((Id >> 8U) % 256) + "." + std::to_string(1 + Id % 254);
}

} // namespace turmericpitch
