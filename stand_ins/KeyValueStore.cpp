#include "stand_ins/KeyValueStore.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace turmericpitch {

namespace {

Error makeError(ErrorKind Kind, std::string Message) {
  return {
      .Kind = Kind, .Message = std::move(Message), .Remedy = "try again later"};
}

bool isWrite(const KeyValueRequest &Request) {
  return !std::holds_alternative<RangeRequest>(Request);
}

bool tooLarge(const KeyValueRequest &Request, std::size_t Maximum) {
  const auto *Transaction = std::get_if<TransactionRequest>(&Request);
  if (!Transaction)
    return false;
  return std::any_of(Transaction->Writes.begin(), Transaction->Writes.end(),
                     [&](const WriteOperation &Write) {
                       const auto *Put = std::get_if<PutOperation>(&Write);
                       return Put && Put->Value.size() > Maximum;
                     });
}

bool tooManyOperations(const KeyValueRequest &Request, std::size_t Maximum) {
  const auto *Transaction = std::get_if<TransactionRequest>(&Request);
  return Transaction && std::max(Transaction->Compares.size(),
                                 Transaction->Writes.size()) > Maximum;
}

/// Whether a transaction writes a key more than once. etcd rejects these.
bool writesKeyTwice(const KeyValueRequest &Request) {
  const auto *Transaction = std::get_if<TransactionRequest>(&Request);
  if (!Transaction)
    return false;
  std::set<std::string_view> Keys;
  for (const WriteOperation &Write : Transaction->Writes) {
    std::string_view Key = std::visit(
        [](const auto &Each) { return std::string_view(Each.Key); }, Write);
    if (!Keys.insert(Key).second)
      return true;
  }
  return false;
}

} // namespace

bool KeyValueStore::admit(RateWindow &Window, std::uint32_t PerSecond,
                          TimePoint Now) {
  auto Second =
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
          .count();
  if (Window.Second != Second)
    Window = {.Second = Second, .Used = 0};
  if (Window.Used >= PerSecond) {
    ++this->Counters.Refused;
    return false;
  }
  ++Window.Used;
  return true;
}

Outcome<KeyValueAnswer> KeyValueStore::call(const KeyValueRequest &Request,
                                            TimePoint Now) {
  if (this->Faults.Outage) {
    ++this->Counters.Refused;
    return makeError(ErrorKind::Unavailable, "platform outage");
  }
  bool Write = isWrite(Request);
  bool Admitted =
      Write ? this->admit(this->WriteWindow, this->Limits.WritesPerSecond, Now)
            : this->admit(this->ReadWindow, this->Limits.ReadsPerSecond, Now);
  if (!Admitted)
    return makeError(ErrorKind::Unavailable, "platform call rate exceeded");
  ++(Write ? this->Counters.Writes : this->Counters.Reads);
  if (tooLarge(Request, this->Limits.MaxValueSize))
    return makeError(ErrorKind::BadRequest, "value larger than the limit");
  if (tooManyOperations(Request, this->Limits.MaxOperations))
    return makeError(ErrorKind::BadRequest,
                     "too many operations in transaction");
  if (writesKeyTwice(Request))
    return makeError(ErrorKind::BadRequest, "duplicate key in transaction");
  this->expireLeases(Now);
  KeyValueAnswer Answer;
  if (const auto *Range = std::get_if<RangeRequest>(&Request))
    Answer = this->range(*Range);
  else if (const auto *Change = std::get_if<TransactionRequest>(&Request))
    Answer = this->transact(*Change);
  else if (const auto *Grant = std::get_if<LeaseGrantRequest>(&Request))
    Answer = this->grant(*Grant, Now);
  else if (const auto *Alive = std::get_if<LeaseKeepAliveRequest>(&Request))
    Answer = this->keepAlive(*Alive, Now);
  else
    Answer = this->revoke(std::get<LeaseRevokeRequest>(Request));
  if (Write && this->Faults.WriteAnswersToLose > 0) {
    --this->Faults.WriteAnswersToLose;
    return makeError(ErrorKind::OutcomeUnknown, "answer lost");
  }
  return Answer;
}

KeyValueAnswer KeyValueStore::range(const RangeRequest &Request) const {
  KeyValueAnswer Answer;
  Answer.StoreRevision = this->Current;
  for (auto At = this->Values.lower_bound(Request.Key);
       At != this->Values.end(); ++At) {
    bool Matches = Request.Prefix ? At->first.starts_with(Request.Key)
                                  : At->first == Request.Key;
    if (!Matches)
      break;
    if (At->second.Modified < Request.ModifiedSince)
      continue;
    Answer.Entries.push_back({.Key = At->first,
                              .Value = At->second.Value,
                              .Modified = At->second.Modified});
  }
  return Answer;
}

