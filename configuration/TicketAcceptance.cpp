#include "configuration/TicketAcceptance.h"

#include <boost/json.hpp>
#include <charconv>
#include <cstdio>

namespace turmericpitch {

namespace {

/// Tries before giving up: each competing ticket costs one.
constexpr std::uint32_t MaximumAttempts = 20;
constexpr std::size_t TicketDigits = 20;

std::string ticketKey(TicketNumber Id) {
  std::string Digits = std::to_string(Id.Value);
  return std::string(TicketPrefix) +
         std::string(TicketDigits - Digits.size(), '0') + Digits;
}

std::string objectKeyText(const ObjectKey &Key) {
  return std::string(ObjectPrefix) + std::string(toString(Key.Kind)) + "/" +
         Key.Id;
}

Error unreadable(const std::string &Key) {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "unreadable value in the platform at " + Key,
          .Remedy = "restore the key from the ticket that last set it"};
}

Result<TicketHead> readHead(const KeyValueEntry &Entry) {
  boost::json::error_code Failure;
  boost::json::value Json = boost::json::parse(Entry.Value, Failure);
  const boost::json::object *Object = Json.if_object();
  if (Failure || !Object || !Object->contains("ticket") ||
      !Object->contains("digest") || !Object->at("ticket").is_int64() ||
      !Object->at("digest").is_string())
    return boost::leaf::new_error(unreadable(Entry.Key));
  return TicketHead{.Newest = TicketNumber{static_cast<std::uint64_t>(
                        Object->at("ticket").as_int64())},
                    .Digest = std::string(Object->at("digest").as_string())};
}

PutOperation storedHead(const TicketHead &Head) {
  boost::json::object Json;
  Json["ticket"] = Head.Newest.Value;
  Json["digest"] = Head.Digest;
  return {.Key = std::string(HeadKey),
          .Value = boost::json::serialize(Json),
          .Lease = {}};
}

Result<void> readObject(const KeyValueEntry &Entry,
                        std::map<ObjectKey, ObjectRecord> &Records) {
  std::string_view Rest = std::string_view(Entry.Key);
  Rest.remove_prefix(ObjectPrefix.size());
  std::size_t Slash = Rest.find('/');
  std::size_t LineEnd = Entry.Value.find('\n');
  if (Slash == std::string_view::npos || LineEnd == std::string::npos)
    return boost::leaf::new_error(unreadable(Entry.Key));
  auto Kind = objectKindFromString(Rest.substr(0, Slash));
  std::uint64_t SetBy = 0;
  auto [Stop, Problem] =
      std::from_chars(Entry.Value.data(), Entry.Value.data() + LineEnd, SetBy);
  if (!Kind || Problem != std::errc{})
    return boost::leaf::new_error(unreadable(Entry.Key));
  ObjectKey Key{.Kind = *Kind, .Id = std::string(Rest.substr(Slash + 1))};
  Records[Key] = {.SetBy = TicketNumber{SetBy},
                  .Json = Entry.Value.substr(LineEnd + 1)};
  return {};
}

Error rejected(ErrorKind Kind, std::string Message, std::string Remedy) {
  return {
      .Kind = Kind, .Message = std::move(Message), .Remedy = std::move(Remedy)};
}

} // namespace

PutOperation storedObject(const ObjectKey &Key, const ObjectRecord &Record) {
  return {.Key = objectKeyText(Key),
          .Value = std::to_string(Record.SetBy.Value) + "\n" + Record.Json,
          .Lease = {}};
}

Result<StoredConfiguration>
readStoredConfiguration(const KeyValueAnswer &Answer) {
  StoredConfiguration Stored;
  Stored.AsOf = Answer.AsOf;
  for (const KeyValueEntry &Entry : Answer.Entries) {
    if (Entry.Key == HeadKey) {
      BOOST_LEAF_ASSIGN(Stored.Head, readHead(Entry));
      Stored.HeadModified = Entry.Modified;
    } else if (Entry.Key.starts_with(ObjectPrefix)) {
      BOOST_LEAF_CHECK(readObject(Entry, Stored.Records));
    } else if (Entry.Key.starts_with(TicketPrefix)) {
      std::uint64_t Id = 0;
      const char *End = Entry.Key.data() + Entry.Key.size();
      std::from_chars(Entry.Key.data() + TicketPrefix.size(), End, Id);
      Stored.TicketDigests[TicketNumber{Id}] = Entry.Value;
    }
  }
  return Stored;
}

