#include "configuration/TicketAcceptance.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Failed platform calls before the ticket fails; a successful write resets the
/// count.
constexpr std::uint32_t MaximumFailures = 6;
/// Lost compare-and-swaps before the ticket fails. Each competing ticket that
/// is accepted first causes one.
constexpr std::uint32_t MaximumConflicts = 20;
constexpr Duration InitialBackoff = std::chrono::milliseconds(50);
constexpr Duration MaximumConflictBackoff = std::chrono::milliseconds(10);
constexpr Duration RetryAfterFailure = std::chrono::seconds(5);

/// Write operations in one transaction; the default limit of etcd is 128.
constexpr std::size_t MaximumWritesPerTransaction = 120;
/// A ticket with more objects is first stored under one key.
constexpr std::size_t LargeTicketThreshold = 100;
/// Large tickets whose objects may still have to be moved to their own keys.
constexpr std::size_t MaximumLargeTickets = 4;
/// Largest stored value of a large ticket, in bytes.
constexpr std::size_t MaximumLargeTicketBytes = 1'000'000;

std::string ticketName(TicketNumber Number) {
  return "ticket " + std::to_string(Number.Value);
}

Error retryableError(ErrorKind Kind, std::string Message) {
  return {.Kind = Kind,
          .Message = std::move(Message),
          .Remedy = "submit the same ticket again; it is applied at most once",
          .RetryAfter = RetryAfterFailure};
}

Error platformRolledBackError() {
  return {
      .Kind = ErrorKind::Unavailable,
      .Message =
          "the platform holds an older configuration than the one active here",
      .Remedy = "restore the newest state of the platform, then submit the "
                "ticket again"};
}

/// Adds writes that move objects of the oldest large ticket to their own keys,
/// up to the limit of the transaction. Objects that a newer ticket has set are
/// skipped; Next includes the ticket that the same transaction writes.
void moveOldestLargeTicket(const ConfigurationSnapshot &Next, TicketHead &Head,
                           std::vector<WriteOperation> &Writes) {
  if (Head.LargeTickets.empty())
    return;
  LargeTicket &Oldest = Head.LargeTickets.front();
  std::vector<std::pair<std::string, SharedObject>> Remaining;
  for (SharedObject &Object : Next.objectsLastSetBy(Oldest.Number)) {
    std::string Path = objectPath(Object->Key);
    if (Path > Oldest.LastMovedPath)
      Remaining.emplace_back(std::move(Path), std::move(Object));
  }
  std::ranges::sort(Remaining, {}, [](const auto &Each) { return Each.first; });
  for (const auto &[Path, Object] : Remaining) {
    // One write is reserved for deleting the large ticket.
    if (Writes.size() + 1 >= MaximumWritesPerTransaction)
      return;
    Writes.emplace_back(putObject(Object->Key, recordOf(*Object)));
    Oldest.LastMovedPath = Path;
  }
  Writes.emplace_back(DeleteOperation{largeTicketKey(Oldest.Number)});
  Head.LargeTickets.erase(Head.LargeTickets.begin());
}

} // namespace

TicketAcceptance::TicketAcceptance(TicketAcceptanceOptions Options)
    : Change(std::move(Options.Change)), Digest(digestOf(this->Change)),
      Base(std::move(Options.Base)), Random(Options.Seed) {
  if (!this->Base)
    this->Base = std::make_shared<ConfigurationSnapshot>();
}

AcceptanceAction TicketAcceptance::begin() { return this->read(Duration{0}); }

AcceptanceAction TicketAcceptance::read(Duration Delay) {
  this->CurrentStep = Step::Reading;
  // The base revision is included, so the reply contains the head unless the
  // platform was rolled back.
  RangeRequest Request{.Key = std::string(ConfigurationPrefix),
                       .Prefix = true,
                       .ModifiedSince = this->Base->revision()};
  return CallPlatform{.Request = std::move(Request), .Delay = Delay};
}

