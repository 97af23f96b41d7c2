#include "tools/LoadRecorder.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr unsigned LatencyBins = 400;
constexpr double MinLatencyUs = 10;
constexpr double MaxLatencyUs = 60e6;

bool isWrite(LoadOperation Operation) {
  return Operation == LoadOperation::Booking ||
         Operation == LoadOperation::Dispatch;
}

} // namespace

std::string_view toString(LoadOperation Operation) {
  switch (Operation) {
  case LoadOperation::Booking:
    return "booking";
  case LoadOperation::Dispatch:
    return "dispatch";
  case LoadOperation::SessionRead:
    return "session_read";
  case LoadOperation::CatalogueRead:
    break;
  }
  return "catalogue_read";
}

LatencyHistogram::LatencyHistogram()
    : Histogram(boost::histogram::make_histogram(
          Axis(LatencyBins, MinLatencyUs, MaxLatencyUs))) {}

void LatencyHistogram::add(Duration Latency) {
  this->Histogram(static_cast<double>(Latency.count()));
  ++this->Count;
}

Duration LatencyHistogram::quantile(double Share) const {
  if (this->Count == 0)
    return Duration{0};
  double TargetCount = Share * static_cast<double>(this->Count);
  double Cumulative = 0;
  for (auto &&Bin : boost::histogram::indexed(
           this->Histogram, boost::histogram::coverage::all)) {
    Cumulative += *Bin;
    if (Cumulative >= TargetCount)
      return Duration(static_cast<Duration::rep>(
          std::min(Bin.bin().upper(), MaxLatencyUs)));
  }
  return Duration(static_cast<Duration::rep>(MaxLatencyUs));
}

void LoadRecorder::add(const LoadSample &Sample) {
  std::lock_guard Lock(this->Mutex);
  auto Second =
      std::chrono::duration_cast<std::chrono::seconds>(Sample.SentAt).count();
  LoadSecond &CurrentSecond = this->Seconds[Second];
  if (Sample.Failure) {
    ++CurrentSecond.Failures;
    ++this->Failures[std::string(turmericpitch::toString(*Sample.Failure))];
    return;
  }
  ++this->Answered;
  CurrentSecond.Latency.add(Sample.Latency);
  this->Latencies[Sample.Operation].add(Sample.Latency);
  if (isWrite(Sample.Operation)) {
    ++CurrentSecond.Writes;
    this->WriteCompletions[Sample.Database].push_back(Sample.SentAt +
                                                      Sample.Latency);
    return;
  }
  ++(Sample.ServedByReplica ? CurrentSecond.ReplicaReads
                            : CurrentSecond.PrimaryReads);
  ++(Sample.ServedByReplica ? this->ReplicaReads : this->PrimaryReads);
}

std::vector<LoadSecond> LoadRecorder::seconds() const {
  std::lock_guard Lock(this->Mutex);
  std::vector<LoadSecond> All;
  for (const auto &[Second, Figures] : this->Seconds) {
    All.resize(static_cast<std::size_t>(Second) + 1);
    All.back() = Figures;
  }
  return All;
}

const LatencyHistogram &LoadRecorder::latency(LoadOperation Operation) const {
  std::lock_guard Lock(this->Mutex);
  return this->Latencies[Operation];
}

std::map<std::string, std::uint64_t> LoadRecorder::failures() const {
  std::lock_guard Lock(this->Mutex);
  return this->Failures;
}

double LoadRecorder::replicaShare() const {
  std::lock_guard Lock(this->Mutex);
  std::uint64_t All = this->ReplicaReads + this->PrimaryReads;
  return All == 0 ? 0
                  : static_cast<double>(this->ReplicaReads) /
                        static_cast<double>(All);
}

std::uint64_t LoadRecorder::answered() const {
  std::lock_guard Lock(this->Mutex);
  return this->Answered;
}

std::vector<WriteGap> LoadRecorder::longestGaps() const {
  std::lock_guard Lock(this->Mutex);
  std::vector<WriteGap> Gaps;
  for (const auto &[Database, Unsorted] : this->WriteCompletions) {
    std::vector<Duration> Answers = Unsorted;
    std::sort(Answers.begin(), Answers.end());
    WriteGap Longest{.Database = Database};
    for (std::size_t Index = 1; Index < Answers.size(); ++Index) {
      WriteGap Gap{.Database = Database,
                   .From = Answers[Index - 1],
                   .Until = Answers[Index]};
      if (Gap.length() > Longest.length())
        Longest = Gap;
    }
    Gaps.push_back(Longest);
  }
  std::sort(Gaps.begin(), Gaps.end(), [](const auto &L, const auto &R) {
    return L.length() > R.length();
  });
  return Gaps;
}

} // namespace turmericpitch
