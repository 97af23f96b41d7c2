// Compresses what instances send to each other.
#pragma once

#include "core/Error.h"

#include <string>
#include <string_view>

namespace turmericpitch {

/// The bytes in the zlib format (RFC 1950). Thread-safe.
std::string compress(std::string_view Bytes);
/// The inverse of compress(). Thread-safe. Errors: BadRequest if the bytes
/// aren't a whole stream of that format, or stand for more than MaxBytes.
Result<std::string> decompress(std::string_view Bytes, std::size_t MaxBytes);

} // namespace turmericpitch
