#include "tools/LoadReport.h"

#include "tools/SvgPlot.h"

#include <array>
#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace turmericpitch {

namespace {

constexpr std::array<LoadOperation, 4> Operations{
    LoadOperation::Booking, LoadOperation::Dispatch, LoadOperation::SessionRead,
    LoadOperation::CatalogueRead};
constexpr double Median = 0.5;
constexpr double Percentile99 = 0.99;
constexpr double UsPerMs = 1000;
constexpr double UsPerS = 1e6;
/// Shorter gaps are due to the spacing of arrivals.
constexpr Duration MinGapShown = std::chrono::milliseconds(100);

double inMilliseconds(Duration Length) {
  return static_cast<double>(Length.count()) / UsPerMs;
}

boost::json::object latencyJson(const LatencyHistogram &Latency) {
  boost::json::object Json;
  Json["count"] = Latency.count();
  Json["p50_ms"] = inMilliseconds(Latency.quantile(Median));
  Json["p99_ms"] = inMilliseconds(Latency.quantile(Percentile99));
  return Json;
}

SvgPlot latencyPlot(const std::vector<LoadSecond> &Seconds) {
  SvgPlot Plot{.Title = "latency of answered requests",
               .XUnit = "s",
               .YUnit = "ms",
               .Lines = {{"p50", "#1f6fb4", {}}, {"p99", "#b4431f", {}}},
               .ShadedRanges = {}};
  for (const LoadSecond &Second : Seconds) {
    Plot.Lines[0].Values.push_back(
        inMilliseconds(Second.Latency.quantile(Median)));
    Plot.Lines[1].Values.push_back(
        inMilliseconds(Second.Latency.quantile(Percentile99)));
  }
  return Plot;
}

SvgPlot targetPlot(const std::vector<LoadSecond> &Seconds) {
  SvgPlot Plot{.Title = "requests by target",
               .XUnit = "s",
               .YUnit = "per second",
               .Lines = {{"replica reads", "#1f9e5a", {}},
                         {"primary reads", "#c99a1c", {}},
                         {"writes", "#1f6fb4", {}},
                         {"failures", "#b4431f", {}}},
               .ShadedRanges = {}};
  for (const LoadSecond &Second : Seconds) {
    Plot.Lines[0].Values.push_back(static_cast<double>(Second.ReplicaReads));
    Plot.Lines[1].Values.push_back(static_cast<double>(Second.PrimaryReads));
    Plot.Lines[2].Values.push_back(static_cast<double>(Second.Writes));
    Plot.Lines[3].Values.push_back(static_cast<double>(Second.Failures));
  }
  return Plot;
}

std::vector<ShadedRange> gapRanges(const LoadRecorder &Recorder) {
  std::vector<ShadedRange> ShadedRanges;
  for (const WriteGap &Gap : Recorder.longestGaps())
    if (Gap.length() >= MinGapShown)
      ShadedRanges.push_back(
          {.Name = "no writes to database " + std::to_string(Gap.Database + 1),
           .From = static_cast<double>(Gap.From.count()) / UsPerS,
           .Until = static_cast<double>(Gap.Until.count()) / UsPerS});
  return ShadedRanges;
}

} // namespace

std::string loadReportJson(const LoadRun &Run, const LoadResult &Result) {
  const LoadRecorder &Recorder = Run.recorder();
  boost::json::object Json;
  Json["plan"] = Run.plan().Name;
  Json["seed"] = Run.plan().Seed;
  Json["answered"] = Recorder.answered();
  Json["replica_read_share"] = Recorder.replicaShare();
  boost::json::object Latencies;
  for (LoadOperation Operation : Operations)
    Latencies[toString(Operation)] = latencyJson(Recorder.latency(Operation));
  Json["latency"] = std::move(Latencies);
  boost::json::object Failures;
  for (const auto &[Kind, Count] : Recorder.failures())
    Failures[Kind] = Count;
  Json["failures"] = std::move(Failures);
  boost::json::array Gaps;
  for (const WriteGap &Gap : Recorder.longestGaps()) {
    boost::json::object Each;
    Each["database"] = Gap.Database + 1;
    Each["from_ms"] = inMilliseconds(Gap.From);
    Each["gap_ms"] = inMilliseconds(Gap.length());
    Gaps.push_back(std::move(Each));
  }
  Json["longest_write_gaps"] = std::move(Gaps);
  Json["bookings_acknowledged"] = Result.Acknowledged;
  Json["final_scan_complete"] = Result.ScanComplete;
  boost::json::array Violations;
  for (const GuaranteeViolation &Each : Result.Violations)
    Violations.push_back(
        {{"promise", Each.Guarantee}, {"details", Each.Details}});
  Json["broken_promises"] = std::move(Violations);
  return boost::json::serialize(Json);
}

std::string loadReportText(const LoadRun &Run, const LoadResult &Result) {
  const LoadRecorder &Recorder = Run.recorder();
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(1);
  Text << Recorder.answered() << " answered; replica read share "
       << Recorder.replicaShare() * 100 << " %\n";
  for (LoadOperation Operation : Operations) {
    const LatencyHistogram &Latency = Recorder.latency(Operation);
    Text << toString(Operation) << ": " << Latency.count() << ", p50 "
         << inMilliseconds(Latency.quantile(Median)) << " ms, p99 "
         << inMilliseconds(Latency.quantile(Percentile99)) << " ms\n";
  }
  for (const auto &[Kind, Count] : Recorder.failures())
    Text << "failures " << Kind << ": " << Count << "\n";
  for (const WriteGap &Gap : Recorder.longestGaps())
    Text << "longest write gap of database " << Gap.Database + 1 << ": "
         << inMilliseconds(Gap.length()) << " ms\n";
  Text << Result.Acknowledged << " bookings acknowledged, final scan "
       << (Result.ScanComplete ? "complete" : "NOT COMPLETE") << "\n";
  for (const GuaranteeViolation &Each : Result.Violations)
    Text << "VIOLATED " << Each.Guarantee << ": " << Each.Details << "\n";
  if (Result.Violations.empty())
    Text << "no guarantee violated\n";
  return Text.str();
}

std::string loadReportHtml(const LoadRun &Run, const LoadResult &Result) {
  const LoadRecorder &Recorder = Run.recorder();
  std::vector<LoadSecond> Seconds = Recorder.seconds();
  SvgPlot Latency = latencyPlot(Seconds);
  SvgPlot Targets = targetPlot(Seconds);
  Latency.ShadedRanges = gapRanges(Recorder);
  Targets.ShadedRanges = Latency.ShadedRanges;
  std::ostringstream Page;
  Page << "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'>"
       << "<title>load run " << escapeHtml(Run.plan().Name)
       << "</title></head><body style='font-family:sans-serif'>\n<h1>Load run "
       << escapeHtml(Run.plan().Name) << "</h1>\n<pre>"
       << escapeHtml(loadReportText(Run, Result)) << "</pre>\n"
       << drawSvg(Latency) << drawSvg(Targets)
       << "<p>Shaded: the longest gap between answered writes.</p>\n"
       << "</body></html>\n";
  return Page.str();
}

} // namespace turmericpitch
