#include "tests/configuration/AcceptanceFixture.h"

namespace turmericpitch {

namespace {

std::size_t bytesOf(const Outcome<KeyValueAnswer> &Answer) {
  std::size_t Sum = 0;
  if (Answer)
    for (const KeyValueEntry &Entry : Answer.value().Entries)
      Sum += Entry.Key.size() + Entry.Value.size();
  return Sum;
}

} // namespace

Ticket brandTicket(std::uint64_t Number, const std::string &Host,
                   std::size_t Extra) {
  Ticket Made;
  Made.Id = TicketNumber{Number};
  Made.Brands.push_back({.Id = BrandId{"shared"}, .Host = Host});
  for (std::size_t Index = 0; Index < Extra; ++Index) {
    std::string Name = "extra-" + std::to_string(Index);
    Made.Brands.push_back({.Id = BrandId{Name}, .Host = Name + "." + Host});
  }
  return Made;
}

void AcceptanceFixture::submit(const std::string &Name, Ticket Subject,
                               SharedConfiguration Base) {
  Submission &Mine = this->Submissions[Name];
  Mine = {};
  Mine.Subject = Subject;
  Mine.Acceptance.emplace(
      TicketAcceptanceOptions{.Change = std::move(Subject),
                              .Base = std::move(Base),
                              .Seed = std::hash<std::string>{}(Name)});
  this->perform(Name, Mine.Acceptance->begin());
}

void AcceptanceFixture::perform(const std::string &Name,
                                AcceptanceAction Action) {
  Submission &Mine = this->Submissions[Name];
  if (auto *Done = std::get_if<AcceptanceDone>(&Action)) {
    Mine.End = std::move(Done->Accepted);
    return;
  }
  auto Call = std::get<CallPlatform>(std::move(Action));
  ++Mine.Calls;
  Duration There =
      Call.After + this->OneWay + this->Store.faults().Slowness / 2;
  this->Queue.scheduleAfter(
      There, [this, Name, Request = std::move(Call.Request)] {
        auto Answer = this->Store.call(Request, this->Queue.now());
        this->Submissions[Name].BytesRead += bytesOf(Answer);
        Duration Back = this->OneWay + this->Store.faults().Slowness / 2;
        this->Queue.scheduleAfter(
            Back, [this, Name, Answer] { this->deliver(Name, Answer); });
      });
}

void AcceptanceFixture::deliver(const std::string &Name,
                                const Outcome<KeyValueAnswer> &Answer) {
  Submission &Mine = this->Submissions[Name];
  if (Mine.Paused) {
    Mine.Held.push_back(Answer);
    return;
  }
  this->perform(Name, Mine.Acceptance->onAnswer(Answer));
}

void AcceptanceFixture::resume(const std::string &Name) {
  Submission &Mine = this->Submissions[Name];
  Mine.Paused = false;
  auto Held = std::move(Mine.Held);
  Mine.Held.clear();
  for (const auto &Answer : Held)
    this->deliver(Name, Answer);
}

ConfigurationSnapshot AcceptanceFixture::stored() {
  KeyValueStore Copy = this->Store;
  Copy.faults() = {};
  // A later second, so that no rate limit applies.
  auto Answer = Copy.call(
      RangeRequest{.Key = std::string(ConfigurationPrefix), .Prefix = true},
      this->Queue.now() + std::chrono::hours(1));
  auto Built = toOutcome([&]() -> Result<ConfigurationSnapshot> {
    BOOST_LEAF_AUTO(Stored, readStoredConfiguration(Answer.value()));
    return ConfigurationSnapshot().changedBy(Stored.Change);
  });
  return Built.value();
}

std::vector<TicketHead> AcceptanceFixture::heads() const {
  std::vector<TicketHead> Heads;
  for (const WatchBatch &Batch :
       this->Store.eventsAfter(std::string(HeadKey), Revision{})) {
    KeyValueAnswer Answer;
    Answer.Entries.push_back(Batch.Events.front().Entry);
    auto Stored = toOutcome([&] { return readStoredConfiguration(Answer); });
    Heads.push_back(Stored.value().Change.Head);
  }
  return Heads;
}

} // namespace turmericpitch
