#include "tests/configuration/AcceptanceFixture.h"

namespace turmericpitch {

namespace {

std::size_t payloadBytes(const Outcome<KeyValueAnswer> &Answer) {
  std::size_t Sum = 0;
  if (Answer)
    for (const KeyValueEntry &Entry : Answer.value().Entries)
      Sum += Entry.Key.size() + Entry.Value.size();
  return Sum;
}

} // namespace

Ticket brandTicket(std::uint64_t Number, const std::string &Host,
                   std::size_t Extra) {
  Ticket Created;
  Created.Id = TicketNumber{Number};
  Created.Brands.push_back({.Id = BrandId{"shared"}, .Host = Host});
  for (std::size_t Index = 0; Index < Extra; ++Index) {
    std::string Name = "extra-" + std::to_string(Index);
    Created.Brands.push_back({.Id = BrandId{Name}, .Host = Name + "." + Host});
  }
  return Created;
}

void AcceptanceFixture::submit(const std::string &Name, Ticket Subject,
                               SharedConfiguration Base) {
  Submission &Entry = this->Submissions[Name];
  Entry = {};
  Entry.Subject = Subject;
  Entry.Acceptance.emplace(
      TicketAcceptanceOptions{.Change = std::move(Subject),
                              .Base = std::move(Base),
                              .Seed = std::hash<std::string>{}(Name)});
  this->perform(Name, Entry.Acceptance->begin());
}

void AcceptanceFixture::perform(const std::string &Name,
                                AcceptanceAction Action) {
  Submission &Entry = this->Submissions[Name];
  if (auto *Done = std::get_if<AcceptanceDone>(&Action)) {
    Entry.FinalOutcome = std::move(Done->Accepted);
    return;
  }
  auto Call = std::get<CallPlatform>(std::move(Action));
  ++Entry.Calls;
  Duration RequestDelay =
      Call.Delay + this->OneWayLatency + this->Store.faults().AddedLatency / 2;
  this->Queue.scheduleAfter(
      RequestDelay, [this, Name, Request = std::move(Call.Request)] {
        auto Answer = this->Store.call(Request, this->Queue.now());
        this->Submissions[Name].BytesRead += payloadBytes(Answer);
        Duration ReplyDelay =
            this->OneWayLatency + this->Store.faults().AddedLatency / 2;
        this->Queue.scheduleAfter(
            ReplyDelay, [this, Name, Answer] { this->deliver(Name, Answer); });
      });
}

void AcceptanceFixture::deliver(const std::string &Name,
                                const Outcome<KeyValueAnswer> &Answer) {
  Submission &Entry = this->Submissions[Name];
  if (Entry.Paused) {
    Entry.HeldReplies.push_back(Answer);
    return;
  }
  this->perform(Name, Entry.Acceptance->onAnswer(Answer));
}

void AcceptanceFixture::resume(const std::string &Name) {
  Submission &Entry = this->Submissions[Name];
  Entry.Paused = false;
  auto HeldReplies = std::move(Entry.HeldReplies);
  Entry.HeldReplies.clear();
  for (const auto &Answer : HeldReplies)
    this->deliver(Name, Answer);
}

ConfigurationSnapshot AcceptanceFixture::stored() {
  KeyValueStore Copy = this->Store;
  Copy.faults() = {};
  // Reads at a later time, so that no rate limit applies.
  auto Answer = Copy.call(
      RangeRequest{.Key = std::string(ConfigurationPrefix), .Prefix = true},
      this->Queue.now() + std::chrono::hours(1));
  auto Built = toOutcome([&]() -> Result<ConfigurationSnapshot> {
    BOOST_LEAF_AUTO(Stored, readStoredConfiguration(Answer.value()));
    return ConfigurationSnapshot().withChange(Stored.Change);
  });
  return Built.value();
}

std::vector<TicketHead> AcceptanceFixture::writtenHeads() const {
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
