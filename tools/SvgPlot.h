// Draws small line plots as SVG.
#pragma once

#include <string>
#include <vector>

namespace turmericpitch {

/// One line of a plot. Values[i] is the value at x = i.
struct PlotLine {
  std::string Name;
  std::string Color;
  std::vector<double> Values;
};

/// A range of x that is drawn shaded.
struct ShadedRange {
  std::string Name;
  double From = 0;
  double Until = 0;
};

/// Contents of a plot.
struct SvgPlot {
  std::string Title;
  std::string XUnit;
  std::string YUnit;
  std::vector<PlotLine> Lines;
  std::vector<ShadedRange> ShadedRanges;
};

/// Returns the plot as an SVG element. Thread-safe.
std::string drawSvg(const SvgPlot &Plot);
/// Returns the text with the special characters of HTML escaped. Thread-safe.
std::string escapeHtml(const std::string &Text);

} // namespace turmericpitch
