// Formats the report of a load run as text, as JSON and as an HTML page with
// plots.
#pragma once

#include "tools/LoadRun.h"

#include <string>

namespace turmericpitch {

/// Returns all measurements as JSON. Thread-safe.
std::string loadReportJson(const LoadRun &Run, const LoadResult &Result);
/// Returns a self-contained HTML page with the measurements and SVG plots.
/// Thread-safe.
std::string loadReportHtml(const LoadRun &Run, const LoadResult &Result);
/// Returns a summary of a few lines for a terminal. Thread-safe.
std::string loadReportText(const LoadRun &Run, const LoadResult &Result);

} // namespace turmericpitch