AcceptanceAction
TicketAcceptance::onAnswer(const Outcome<KeyValueAnswer> &Answer) {
  if (!Answer)
    return this->onCallFailure(Answer.error());
  if (this->CurrentStep == Step::Writing)
    return this->onWriteReply(Answer.value());
  auto Stored =
      toOutcome([&] { return readStoredConfiguration(Answer.value()); });
  if (!Stored)
    return this->fail(Stored.error());
  if (this->CurrentStep == Step::ReadingDigests)
    return this->decideByDigest(Stored.value());
  return this->onConfigurationRead(Stored.value());
}

AcceptanceAction TicketAcceptance::onWriteReply(const KeyValueAnswer &Answer) {
  if (!Answer.Succeeded) {
    if (++this->Conflicts >= MaximumConflicts)
      return this->fail(
          retryableError(ErrorKind::Overloaded, "too many competing tickets"));
    auto Bound = static_cast<std::uint32_t>(MaximumConflictBackoff.count());
    return this->read(Duration(this->Random.nextBelow(Bound)));
  }
  this->Failures = 0;
  if (this->PendingHead.Newest != this->Change.Id)
    return this->read(Duration{0});
  auto Next = toOutcome([&] { return this->Base->withChange(this->Change); });
  if (!Next)
    return this->fail(Next.error());
  ConfigurationChange Applied =
      Next.value()
          .withHead(this->PendingHead, Answer.StoreRevision)
          .changesAfter(this->Base->newestTicket());
  return AcceptanceDone{AcceptedTicket{std::move(Applied)}};
}

AcceptanceAction TicketAcceptance::onCallFailure(const Error &Failure) {
  bool WriteOutcomeLost = this->CurrentStep == Step::Writing &&
                          Failure.Kind == ErrorKind::OutcomeUnknown &&
                          this->PendingHead.Newest == this->Change.Id;
  this->MayHaveWritten = this->MayHaveWritten || WriteOutcomeLost;
  if (Failure.Kind == ErrorKind::BadRequest)
    return this->fail(Failure);
  if (++this->Failures >= MaximumFailures)
    return this->fail(retryableError(ErrorKind::Unavailable,
                                     "the platform cannot be reached"));
  Duration MaximumPause = InitialBackoff * (1U << this->Failures);
  auto Bound = static_cast<std::uint32_t>(MaximumPause.count() / 2);
  return this->read(MaximumPause / 2 + Duration(this->Random.nextBelow(Bound)));
}

AcceptanceAction TicketAcceptance::fail(Error Failure) const {
  // Superseded and BadRequest are definite even after a lost reply: they follow
  // only from reading a head that excludes the earlier write.
  bool Final = Failure.Kind == ErrorKind::Superseded ||
               Failure.Kind == ErrorKind::BadRequest;
  if (this->MayHaveWritten && !Final)
    Failure = retryableError(
        ErrorKind::OutcomeUnknown,
        "the reply to the write was lost and its outcome could not be read");
  return AcceptanceDone{std::move(Failure)};
}

AcceptanceAction
TicketAcceptance::onConfigurationRead(const StoredConfiguration &Stored) {
  const TicketHead &Head = Stored.Change.Head;
  bool RolledBack = Head.Newest < this->Base->newestTicket() ||
                    Stored.Change.HeadRevision < this->Base->revision();
  if (RolledBack)
    return this->fail(platformRolledBackError());
  this->LastRead = Stored.Change;
  this->LastRead.After = this->Base->newestTicket();
  if (this->Change.Id <= Head.Newest)
    return this->readTicketDigests();
  auto Updated =
      toOutcome([&] { return this->Base->withChange(this->LastRead); });
  if (!Updated)
    return this->fail(retryableError(ErrorKind::Unavailable,
                                     "the stored configuration is invalid: " +
                                         Updated.error().Message));
  this->Base =
      std::make_shared<const ConfigurationSnapshot>(std::move(Updated.value()));
  return this->write();
}

AcceptanceAction TicketAcceptance::readTicketDigests() {
  this->CurrentStep = Step::ReadingDigests;
  RangeRequest Request{.Key = std::string(TicketPrefix), .Prefix = true};
  return CallPlatform{.Request = std::move(Request)};
}

