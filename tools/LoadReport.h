// The report of a load run as JSON and as one HTML page with plots.
#pragma once

#include "tools/LoadRun.h"

#include <string>

namespace turmericpitch {

/// All figures as JSON. Thread-safe.
std::string loadReportJson(const LoadRun &Run, const LoadResult &Result);
/// One page that needs nothing else: tables and SVG plots. Thread-safe.
std::string loadReportHtml(const LoadRun &Run, const LoadResult &Result);
/// A few lines for a terminal. Thread-safe.
std::string loadReportText(const LoadRun &Run, const LoadResult &Result);

} // namespace turmericpitch
