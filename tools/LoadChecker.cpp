#include "tools/LoadChecker.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr std::size_t MaxReportedViolations = 100;

} // namespace

WriteOutcome toWriteOutcome(const Error &Failure) {
  return provesNotRun(Failure.Kind) ? WriteOutcome::NotRun
                                    : WriteOutcome::Unknown;
}

void LoadChecker::report(std::string Guarantee, std::string Details) {
  if (this->Violations.size() < MaxReportedViolations)
    this->Violations.push_back(
        {.Guarantee = std::move(Guarantee), .Details = std::move(Details)});
}

void LoadChecker::onWrite(const std::string &Key, WriteOutcome Outcome) {
  std::lock_guard Lock(this->Mutex);
  this->Writes[Key] = Outcome;
}

void LoadChecker::onSessionWriteBegun(const std::string &Key) {
  std::lock_guard Lock(this->Mutex);
  ++this->Sessions[Key].PossiblyRun;
}

void LoadChecker::onSessionWriteEnded(const std::string &Key,
                                      WriteOutcome Outcome) {
  std::lock_guard Lock(this->Mutex);
  SessionKey &State = this->Sessions[Key];
  if (Outcome == WriteOutcome::Acknowledged)
    ++State.Acknowledged;
  if (Outcome == WriteOutcome::NotRun)
    --State.PossiblyRun;
}

void LoadChecker::onSessionRead(const std::string &Key, std::uint64_t Value) {
  std::lock_guard Lock(this->Mutex);
  SessionKey &State = this->Sessions[Key];
  std::string Observation = Key + " read as " + std::to_string(Value);
  if (Value < State.Acknowledged)
    this->report("read_your_writes", Observation + " after " +
                                         std::to_string(State.Acknowledged) +
                                         " writes were acknowledged");
  if (Value < State.HighestRead)
    this->report("monotonic_reads", Observation + " after " +
                                        std::to_string(State.HighestRead) +
                                        " was read");
  if (Value > State.PossiblyRun)
    this->report("at_most_once", Observation + ", but at most " +
                                     std::to_string(State.PossiblyRun) +
                                     " writes can have run");
  State.HighestRead = std::max(State.HighestRead, Value);
}

void LoadChecker::onSessionRestarted(const std::string &Key) {
  std::lock_guard Lock(this->Mutex);
  this->Sessions[Key].HighestRead = 0;
}

void LoadChecker::onCatalogueWritten(std::uint64_t Value, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->Catalogue.push_back({.At = Now, .Value = Value});
}

void LoadChecker::onCatalogueRead(std::uint64_t Value, TimePoint SentAt,
                                  Duration MaxAge) {
  std::lock_guard Lock(this->Mutex);
  std::uint64_t MinValue = 0;
  for (const CatalogueWrite &Write : this->Catalogue)
    if (Write.At <= SentAt - MaxAge)
      MinValue = std::max(MinValue, Write.Value);
  if (Value < MinValue)
    this->report("stated_age", "catalogue read as " + std::to_string(Value) +
                                   ", at least " + std::to_string(MinValue) +
                                   " was expected");
}

void LoadChecker::onUnexpectedRow(const std::string &RequestedKey,
                                  const std::string &Row) {
  std::lock_guard Lock(this->Mutex);
  this->report("own_answer",
               "requested " + RequestedKey + ", got '" + Row + "'");
}

void LoadChecker::checkStored(const std::vector<StoredRow> &Rows) {
  std::lock_guard Lock(this->Mutex);
  std::map<std::string, std::string> Stored;
  for (const StoredRow &Row : Rows)
    Stored[Row.Key] = Row.Value;
  for (const auto &[Key, Outcome] : this->Writes) {
    auto Found = Stored.find(Key);
    bool Exists = Found != Stored.end();
    if (Outcome == WriteOutcome::Acknowledged && !Exists)
      this->report("no_lost_work", Key + " was acknowledged but is missing");
    if (Outcome == WriteOutcome::NotRun && Exists)
      this->report("refused_did_not_run", Key + " was refused but is stored");
    if (Exists && Found->second != "1")
      this->report("at_most_once", Key + " ran " + Found->second + " times");
  }
}

std::vector<GuaranteeViolation> LoadChecker::violations() const {
  std::lock_guard Lock(this->Mutex);
  return this->Violations;
}

std::size_t LoadChecker::acknowledged() const {
  std::lock_guard Lock(this->Mutex);
  return static_cast<std::size_t>(
      std::count_if(this->Writes.begin(), this->Writes.end(), [](auto &Each) {
        return Each.second == WriteOutcome::Acknowledged;
      }));
}

} // namespace turmericpitch
