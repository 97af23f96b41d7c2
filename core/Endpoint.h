// An IPv4 address with a port, for TCP or UDP.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpitch {

/// An IPv4 address and a port. Immutable value.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Address, this->Port);
  }
};

/// Parses text such as "127.0.0.1:7101". Returns nothing unless Text is an
/// IPv4 address and a port from 1 to 65535. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view Text);
/// The inverse of parseEndpoint(). Thread-safe.
std::string toString(const Endpoint &Value);

} // namespace turmericpitch
