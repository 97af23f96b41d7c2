// An instance's status as a person reads it.
#pragma once

#include "core/Error.h"

#include <string>
#include <string_view>

namespace turmericpitch {

/// The operators' status answer as a table. Thread-safe. Errors: BadRequest
/// if it isn't one.
Result<std::string> formatStatus(std::string_view Json);

} // namespace turmericpitch
