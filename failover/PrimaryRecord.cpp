#include "failover/PrimaryRecord.h"

#include <algorithm>

#include "core/Word.h"

#include <boost/json.hpp>

namespace turmericpitch {

namespace json = boost::json;

namespace {

constexpr std::string_view ServicePart = "of/";

Error malformed(const std::string &Key) {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "malformed primary record at key " + Key,
          .Remedy = "find out which process wrote the key; delete it once no "
                    "instance runs"};
}

/// The starts of terms, or nothing if they aren't such a list.
std::optional<std::vector<TermStart>> decodeStarts(const json::value &Value) {
  std::vector<TermStart> Starts;
  const json::array *List = Value.if_array();
  if (!List || List->size() > MaxTermStarts)
    return std::nullopt;
  for (const json::value &Each : *List) {
    const json::array *Pair = Each.if_array();
    if (!Pair || Pair->size() != 2)
      return std::nullopt;
    boost::system::error_code BadTerm;
    boost::system::error_code BadPosition;
    TermStart Next{.NewTerm = {Pair->at(0).to_number<std::uint64_t>(BadTerm)},
                   .PrecedingPosition = {
                       Pair->at(1).to_number<std::uint64_t>(BadPosition)}};
    if (BadTerm || BadPosition)
      return std::nullopt;
    if (!Starts.empty() &&
        (Starts.back().NewTerm >= Next.NewTerm ||
         Starts.back().PrecedingPosition > Next.PrecedingPosition))
      return std::nullopt;
    Starts.push_back(Next);
  }
  return Starts;
}

} // namespace

std::string_view toString(PrimaryPhase Phase) {
  switch (Phase) {
  case PrimaryPhase::Closing:
    return "closing";
  case PrimaryPhase::Ordered:
    return "ordered";
  case PrimaryPhase::Open:
    break;
  }
  return "open";
}

std::uint64_t firstEpoch(Revision ListedAt) {
  return std::max<std::uint64_t>(1, ListedAt.Value);
}

std::vector<TermStart> withTermStart(std::vector<TermStart> Starts,
                                     const TermStart &Next) {
  // A member that was primary already began no term.
  if (!Starts.empty() && Starts.back().NewTerm >= Next.NewTerm)
    return Starts;
  std::erase_if(Starts, [&](const TermStart &Each) {
    return Each.PrecedingPosition > Next.PrecedingPosition;
  });
  Starts.push_back(Next);
  if (Starts.size() > MaxTermStarts)
    Starts.erase(Starts.begin());
  return Starts;
}

bool endsDiscarded(std::span<const TermStart> Starts, const TermPosition &End) {
  auto Next = std::ranges::find_if(Starts, [&](const TermStart &Each) {
    return Each.NewTerm > End.WrittenIn;
  });
  return Next != Starts.end() && End.Position > Next->PrecedingPosition;
}

std::string primaryRecordKey(const ServiceId &Service) {
  return std::string(PrimaryRecordPrefix) + std::string(ServicePart) +
         Service.Value;
}

std::optional<ServiceId> serviceOfRecordKey(std::string_view Key) {
  std::string Prefix = primaryRecordKey({});
  ServiceId Service;
  if (Key.starts_with(Prefix))
    Service.Value = Key.substr(Prefix.size());
  if (!isWord(Service.Value))
    return std::nullopt;
  return Service;
}

std::string encodePrimaryRecord(const PrimaryRecord &Record) {
  json::object Object{{"reign", Record.Epoch},
                      {"primary", Record.Primary.Value},
                      {"phase", toString(Record.Phase)},
                      {"target", Record.Target.Value},
                      {"writer", Record.Writer.Value},
                      {"attempt", Record.Attempt},
                      {"closed", Record.ClosedFrom.Value}};
  if (Record.KnownTerm != Term{})
    Object["term"] = Record.KnownTerm.Value;
  if (!Record.TermStarts.empty()) {
    json::array Starts;
    for (const TermStart &Each : Record.TermStarts)
      Starts.push_back(
          json::array{Each.NewTerm.Value, Each.PrecedingPosition.Value});
    Object["starts"] = std::move(Starts);
  }
  return json::serialize(Object);
}

Result<PrimaryRecord> decodePrimaryRecord(const KeyValueEntry &Entry) {
  auto Service = serviceOfRecordKey(Entry.Key);
  boost::system::error_code Failure;
  json::value Value = json::parse(Entry.Value, Failure);
  if (Failure || !Value.is_object() || !Service)
    return boost::leaf::new_error(malformed(Entry.Key));
  const json::object &Object = Value.as_object();
  PrimaryRecord Record;
  Record.Service = *Service;
  Record.Stored = Entry.Modified;
  auto Text = [&](const char *Key) -> std::optional<std::string> {
    const json::value *Found = Object.if_contains(Key);
    if (!Found || !Found->is_string())
      return std::nullopt;
    return std::string(Found->as_string());
  };
  auto Number = [&](const char *Key) -> std::optional<std::uint64_t> {
    const json::value *Found = Object.if_contains(Key);
    if (!Found || !(Found->is_int64() || Found->is_uint64()))
      return std::nullopt;
    return Found->to_number<std::uint64_t>(Failure);
  };
  auto Epoch = Number("reign");
  auto Attempt = Number("attempt");
  // Absent in records of earlier versions.
  Record.ClosedFrom.Value = Number("closed").value_or(0);
  Record.KnownTerm.Value = Number("term").value_or(0);
  auto Primary = Text("primary");
  auto Phase = Text("phase");
  auto Target = Text("target");
  auto Writer = Text("writer");
  if (const json::value *Starts = Object.if_contains("starts")) {
    auto Decoded = decodeStarts(*Starts);
    if (!Decoded)
      return boost::leaf::new_error(malformed(Entry.Key));
    Record.TermStarts = std::move(*Decoded);
  }
  // A later epoch must be greater.
  if (!Epoch || *Epoch == UINT64_MAX || !Attempt || !Primary || !Phase ||
      !Target || !Writer || Failure)
    return boost::leaf::new_error(malformed(Entry.Key));
  Record.Epoch = *Epoch;
  Record.Attempt = *Attempt;
  Record.Primary.Value = *Primary;
  Record.Target.Value = *Target;
  Record.Writer.Value = *Writer;
  if (*Phase == toString(PrimaryPhase::Closing))
    Record.Phase = PrimaryPhase::Closing;
  else if (*Phase == toString(PrimaryPhase::Ordered))
    Record.Phase = PrimaryPhase::Ordered;
  else if (*Phase != toString(PrimaryPhase::Open))
    return boost::leaf::new_error(malformed(Entry.Key));
  return Record;
}

} // namespace turmericpitch
