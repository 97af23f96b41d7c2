// SHA-256, HMAC-SHA-256 and Base64.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace turmericpitch {

using Sha256Bytes = std::array<char, 32>;

/// SHA-256 of Data as raw bytes. Thread-safe.
Sha256Bytes sha256(std::string_view Data);
/// SHA-256 of Data as 64 lower-case hexadecimal digits. Thread-safe.
std::string sha256Hex(std::string_view Data);
/// HMAC-SHA-256 as 32 raw bytes. Thread-safe.
std::string hmacSha256(std::string_view Key, std::string_view Data);
/// Compares in a time that does not depend on the contents. Thread-safe.
bool equalInConstantTime(std::string_view Left, std::string_view Right);
/// Base64 without line breaks. Thread-safe.
std::string encodeBase64(std::string_view Data);
/// The decoded bytes, or an empty string if Text is not Base64. Thread-safe.
std::string decodeBase64(std::string_view Text);

} // namespace turmericpitch
