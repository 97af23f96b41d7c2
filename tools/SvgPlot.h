// Small line plots as SVG.
#pragma once

#include <string>
#include <vector>

namespace turmericpitch {

/// One line of a plot; Values[i] stands at x = i.
struct PlotLine {
  std::string Name;
  std::string Color;
  std::vector<double> Values;
};

/// A shaded range of x.
struct ShadedRange {
  std::string Name;
  double From = 0;
  double Until = 0;
};

/// What a plot shows.
struct SvgPlot {
  std::string Title;
  std::string XUnit;
  std::string YUnit;
  std::vector<PlotLine> Lines;
  std::vector<ShadedRange> ShadedRanges;
};

/// The plot as an SVG element. Thread-safe.
std::string drawSvg(const SvgPlot &Plot);
/// The text with HTML's special characters replaced. Thread-safe.
std::string escapeHtml(const std::string &Text);

} // namespace turmericpitch
