#include "configuration/TicketAcceptance.h"

#include <algorithm>

namespace turmericpitch {

namespace {

/// Failed calls before giving up.
constexpr std::uint32_t MaximumFailures = 6;
/// Lost races before giving up: each competing ticket costs one.
constexpr std::uint32_t MaximumConflicts = 20;
constexpr Duration FirstPause = std::chrono::milliseconds(50);
constexpr Duration ConflictPause = std::chrono::milliseconds(10);
constexpr Duration GiveUpPause = std::chrono::seconds(5);

/// Writes of one transaction; etcd takes 128 where nothing else is set.
constexpr std::size_t MaximumWrites = 120;
/// A ticket with more objects is stored whole under one key first.
constexpr std::size_t MaximumSingleObjects = 100;
/// Large tickets that may wait to be moved to keys of their own.
constexpr std::size_t MaximumLarge = 4;
/// Largest value of a large ticket, bytes.
constexpr std::size_t MaximumLargeValue = 1'000'000;

std::string numbered(TicketNumber Number) {
  return "ticket " + std::to_string(Number.Value);
}

Error notYet(ErrorKind Kind, std::string Message) {
  return {.Kind = Kind,
          .Message = std::move(Message),
          .Remedy = "submit the same ticket again; it is applied at most once",
          .RetryAfter = GiveUpPause};
}

Error platformRestored() {
  return {.Kind = ErrorKind::Unavailable,
          .Message = "the platform holds an older configuration than the one "
                     "in force here",
          .Remedy = "restore the platform's newest state, then submit the "
                    "ticket again"};
}

/// Moves objects of the oldest large ticket to keys of their own, as far as
/// the transaction has room. Those that a later ticket has set anew are left
/// out; Next includes the ticket that the same transaction writes.
void moveLargeObjects(const ConfigurationSnapshot &Next, TicketHead &Head,
                      std::vector<WriteOperation> &Writes) {
  if (Head.Large.empty())
    return;
  LargeTicket &Oldest = Head.Large.front();
  std::vector<std::pair<std::string, SharedObject>> Left;
  for (SharedObject &Object : Next.objectsSetBy(Oldest.Number)) {
    std::string Path = objectPath(Object->Key);
    if (Path > Oldest.MovedUpTo)
      Left.emplace_back(std::move(Path), std::move(Object));
  }
  std::ranges::sort(Left, {}, [](const auto &Each) { return Each.first; });
  for (const auto &[Path, Object] : Left) {
    // One place is kept for the removal of the whole.
    if (Writes.size() + 1 >= MaximumWrites)
      return;
    Writes.emplace_back(storedObject(Object->Key, recordOf(*Object)));
    Oldest.MovedUpTo = Path;
  }
  Writes.emplace_back(DeleteOperation{largeKey(Oldest.Number)});
  Head.Large.erase(Head.Large.begin());
}

} // namespace

TicketAcceptance::TicketAcceptance(TicketAcceptanceOptions Options)
    : Change(std::move(Options.Change)), Digest(digestOf(this->Change)),
      Base(std::move(Options.Base)), Random(Options.Seed) {
  if (!this->Base)
    this->Base = std::make_shared<ConfigurationSnapshot>();
}

AcceptanceAction TicketAcceptance::begin() { return this->read(Duration{0}); }

AcceptanceAction TicketAcceptance::read(Duration After) {
  this->Current = Step::Reading;
  // The head itself is always in the answer, unless the platform went back.
  RangeRequest Request{.Key = std::string(ConfigurationPrefix),
                       .Prefix = true,
                       .ModifiedSince = this->Base->revision()};
  return CallPlatform{.Request = std::move(Request), .After = After};
}

AcceptanceAction
TicketAcceptance::onAnswer(const Outcome<KeyValueAnswer> &Answer) {
  if (!Answer)
    return this->onFailure(Answer.error());
  if (this->Current == Step::Writing)
    return this->onWritten(Answer.value());
  auto Stored =
      toOutcome([&] { return readStoredConfiguration(Answer.value()); });
  if (!Stored)
    return this->fail(Stored.error());
  if (this->Current == Step::LookingUp)
    return this->settle(Stored.value());
  return this->decide(Stored.value());
}

AcceptanceAction TicketAcceptance::onWritten(const KeyValueAnswer &Answer) {
  if (!Answer.Succeeded) {
    if (++this->Conflicts >= MaximumConflicts)
      return this->fail(
          notYet(ErrorKind::Overloaded, "too many competing tickets"));
    auto Bound = static_cast<std::uint32_t>(ConflictPause.count());
    return this->read(Duration(this->Random.nextBelow(Bound)));
  }
  this->Failures = 0;
  if (this->Written.Newest != this->Change.Id)
    return this->read(Duration{0});
  auto Next = toOutcome([&] { return this->Base->changedBy(this->Change); });
  if (!Next)
    return this->fail(Next.error());
  ConfigurationChange Made = Next.value()
                                 .withHead(this->Written, Answer.StoreRevision)
                                 .changesAfter(this->Base->newestTicket());
  return AcceptanceDone{AcceptedTicket{std::move(Made)}};
}

AcceptanceAction TicketAcceptance::onFailure(const Error &Failure) {
  bool WriteLost = this->Current == Step::Writing &&
                   Failure.Kind == ErrorKind::OutcomeUnknown &&
                   this->Written.Newest == this->Change.Id;
  this->MayHaveWritten = this->MayHaveWritten || WriteLost;
  if (Failure.Kind == ErrorKind::BadRequest)
    return this->fail(Failure);
  if (++this->Failures >= MaximumFailures)
    return this->fail(
        notYet(ErrorKind::Unavailable, "the platform can't be reached"));
  Duration Longest = FirstPause * (1U << this->Failures);
  auto Bound = static_cast<std::uint32_t>(Longest.count() / 2);
  return this->read(Longest / 2 + Duration(this->Random.nextBelow(Bound)));
}

AcceptanceAction TicketAcceptance::fail(Error Failure) const {
  // Superseded and BadRequest are final words about the ticket: they are
  // reached only by reading a head that excludes the write sent before.
  bool Final = Failure.Kind == ErrorKind::Superseded ||
               Failure.Kind == ErrorKind::BadRequest;
  if (this->MayHaveWritten && !Final)
    Failure = notYet(ErrorKind::OutcomeUnknown,
                     "the platform did not say whether the ticket was "
                     "accepted");
  return AcceptanceDone{std::move(Failure)};
}

AcceptanceAction TicketAcceptance::decide(const StoredConfiguration &Stored) {
  const TicketHead &Head = Stored.Change.Head;
  bool WentBack = Head.Newest < this->Base->newestTicket() ||
                  Stored.Change.HeadModified < this->Base->revision();
  if (WentBack)
    return this->fail(platformRestored());
  this->Seen = Stored.Change;
  this->Seen.After = this->Base->newestTicket();
  if (this->Change.Id <= Head.Newest)
    return this->lookUp();
  auto Present = toOutcome([&] { return this->Base->changedBy(this->Seen); });
  if (!Present)
    return this->fail(
        notYet(ErrorKind::Unavailable, "the stored configuration is refused: " +
                                           Present.error().Message));
  this->Base =
      std::make_shared<const ConfigurationSnapshot>(std::move(Present.value()));
  return this->write();
}

AcceptanceAction TicketAcceptance::lookUp() {
  this->Current = Step::LookingUp;
  RangeRequest Request{.Key = std::string(TicketPrefix), .Prefix = true};
  return CallPlatform{.Request = std::move(Request)};
}

AcceptanceAction TicketAcceptance::settle(const StoredConfiguration &Stored) {
  auto Known = Stored.TicketDigests.find(this->Change.Id);
  if (Known != Stored.TicketDigests.end() && Known->second == this->Digest)
    return AcceptanceDone{AcceptedTicket{this->Seen}};
  if (Known != Stored.TicketDigests.end())
    return this->fail({.Kind = ErrorKind::BadRequest,
                       .Message = numbered(this->Change.Id) +
                                  " was accepted with other content",
                       .Remedy = "give the change a new, higher number"});
  bool Forgotten = Stored.TicketDigests.size() >= KeptTickets &&
                   this->Change.Id < Stored.TicketDigests.begin()->first;
  if (Forgotten && this->MayHaveWritten)
    return AcceptanceDone{
        Error{.Kind = ErrorKind::OutcomeUnknown,
              .Message = "too many tickets have been accepted since to tell "
                         "whether this one was",
              .Remedy = "read the present state and submit what is missing "
                        "under a higher number"}};
  return this->fail(
      {.Kind = ErrorKind::Superseded,
       .Message =
           numbered(Stored.TicketDigests.empty()
                        ? this->Change.Id
                        : Stored.TicketDigests.rbegin()->first) +
           " is already accepted; this submission changed nothing" +
           (Forgotten ? " (an acceptance of it long ago is no longer on record)"
                      : ""),
       .Remedy = "read the present state and submit it under a higher number"});
}

AcceptanceAction TicketAcceptance::write() {
  auto Next = toOutcome([&] { return this->Base->changedBy(this->Change); });
  if (!Next)
    return this->fail(Next.error());
  std::vector<SharedObject> Touched = objectsOf(this->Change);
  bool Large = Touched.size() > MaximumSingleObjects;
  TransactionRequest Request;
  TicketHead Head = this->Base->head();
  if (Large && Head.Large.size() >= MaximumLarge) {
    // Room is made first, under the present head's number.
    Request.Writes.emplace_back(storedHead(Head));
    moveLargeObjects(*this->Base, Head, Request.Writes);
    return this->send(std::move(Request), std::move(Head));
  }
  Head.Newest = this->Change.Id;
  Head.Digest = this->Digest;
  ++Head.Accepted;
  Request.Writes.emplace_back(storedHead(Head));
  Request.Writes.emplace_back(storedTicket(Head));
  if (Large) {
    PutOperation Whole = storedLarge(this->Change.Id, Touched);
    if (Whole.Value.size() > MaximumLargeValue)
      return this->fail({.Kind = ErrorKind::BadRequest,
                         .Message = "the ticket's content is larger than 1 MB",
                         .Remedy = "split it into several tickets"});
    Request.Writes.emplace_back(std::move(Whole));
  } else {
    for (const SharedObject &Object : Touched)
      Request.Writes.emplace_back(storedObject(Object->Key, recordOf(*Object)));
  }
  moveLargeObjects(Next.value(), Head, Request.Writes);
  if (Large)
    Head.Large.push_back({.Number = this->Change.Id, .MovedUpTo = ""});
  return this->send(std::move(Request), std::move(Head));
}

AcceptanceAction TicketAcceptance::send(TransactionRequest Request,
                                        TicketHead Next) {
  Request.Compares.push_back(
      {.Key = std::string(HeadKey), .Modified = this->Base->revision()});
  // Moving objects has changed the head since it was put first.
  Request.Writes.front() = storedHead(Next);
  this->Written = std::move(Next);
  this->Current = Step::Writing;
  return CallPlatform{.Request = std::move(Request)};
}

} // namespace turmericpitch
