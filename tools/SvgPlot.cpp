#include "tools/SvgPlot.h"

#include <algorithm>
#include <sstream>

namespace turmericpitch {

namespace {

constexpr double Width = 760;
constexpr double Height = 240;
constexpr double LeftMargin = 70;
constexpr double BottomMargin = 40;
constexpr double TopMargin = 30;
constexpr double RightMargin = 20;
constexpr int GridLines = 4;

/// Maps plot values to SVG coordinates.
struct Scale {
  double MaxX = 1;
  double MaxY = 1;

  [[nodiscard]] double x(double Value) const {
    return LeftMargin + Value / this->MaxX * (Width - LeftMargin - RightMargin);
  }
  [[nodiscard]] double y(double Value) const {
    return Height - BottomMargin -
           Value / this->MaxY * (Height - BottomMargin - TopMargin);
  }
};

Scale scaleOf(const SvgPlot &Plot) {
  Scale PlotScale;
  for (const PlotLine &Line : Plot.Lines) {
    PlotScale.MaxX =
        std::max(PlotScale.MaxX, static_cast<double>(Line.Values.size()));
    for (double Value : Line.Values)
      PlotScale.MaxY = std::max(PlotScale.MaxY, Value);
  }
  return PlotScale;
}

void drawText(std::ostream &Output, double X, double Y, const std::string &Text,
              const std::string &Anchor) {
  Output << "<text x='" << X << "' y='" << Y << "' font-size='12' text-anchor='"
         << Anchor << "'>" << escapeHtml(Text) << "</text>\n";
}

void drawGrid(std::ostream &Output, const SvgPlot &Plot,
              const Scale &PlotScale) {
  for (int Line = 0; Line <= GridLines; ++Line) {
    double Value = PlotScale.MaxY * Line / GridLines;
    Output << "<line x1='" << LeftMargin << "' x2='" << Width - RightMargin
           << "' y1='" << PlotScale.y(Value) << "' y2='" << PlotScale.y(Value)
           << "' stroke='#ddd'/>\n";
    std::ostringstream Label;
    Label << Value;
    drawText(Output, LeftMargin - 6, PlotScale.y(Value) + 4, Label.str(),
             "end");
  }
  std::ostringstream Last;
  Last << PlotScale.MaxX << " " << Plot.XUnit;
  drawText(Output, LeftMargin, Height - BottomMargin + 16, "0", "start");
  drawText(Output, Width - RightMargin, Height - BottomMargin + 16, Last.str(),
           "end");
  drawText(Output, LeftMargin, TopMargin - 10,
           Plot.Title + " (" + Plot.YUnit + ")", "start");
}

} // namespace

std::string escapeHtml(const std::string &Text) {
  std::string Escaped;
  for (char Character : Text) {
    switch (Character) {
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '&':
      Escaped += "&amp;";
      break;
    case '\'':
      Escaped += "&#39;";
      break;
    default:
      Escaped += Character;
    }
  }
  return Escaped;
}

std::string drawSvg(const SvgPlot &Plot) {
  Scale PlotScale = scaleOf(Plot);
  std::ostringstream Output;
  Output << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Width
         << "' height='" << Height << "' font-family='sans-serif'>\n";
  for (const ShadedRange &Range : Plot.ShadedRanges) {
    double From = PlotScale.x(std::min(Range.From, PlotScale.MaxX));
    double Until = PlotScale.x(std::min(Range.Until, PlotScale.MaxX));
    Output << "<rect x='" << From << "' y='" << TopMargin << "' width='"
           << std::max(1.0, Until - From) << "' height='"
           << Height - TopMargin - BottomMargin << "' fill='#f6c6c6'><title>"
           << escapeHtml(Range.Name) << "</title></rect>\n";
  }
  drawGrid(Output, Plot, PlotScale);
  double LegendX = LeftMargin;
  for (const PlotLine &Line : Plot.Lines) {
    Output << "<polyline fill='none' stroke='" << Line.Color << "' points='";
    for (std::size_t Index = 0; Index < Line.Values.size(); ++Index)
      Output << PlotScale.x(static_cast<double>(Index) + 0.5) << ","
             << PlotScale.y(Line.Values[Index]) << " ";
    Output << "'/>\n<rect x='" << LegendX << "' y='" << Height - 14
           << "' width='10' height='10' fill='" << Line.Color << "'/>\n";
    drawText(Output, LegendX + 14, Height - 5, Line.Name, "start");
    LegendX += 140;
  }
  Output << "</svg>\n";
  return Output.str();
}

} // namespace turmericpitch
