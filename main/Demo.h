// The embedded default: platform, members and two instances in one process.
#pragma once

#include <cstdint>
#include <ostream>

namespace turmericpitch {

/// Plays a booking, a roaming read, a primary loss and a change ticket on
/// loopback ports from BasePort, and prints what happened. Returns whether
/// every step came out as it should.
bool runDemo(std::uint16_t BasePort, std::ostream &Output);

} // namespace turmericpitch
