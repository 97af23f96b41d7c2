#include "core/Endpoint.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace turmericpitch {

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string Address(Text.substr(0, Colon));
  boost::system::error_code Failure;
  boost::asio::ip::make_address_v4(Address, Failure);
  if (Failure)
    return std::nullopt;
  std::string_view Digits = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  auto [End, Problem] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Problem != std::errc{} || End != Digits.data() + Digits.size() ||
      Port == 0)
    return std::nullopt;
  return Endpoint{.Address = Address, .Port = Port};
}

std::string toString(const Endpoint &Value) {
  return Value.Address + ":" + std::to_string(Value.Port);
}

} // namespace turmericpitch