TicketAcceptance::TicketAcceptance(Ticket Change)
    : Change(std::move(Change)), Digest(digestOf(this->Change)) {}

AcceptanceAction TicketAcceptance::begin() {
  this->Current = Step::Reading;
  ++this->Attempts;
  return CallPlatform{
      RangeRequest{.Key = std::string(ConfigurationPrefix), .Prefix = true}};
}

AcceptanceAction
TicketAcceptance::onAnswer(const Outcome<KeyValueAnswer> &Answer) {
  if (!Answer)
    return this->onFailure(Answer.error());
  if (this->Current == Step::Writing) {
    if (Answer.value().Succeeded)
      return AcceptanceDone{Answer.value().AsOf};
    return this->begin();
  }
  auto Stored =
      keepOutcome([&] { return readStoredConfiguration(Answer.value()); });
  if (!Stored)
    return AcceptanceDone{Stored.error()};
  return this->decide(Stored.value());
}

AcceptanceAction TicketAcceptance::onFailure(const Error &Failure) {
  bool WriteLost = this->Current == Step::Writing &&
                   Failure.Kind == ErrorKind::OutcomeUnknown;
  this->MayHaveWritten = this->MayHaveWritten || WriteLost;
  if (this->Attempts < MaximumAttempts)
    return this->begin();
  if (this->MayHaveWritten)
    return AcceptanceDone{
        rejected(ErrorKind::OutcomeUnknown,
                 "the platform did not say whether the ticket was accepted",
                 "submit the same ticket again; it is applied at most once")};
  return AcceptanceDone{rejected(ErrorKind::NotRun,
                                 "the platform can't be reached",
                                 "submit the same ticket again later")};
}

AcceptanceAction TicketAcceptance::decide(const StoredConfiguration &Stored) {
  auto Known = Stored.TicketDigests.find(this->Change.Id);
  if (Known != Stored.TicketDigests.end()) {
    if (Known->second == this->Digest)
      return AcceptanceDone{Stored.AsOf};
    return AcceptanceDone{rejected(ErrorKind::BadRequest,
                                   "ticket " +
                                       std::to_string(this->Change.Id.Value) +
                                       " was accepted with other content",
                                   "give the change a new, higher number")};
  }
  if (this->Change.Id <= Stored.Head.Newest)
    return AcceptanceDone{
        rejected(ErrorKind::Superseded,
                 "ticket " + std::to_string(Stored.Head.Newest.Value) +
                     " is already accepted",
                 "read the present state and submit it under a higher number")};
  if (this->Attempts > MaximumAttempts)
    return AcceptanceDone{rejected(ErrorKind::NotRun,
                                   "too many competing tickets",
                                   "submit the same ticket again")};
  return this->write(Stored);
}

AcceptanceAction TicketAcceptance::write(const StoredConfiguration &Stored) {
  std::map<ObjectKey, ObjectRecord> Records =
      applyTicket(this->Change, Stored.Records);
  auto Checked = keepOutcome([&] {
    return ConfigurationSnapshot::build(Stored.AsOf, this->Change.Id, Records);
  });
  if (!Checked)
    return AcceptanceDone{Checked.error()};
  TransactionRequest Request;
  Request.Compares.push_back(
      {.Key = std::string(HeadKey), .Modified = Stored.HeadModified});
  Request.Writes.emplace_back(
      storedHead({.Newest = this->Change.Id, .Digest = this->Digest}));
  Request.Writes.emplace_back(PutOperation{
      .Key = ticketKey(this->Change.Id), .Value = this->Digest, .Lease = {}});
  for (const auto &[Key, Record] : Records)
    if (Record.SetBy == this->Change.Id)
      Request.Writes.emplace_back(storedObject(Key, Record));
  this->Current = Step::Writing;
  return CallPlatform{std::move(Request)};
}

} // namespace turmericpitch
