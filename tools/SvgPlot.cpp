#include "tools/SvgPlot.h"

#include <algorithm>
#include <sstream>

namespace turmericpitch {

namespace {

constexpr double Width = 760;
constexpr double Height = 240;
constexpr double Left = 70;
constexpr double Bottom = 40;
constexpr double Top = 30;
constexpr double Right = 20;
constexpr int GridLines = 4;

/// Maps plot values to the drawing's coordinates.
struct Scale {
  double MostX = 1;
  double MostY = 1;

  [[nodiscard]] double x(double Value) const {
    return Left + Value / this->MostX * (Width - Left - Right);
  }
  [[nodiscard]] double y(double Value) const {
    return Height - Bottom - Value / this->MostY * (Height - Bottom - Top);
  }
};

Scale scaleOf(const SvgPlot &Plot) {
  Scale Fit;
  for (const PlotLine &Line : Plot.Lines) {
    Fit.MostX = std::max(Fit.MostX, static_cast<double>(Line.Values.size()));
    for (double Value : Line.Values)
      Fit.MostY = std::max(Fit.MostY, Value);
  }
  return Fit;
}

void drawText(std::ostream &To, double X, double Y, const std::string &Text,
              const std::string &Anchor) {
  To << "<text x='" << X << "' y='" << Y << "' font-size='12' text-anchor='"
     << Anchor << "'>" << escapeHtml(Text) << "</text>\n";
}

void drawGrid(std::ostream &To, const SvgPlot &Plot, const Scale &Fit) {
  for (int Line = 0; Line <= GridLines; ++Line) {
    double Value = Fit.MostY * Line / GridLines;
    To << "<line x1='" << Left << "' x2='" << Width - Right << "' y1='"
       << Fit.y(Value) << "' y2='" << Fit.y(Value) << "' stroke='#ddd'/>\n";
    std::ostringstream Label;
    Label << Value;
    drawText(To, Left - 6, Fit.y(Value) + 4, Label.str(), "end");
  }
  std::ostringstream Last;
  Last << Fit.MostX << " " << Plot.XUnit;
  drawText(To, Left, Height - Bottom + 16, "0", "start");
  drawText(To, Width - Right, Height - Bottom + 16, Last.str(), "end");
  drawText(To, Left, Top - 10, Plot.Title + " (" + Plot.YUnit + ")", "start");
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
  Scale Fit = scaleOf(Plot);
  std::ostringstream To;
  To << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Width
     << "' height='" << Height << "' font-family='sans-serif'>\n";
  for (const PlotMark &Mark : Plot.Marks) {
    double From = Fit.x(std::min(Mark.From, Fit.MostX));
    double Until = Fit.x(std::min(Mark.Until, Fit.MostX));
    To << "<rect x='" << From << "' y='" << Top << "' width='"
       << std::max(1.0, Until - From) << "' height='" << Height - Top - Bottom
       << "' fill='#f6c6c6'><title>" << escapeHtml(Mark.Name)
       << "</title></rect>\n";
  }
  drawGrid(To, Plot, Fit);
  double LegendX = Left;
  for (const PlotLine &Line : Plot.Lines) {
    To << "<polyline fill='none' stroke='" << Line.Color << "' points='";
    for (std::size_t Index = 0; Index < Line.Values.size(); ++Index)
      To << Fit.x(static_cast<double>(Index) + 0.5) << ","
         << Fit.y(Line.Values[Index]) << " ";
    To << "'/>\n<rect x='" << LegendX << "' y='" << Height - 14
       << "' width='10' height='10' fill='" << Line.Color << "'/>\n";
    drawText(To, LegendX + 14, Height - 5, Line.Name, "start");
    LegendX += 140;
  }
  To << "</svg>\n";
  return To.str();
}

} // namespace turmericpitch
