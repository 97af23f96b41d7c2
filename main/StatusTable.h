// Formats the status of an instance for the terminal.
#pragma once

#include "core/Error.h"

#include <string>
#include <string_view>

namespace turmericpitch {

/// Formats the JSON reply of GET /v1/status as a table. Thread-safe. Errors:
/// BadRequest if Json is not such a reply.
Result<std::string> formatStatus(std::string_view Json);

} // namespace turmericpitch
