#include "tools/LoadRecorder.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr unsigned LatencyBins = 400;
constexpr double LeastLatencyUs = 10;
constexpr double MostLatencyUs = 60e6;

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
          Axis(LatencyBins, LeastLatencyUs, MostLatencyUs))) {}

void LatencyHistogram::add(Duration Took) {
  this->Histogram(static_cast<double>(Took.count()));
  ++this->Count;
}

Duration LatencyHistogram::quantile(double Share) const {
  if (this->Count == 0)
    return Duration{0};
  double Wanted = Share * static_cast<double>(this->Count);
  double Seen = 0;
  for (auto &&Bin : boost::histogram::indexed(
           this->Histogram, boost::histogram::coverage::all)) {
    Seen += *Bin;
    if (Seen >= Wanted)
      return Duration(static_cast<Duration::rep>(
          std::min(Bin.bin().upper(), MostLatencyUs)));
  }
  return Duration(static_cast<Duration::rep>(MostLatencyUs));
}

void LoadRecorder::add(const LoadSample &Sample) {
  std::lock_guard Lock(this->Guard);
  auto Second =
      std::chrono::duration_cast<std::chrono::seconds>(Sample.Begun).count();
  LoadSecond &Now = this->Seconds[Second];
  if (Sample.Failure) {
    ++Now.Failures;
    ++this->Failures[std::string(turmericpitch::toString(*Sample.Failure))];
    return;
  }
  ++this->Answered;
  Now.Latency.add(Sample.Took);
  this->Latencies[Sample.Operation].add(Sample.Took);
  if (isWrite(Sample.Operation)) {
    ++Now.Writes;
    this->WriteAnswers[Sample.Database].push_back(Sample.Begun + Sample.Took);
    return;
  }
  ++(Sample.ServedByReplica ? Now.ReplicaReads : Now.PrimaryReads);
  ++(Sample.ServedByReplica ? this->ReplicaReads : this->PrimaryReads);
}

std::vector<LoadSecond> LoadRecorder::seconds() const {
  std::lock_guard Lock(this->Guard);
  std::vector<LoadSecond> All;
  for (const auto &[Second, Figures] : this->Seconds) {
    All.resize(static_cast<std::size_t>(Second) + 1);
    All.back() = Figures;
  }
  return All;
}

const LatencyHistogram &LoadRecorder::latency(LoadOperation Operation) const {
  std::lock_guard Lock(this->Guard);
  return this->Latencies[Operation];
}

std::map<std::string, std::uint64_t> LoadRecorder::failures() const {
  std::lock_guard Lock(this->Guard);
  return this->Failures;
}

double LoadRecorder::replicaShare() const {
  std::lock_guard Lock(this->Guard);
  std::uint64_t All = this->ReplicaReads + this->PrimaryReads;
  return All == 0 ? 0
                  : static_cast<double>(this->ReplicaReads) /
                        static_cast<double>(All);
}

std::uint64_t LoadRecorder::answered() const {
  std::lock_guard Lock(this->Guard);
  return this->Answered;
}

std::vector<WriteGap> LoadRecorder::longestGaps() const {
  std::lock_guard Lock(this->Guard);
  std::vector<WriteGap> Gaps;
  for (const auto &[Database, Unsorted] : this->WriteAnswers) {
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