KeyValueAnswer KeyValueStore::transact(const TransactionRequest &Request) {
  KeyValueAnswer Answer;
  Answer.Succeeded =
      std::all_of(Request.Compares.begin(), Request.Compares.end(),
                  [&](const ModifiedCompare &Compare) {
                    auto Found = this->Values.find(Compare.Key);
                    Revision Modified = Found == this->Values.end()
                                            ? Revision{}
                                            : Found->second.Modified;
                    return Modified == Compare.Modified;
                  });
  if (Answer.Succeeded)
    this->applyWrites(Request.Writes);
  Answer.StoreRevision = this->Current;
  return Answer;
}

void KeyValueStore::applyWrites(const std::vector<WriteOperation> &Writes) {
  if (Writes.empty())
    return;
  ++this->Current.Value;
  WatchBatch Batch;
  Batch.StoreRevision = this->Current;
  for (const WriteOperation &Write : Writes) {
    if (const auto *Put = std::get_if<PutOperation>(&Write)) {
      this->Values[Put->Key] = {.Value = Put->Value,
                                .Modified = this->Current,
                                .AttachedLease = Put->Lease};
      Batch.Events.push_back({.Entry = {.Key = Put->Key,
                                        .Value = Put->Value,
                                        .Modified = this->Current},
                              .Deleted = false});
      continue;
    }
    const std::string &Key = std::get<DeleteOperation>(Write).Key;
    if (this->Values.erase(Key) > 0)
      Batch.Events.push_back(
          {.Entry = {.Key = Key, .Value = "", .Modified = this->Current},
           .Deleted = true});
  }
  this->Log.push_back(std::move(Batch));
}

KeyValueAnswer KeyValueStore::grant(const LeaseGrantRequest &Request,
                                    TimePoint Now) {
  LeaseId Id{this->NextLease++};
  this->Leases[Id] = {.TimeToLive = Request.TimeToLive,
                      .ExpiresAt = Now + Request.TimeToLive};
  KeyValueAnswer Answer;
  Answer.StoreRevision = this->Current;
  Answer.Lease = Id;
  Answer.TimeToLive = Request.TimeToLive;
  return Answer;
}

KeyValueAnswer KeyValueStore::keepAlive(const LeaseKeepAliveRequest &Request,
                                        TimePoint Now) {
  KeyValueAnswer Answer;
  Answer.StoreRevision = this->Current;
  Answer.Lease = Request.Lease;
  auto Found = this->Leases.find(Request.Lease);
  if (Found == this->Leases.end())
    return Answer;
  Found->second.ExpiresAt = Now + Found->second.TimeToLive;
  Answer.TimeToLive = Found->second.TimeToLive;
  return Answer;
}

KeyValueAnswer KeyValueStore::revoke(const LeaseRevokeRequest &Request) {
  auto Found = this->Leases.find(Request.Lease);
  if (Found != this->Leases.end())
    Found->second.ExpiresAt = TimePoint::min();
  this->expireLeases(TimePoint::min());
  KeyValueAnswer Answer;
  Answer.StoreRevision = this->Current;
  return Answer;
}

void KeyValueStore::expireLeases(TimePoint Now) {
  std::vector<WriteOperation> Writes;
  for (auto At = this->Leases.begin(); At != this->Leases.end();) {
    if (At->second.ExpiresAt > Now) {
      ++At;
      continue;
    }
    for (const auto &[Key, Stored] : this->Values)
      if (Stored.AttachedLease == At->first)
        Writes.emplace_back(DeleteOperation{Key});
    At = this->Leases.erase(At);
  }
  this->applyWrites(Writes);
}

std::vector<WatchBatch> KeyValueStore::eventsAfter(const std::string &Prefix,
                                                   Revision After) const {
  std::vector<WatchBatch> Batches;
  auto First = std::partition_point(
      this->Log.begin(), this->Log.end(),
      [&](const WatchBatch &Batch) { return Batch.StoreRevision <= After; });
  for (auto At = First; At != this->Log.end(); ++At) {
    WatchBatch Matches;
    Matches.StoreRevision = At->StoreRevision;
    for (const WatchEvent &Event : At->Events)
      if (Event.Entry.Key.starts_with(Prefix))
        Matches.Events.push_back(Event);
    if (!Matches.Events.empty())
      Batches.push_back(std::move(Matches));
  }
  return Batches;
}

Status KeyValueStore::admitWatch(TimePoint Now) {
  if (this->Faults.Outage)
    return makeError(ErrorKind::Unavailable, "platform outage");
  if (!this->admit(this->ReadWindow, this->Limits.ReadsPerSecond, Now))
    return makeError(ErrorKind::Unavailable, "platform call rate exceeded");
  ++this->Counters.Reads;
  return std::monostate{};
}

} // namespace turmericpitch
