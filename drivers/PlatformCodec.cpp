#include "drivers/PlatformCodec.h"

#include "core/Digest.h"

#include <charconv>

namespace turmericpitch {

namespace {

using boost::json::array;
using boost::json::object;

// The gateway encodes 64-bit numbers as strings.
std::string numberToText(std::uint64_t Value) { return std::to_string(Value); }

std::uint64_t readNumber(JsonReader &Reader, std::string_view Key) {
  std::string Text = Reader.text(Key, "0");
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string readBytes(JsonReader &Reader, std::string_view Key) {
  return decodeBase64(Reader.text(Key, ""));
}

/// Returns the exclusive end of the range of keys that start with Prefix.
std::string prefixRangeEnd(std::string Prefix) {
  while (!Prefix.empty() && static_cast<unsigned char>(Prefix.back()) == 0xFF)
    Prefix.pop_back();
  if (!Prefix.empty())
    ++Prefix.back();
  return Prefix;
}

object headerOf(Revision StoreRevision) {
  object Header;
  Header["revision"] = numberToText(StoreRevision.Value);
  return Header;
}

object entryToJson(const KeyValueEntry &Entry) {
  object Json;
  Json["key"] = encodeBase64(Entry.Key);
  Json["value"] = encodeBase64(Entry.Value);
  Json["mod_revision"] = numberToText(Entry.Modified.Value);
  return Json;
}

KeyValueEntry readEntry(const object &Json) {
  JsonReader Reader(Json);
  KeyValueEntry Entry;
  Entry.Key = readBytes(Reader, "key");
  Entry.Value = readBytes(Reader, "value");
  Entry.Modified = Revision{readNumber(Reader, "mod_revision")};
  return Entry;
}

EncodedKeyValueRequest encode(const RangeRequest &Request) {
  object Json;
  Json["key"] = encodeBase64(Request.Key);
  if (Request.Prefix)
    Json["range_end"] = encodeBase64(prefixRangeEnd(Request.Key));
  if (Request.ModifiedSince > Revision{})
    Json["min_mod_revision"] = numberToText(Request.ModifiedSince.Value);
  return {.Target = "/v3/kv/range", .Body = boost::json::serialize(Json)};
}

object writeToJson(const WriteOperation &Write) {
  object Json;
  if (const auto *Put = std::get_if<PutOperation>(&Write)) {
    object Request;
    Request["key"] = encodeBase64(Put->Key);
    Request["value"] = encodeBase64(Put->Value);
    Request["lease"] = numberToText(Put->Lease.Value);
    Json["requestPut"] = std::move(Request);
    return Json;
  }
  object Request;
  Request["key"] = encodeBase64(std::get<DeleteOperation>(Write).Key);
  Json["requestDeleteRange"] = std::move(Request);
  return Json;
}

EncodedKeyValueRequest encode(const TransactionRequest &Request) {
  array Compares;
  for (const ModifiedCompare &Compare : Request.Compares) {
    object Json;
    Json["key"] = encodeBase64(Compare.Key);
    Json["target"] = "MOD";
    Json["result"] = "EQUAL";
    Json["mod_revision"] = numberToText(Compare.Modified.Value);
    Compares.push_back(std::move(Json));
  }
  array Writes;
  for (const WriteOperation &Write : Request.Writes)
    Writes.push_back(writeToJson(Write));
  object Json;
  Json["compare"] = std::move(Compares);
  Json["success"] = std::move(Writes);
  return {.Target = "/v3/kv/txn", .Body = boost::json::serialize(Json)};
}

EncodedKeyValueRequest encode(const LeaseGrantRequest &Request) {
  object Json;
  Json["TTL"] =
      numberToText(static_cast<std::uint64_t>(Request.TimeToLive.count()));
  return {.Target = "/v3/lease/grant", .Body = boost::json::serialize(Json)};
}

EncodedKeyValueRequest encodeLease(std::string_view Target, LeaseId Lease) {
  object Json;
  Json["ID"] = numberToText(Lease.Value);
  return {.Target = std::string(Target), .Body = boost::json::serialize(Json)};
}

EncodedKeyValueRequest encode(const LeaseKeepAliveRequest &Request) {
  return encodeLease("/v3/lease/keepalive", Request.Lease);
}

EncodedKeyValueRequest encode(const LeaseRevokeRequest &Request) {
  return encodeLease("/v3/lease/revoke", Request.Lease);
}

TransactionRequest readTransaction(JsonReader &Reader) {
  TransactionRequest Request;
  if (const array *Compares = Reader.array("compare"))
    for (const auto &Item : *Compares) {
      if (!Item.is_object())
        continue;
      JsonReader Compare(Item.as_object());
      Request.Compares.push_back(
          {.Key = readBytes(Compare, "key"),
           .Modified = Revision{readNumber(Compare, "mod_revision")}});
    }
  const array *Writes = Reader.array("success");
  if (!Writes)
    return Request;
  for (const auto &Item : *Writes) {
    if (!Item.is_object())
      continue;
    JsonReader Write(Item.as_object());
    if (const object *Put = Write.object("requestPut")) {
      JsonReader Fields(*Put);
      Request.Writes.emplace_back(
          PutOperation{.Key = readBytes(Fields, "key"),
                       .Value = readBytes(Fields, "value"),
                       .Lease = LeaseId{readNumber(Fields, "lease")}});
    } else if (const object *Delete = Write.object("requestDeleteRange")) {
      JsonReader Fields(*Delete);
      Request.Writes.emplace_back(
          DeleteOperation{.Key = readBytes(Fields, "key")});
    }
  }
  return Request;
}

} // namespace

EncodedKeyValueRequest encodeKeyValueRequest(const KeyValueRequest &Request) {
  return std::visit([](const auto &Each) { return encode(Each); }, Request);
}

Result<KeyValueRequest> decodeKeyValueRequest(std::string_view Target,
                                              std::string_view Body) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
  JsonReader Reader(Json);
  Reader.allowUnknown();
  std::optional<KeyValueRequest> Request;
  if (Target == "/v3/kv/range")
    Request = RangeRequest{
        .Key = readBytes(Reader, "key"),
        .Prefix = Reader.has("range_end"),
        .ModifiedSince = Revision{readNumber(Reader, "min_mod_revision")}};
  else if (Target == "/v3/kv/txn")
    Request = readTransaction(Reader);
  else if (Target == "/v3/lease/grant")
    Request = LeaseGrantRequest{std::chrono::seconds(
        static_cast<std::int64_t>(readNumber(Reader, "TTL")))};
  else if (Target == "/v3/lease/keepalive")
    Request = LeaseKeepAliveRequest{LeaseId{readNumber(Reader, "ID")}};
  else if (Target == "/v3/lease/revoke")
    Request = LeaseRevokeRequest{LeaseId{readNumber(Reader, "ID")}};
  if (!Request)
    return boost::leaf::new_error(
        Error{.Kind = ErrorKind::BadRequest,
              .Message = "unknown platform request " + std::string(Target),
              .Remedy = "use range, txn, lease or watch"});
  BOOST_LEAF_CHECK(Reader.finish());
  return std::move(*Request);
}

std::string encodeKeyValueAnswer(const KeyValueRequest &Request,
                                 const KeyValueAnswer &Answer) {
  object Json;
  Json["header"] = headerOf(Answer.StoreRevision);
  if (std::holds_alternative<RangeRequest>(Request)) {
    array Entries;
    for (const KeyValueEntry &Entry : Answer.Entries)
      Entries.push_back(entryToJson(Entry));
    Json["kvs"] = std::move(Entries);
  } else if (std::holds_alternative<TransactionRequest>(Request)) {
    Json["succeeded"] = Answer.Succeeded;
  } else {
    Json["ID"] = numberToText(Answer.Lease.Value);
    Json["TTL"] =
        numberToText(static_cast<std::uint64_t>(Answer.TimeToLive.count()));
  }
  if (!std::holds_alternative<LeaseKeepAliveRequest>(Request))
    return boost::json::serialize(Json);
  // The gateway wraps replies of streaming calls in a "result" field.
  object Wrapped;
  Wrapped["result"] = std::move(Json);
  return boost::json::serialize(Wrapped);
}

Result<KeyValueAnswer> decodeKeyValueAnswer(std::string_view Body) {
  BOOST_LEAF_AUTO(Whole, parseJsonObject(Body));
  JsonReader Outer(Whole);
  const object *Wrapped = Outer.object("result");
  const object &Json = Wrapped ? *Wrapped : Whole;
  JsonReader Reader(Json);
  Reader.allowUnknown();
  KeyValueAnswer Answer;
  if (const object *Header = Reader.object("header")) {
    JsonReader Fields(*Header);
    Answer.StoreRevision = Revision{readNumber(Fields, "revision")};
  }
  if (const array *Entries = Reader.array("kvs"))
    for (const auto &Item : *Entries)
      if (Item.is_object())
        Answer.Entries.push_back(readEntry(Item.as_object()));
  // The gateway omits fields that are false.
  Answer.Succeeded = Reader.flag("succeeded", false);
  Answer.Lease = LeaseId{readNumber(Reader, "ID")};
  Answer.TimeToLive = std::chrono::seconds(
      static_cast<std::int64_t>(readNumber(Reader, "TTL")));
  BOOST_LEAF_CHECK(Reader.finish());
  return Answer;
}

std::string encodeWatchRequest(const WatchRequest &Request) {
  object Create;
  Create["key"] = encodeBase64(Request.Prefix);
  Create["range_end"] = encodeBase64(prefixRangeEnd(Request.Prefix));
  Create["start_revision"] = numberToText(Request.After.Value + 1);
  object Json;
  Json["create_request"] = std::move(Create);
  return boost::json::serialize(Json);
}

Result<WatchRequest> decodeWatchRequest(std::string_view Body) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Body));
  JsonReader Outer(Json);
  const object *Create = Outer.object("create_request");
  if (!Create)
    return boost::leaf::new_error(
        Error{.Kind = ErrorKind::BadRequest,
              .Message = "watch request without create_request",
              .Remedy = "add create_request"});
  JsonReader Reader(*Create);
  std::uint64_t Start = readNumber(Reader, "start_revision");
  return WatchRequest{.Prefix = readBytes(Reader, "key"),
                      .After = Revision{Start == 0 ? 0 : Start - 1}};
}

