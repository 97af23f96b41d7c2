// A TCP or UDP address by IP number.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpitch {

/// An IP number and a port. Immutable value.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Address, this->Port);
  }
};

/// "127.0.0.1:7101" as an endpoint, or nothing if it isn't an IPv4 number
/// and a port from 1 to 65535. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view Text);
/// The reverse of parseEndpoint(). Thread-safe.
std::string toString(const Endpoint &Where);

} // namespace turmericpitch
