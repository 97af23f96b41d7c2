#include "tools/LoadChecker.h"

#include <algorithm>

namespace turmericpitch {

namespace {

constexpr std::size_t MaximumReported = 100;

} // namespace

WriteOutcome writeOutcomeOf(const Error &Failure) {
  return provesNotRun(Failure.Kind) ? WriteOutcome::NotRun
                                    : WriteOutcome::Unknown;
}

void LoadChecker::report(std::string Promise, std::string Details) {
  if (this->Broken.size() < MaximumReported)
    this->Broken.push_back(
        {.Promise = std::move(Promise), .Details = std::move(Details)});
}

void LoadChecker::onWrite(const std::string &Key, WriteOutcome Outcome) {
  std::lock_guard Lock(this->Guard);
  this->Writes[Key] = Outcome;
}

void LoadChecker::onSessionWriteBegun(const std::string &Key) {
  std::lock_guard Lock(this->Guard);
  ++this->Sessions[Key].PossiblyRun;
}

void LoadChecker::onSessionWriteEnded(const std::string &Key,
                                      WriteOutcome Outcome) {
  std::lock_guard Lock(this->Guard);
  SessionKey &State = this->Sessions[Key];
  if (Outcome == WriteOutcome::Acknowledged)
    ++State.Acknowledged;
  if (Outcome == WriteOutcome::NotRun)
    --State.PossiblyRun;
}

void LoadChecker::onSessionRead(const std::string &Key, std::uint64_t Value) {
  std::lock_guard Lock(this->Guard);
  SessionKey &State = this->Sessions[Key];
  std::string Seen = Key + " read as " + std::to_string(Value);
  if (Value < State.Acknowledged)
    this->report("read_your_writes", Seen + " after " +
                                         std::to_string(State.Acknowledged) +
                                         " writes were acknowledged");
  if (Value < State.HighestRead)
    this->report("monotonic_reads", Seen + " after " +
                                        std::to_string(State.HighestRead) +
                                        " was read");
  if (Value > State.PossiblyRun)
    this->report("at_most_once", Seen + ", but at most " +
                                     std::to_string(State.PossiblyRun) +
                                     " writes can have run");
  State.HighestRead = std::max(State.HighestRead, Value);
}

void LoadChecker::onSessionRestarted(const std::string &Key) {
  std::lock_guard Lock(this->Guard);
  this->Sessions[Key].HighestRead = 0;
}

void LoadChecker::onCatalogueWritten(std::uint64_t Value, TimePoint Now) {
  std::lock_guard Lock(this->Guard);
  this->Catalogue.push_back({.At = Now, .Value = Value});
}

void LoadChecker::onCatalogueRead(std::uint64_t Value, TimePoint Begun,
                                  Duration MaximumAge) {
  std::lock_guard Lock(this->Guard);
  std::uint64_t Least = 0;
  for (const CatalogueWrite &Write : this->Catalogue)
    if (Write.At <= Begun - MaximumAge)
      Least = std::max(Least, Write.Value);
  if (Value < Least)
    this->report("stated_age", "catalogue read as " + std::to_string(Value) +
                                   ", at least " + std::to_string(Least) +
                                   " was due");
}

void LoadChecker::onForeignRow(const std::string &Asked,
                               const std::string &Row) {
  std::lock_guard Lock(this->Guard);
  this->report("own_answer", "asked for " + Asked + ", got '" + Row + "'");
}

void LoadChecker::checkStored(const std::vector<StoredRow> &Rows) {
  std::lock_guard Lock(this->Guard);
  std::map<std::string, std::string> Stored;
  for (const StoredRow &Row : Rows)
    Stored[Row.Key] = Row.Value;
  for (const auto &[Key, Outcome] : this->Writes) {
    auto Found = Stored.find(Key);
    bool Present = Found != Stored.end();
    if (Outcome == WriteOutcome::Acknowledged && !Present)
      this->report("no_lost_work", Key + " was acknowledged and is missing");
    if (Outcome == WriteOutcome::NotRun && Present)
      this->report("refused_did_not_run", Key + " was refused and is there");
    if (Present && Found->second != "1")
      this->report("at_most_once", Key + " ran " + Found->second + " times");
  }
}

std::vector<BrokenPromise> LoadChecker::broken() const {
  std::lock_guard Lock(this->Guard);
  return this->Broken;
}

std::size_t LoadChecker::acknowledged() const {
  std::lock_guard Lock(this->Guard);
  return static_cast<std::size_t>(
      std::count_if(this->Writes.begin(), this->Writes.end(), [](auto &Each) {
        return Each.second == WriteOutcome::Acknowledged;
      }));
}

} // namespace turmericpitch