std::string encodeWatchBatch(const WatchBatch &Batch) {
  array Events;
  for (const WatchEvent &Event : Batch.Events) {
    object Json;
    Json["type"] = Event.Deleted ? "DELETE" : "PUT";
    Json["kv"] = entryToJson(Event.Entry);
    Events.push_back(std::move(Json));
  }
  object Inner;
  Inner["header"] = headerOf(Batch.StoreRevision);
  Inner["events"] = std::move(Events);
  object Json;
  Json["result"] = std::move(Inner);
  return boost::json::serialize(Json);
}

Result<WatchBatch> decodeWatchBatch(std::string_view Line) {
  BOOST_LEAF_AUTO(Json, parseJsonObject(Line));
  JsonReader Outer(Json);
  WatchBatch Batch;
  const object *Inner = Outer.object("result");
  if (!Inner)
    return Batch;
  JsonReader Reader(*Inner);
  if (const object *Header = Reader.object("header")) {
    JsonReader Fields(*Header);
    Batch.StoreRevision = Revision{readNumber(Fields, "revision")};
  }
  if (const array *Events = Reader.array("events"))
    for (const auto &Item : *Events) {
      if (!Item.is_object())
        continue;
      JsonReader Event(Item.as_object());
      bool Deleted = Event.text("type", "PUT") == "DELETE";
      if (const object *Entry = Event.object("kv"))
        Batch.Events.push_back(
            {.Entry = readEntry(*Entry), .Deleted = Deleted});
    }
  return Batch;
}

} // namespace turmericpitch