AcceptanceAction
TicketAcceptance::decideByDigest(const StoredConfiguration &Stored) {
  auto Recorded = Stored.TicketDigests.find(this->Change.Id);
  if (Recorded != Stored.TicketDigests.end() &&
      Recorded->second == this->Digest)
    return AcceptanceDone{AcceptedTicket{this->LastRead}};
  if (Recorded != Stored.TicketDigests.end())
    return this->fail({.Kind = ErrorKind::BadRequest,
                       .Message = ticketName(this->Change.Id) +
                                  " was accepted with different content",
                       .Remedy = "give the change a new, higher number"});
  bool DigestExpired = Stored.TicketDigests.size() >= RetainedTickets &&
                       this->Change.Id < Stored.TicketDigests.begin()->first;
  if (DigestExpired && this->MayHaveWritten)
    return AcceptanceDone{
        Error{.Kind = ErrorKind::OutcomeUnknown,
              .Message = "too many tickets have been accepted since to tell "
                         "whether this one was accepted",
              .Remedy = "read the current state and submit what is missing "
                        "under a higher number"}};
  return this->fail(
      {.Kind = ErrorKind::Superseded,
       .Message = ticketName(Stored.TicketDigests.empty()
                                 ? this->Change.Id
                                 : Stored.TicketDigests.rbegin()->first) +
                  " is already accepted; this submission changed nothing" +
                  (DigestExpired
                       ? " (if it was accepted earlier, its record has expired)"
                       : ""),
       .Remedy = "read the current state and submit the change under a higher "
                 "number"});
}

AcceptanceAction TicketAcceptance::write() {
  auto Next = toOutcome([&] { return this->Base->withChange(this->Change); });
  if (!Next)
    return this->fail(Next.error());
  std::vector<SharedObject> Objects = objectsOf(this->Change);
  bool Large = Objects.size() > LargeTicketThreshold;
  TransactionRequest Request;
  TicketHead Head = this->Base->head();
  if (Large && Head.LargeTickets.size() >= MaximumLargeTickets) {
    // Too many large tickets are pending: first move objects of the oldest one,
    // without changing the ticket number of the head.
    Request.Writes.emplace_back(putHead(Head));
    moveOldestLargeTicket(*this->Base, Head, Request.Writes);
    return this->send(std::move(Request), std::move(Head));
  }
  Head.Newest = this->Change.Id;
  Head.Digest = this->Digest;
  ++Head.AcceptedCount;
  Request.Writes.emplace_back(putHead(Head));
  Request.Writes.emplace_back(putTicketDigest(Head));
  if (Large) {
    PutOperation LargeTicketValue = putLargeTicket(this->Change.Id, Objects);
    if (LargeTicketValue.Value.size() > MaximumLargeTicketBytes)
      return this->fail({.Kind = ErrorKind::BadRequest,
                         .Message = "the ticket's content is larger than 1 MB",
                         .Remedy = "split it into several tickets"});
    Request.Writes.emplace_back(std::move(LargeTicketValue));
  } else {
    for (const SharedObject &Object : Objects)
      Request.Writes.emplace_back(putObject(Object->Key, recordOf(*Object)));
  }
  moveOldestLargeTicket(Next.value(), Head, Request.Writes);
  if (Large)
    Head.LargeTickets.push_back(
        {.Number = this->Change.Id, .LastMovedPath = ""});
  return this->send(std::move(Request), std::move(Head));
}

AcceptanceAction TicketAcceptance::send(TransactionRequest Request,
                                        TicketHead Next) {
  Request.Compares.push_back(
      {.Key = std::string(HeadKey), .Modified = this->Base->revision()});
  // Moving objects changed the head after its write was added.
  Request.Writes.front() = putHead(Next);
  this->PendingHead = std::move(Next);
  this->CurrentStep = Step::Writing;
  return CallPlatform{.Request = std::move(Request)};
}

} // namespace turmericpitch
