// Demonstration with platform, members and two instances in one process.
#pragma once

#include <cstdint>
#include <ostream>

namespace turmericpitch {

/// Runs a write, a read of the same session at the other instance, a change
/// ticket and the loss of a primary on loopback ports from BasePort on, and
/// prints the result of each step. Returns whether all steps succeeded.
bool runDemo(std::uint16_t BasePort, std::ostream &Output);

} // namespace turmericpitch
