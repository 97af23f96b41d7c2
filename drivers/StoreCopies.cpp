#include "drivers/StoreCopies.h"

#include "core/Digest.h"
#include "core/Metrics.h"
#include "drivers/HttpConnection.h"
#include "drivers/Json.h"

namespace turmericpitch {

namespace json = boost::json;

namespace {

constexpr unsigned NotFound = 404;
constexpr unsigned ServiceUnavailable = 503;
constexpr std::string_view CopyPath = "/copies/";
constexpr std::size_t MaxRequestBytes = 4096;
/// A connection carries one request.
constexpr Duration IdleTimeout = std::chrono::seconds(5);
/// Longer ages have no use, and would overflow differences of time points.
constexpr std::uint64_t MaxAgeMilliseconds = 1000ULL * 3600 * 24;

std::optional<CopySubject> subjectOf(std::string_view Target) {
  for (CopySubject Each : {CopySubject::Configuration, CopySubject::Members,
                           CopySubject::Instances})
    if (Target == std::string(CopyPath) + std::string(toString(Each)))
      return Each;
  return std::nullopt;
}

Error malformedCopy(std::string Why) {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "malformed copy from an instance: " + std::move(Why),
          .Remedy = "run the same version on all instances"};
}

} // namespace

std::string_view toString(CopySubject Subject) {
  switch (Subject) {
  case CopySubject::Configuration:
    return "digested_configuration";
  case CopySubject::Members:
    return "members";
  case CopySubject::Instances:
    break;
  }
  return "instances";
}

std::string encodeStoreCopy(const StoreCopy &Copy) {
  json::array Entries;
  for (const KeyValueEntry &Each : Copy.Entries)
    Entries.push_back(json::object{{"key", encodeBase64(Each.Key)},
                                   {"value", encodeBase64(Each.Value)},
                                   {"modified", Each.Modified.Value}});
  // Rounded up, as the age is a maximum.
  auto Age = std::chrono::ceil<std::chrono::milliseconds>(Copy.Age).count();
  return json::serialize(
      json::object{{"store_revision", Copy.StoreRevision.Value},
                   {"age_ms", Age},
                   {"entries", std::move(Entries)}});
}

Result<StoreCopy> decodeStoreCopy(std::string_view Bytes) {
  BOOST_LEAF_AUTO(Object, parseJsonObject(Bytes));
  JsonReader Reader(Object);
  Reader.allowUnknown();
  StoreCopy Copy;
  Copy.StoreRevision.Value = Reader.number("store_revision");
  std::uint64_t Age = Reader.number("age_ms");
  const json::array *Entries = Reader.array("entries");
  BOOST_LEAF_CHECK(Reader.finish());
  if (!Entries || Age > MaxAgeMilliseconds)
    return boost::leaf::new_error(malformedCopy("no entries, or too old"));
  Copy.Age = std::chrono::milliseconds(Age);
  for (const json::value &Each : *Entries) {
    if (!Each.is_object())
      return boost::leaf::new_error(malformedCopy("an entry is no object"));
    JsonReader Entry(Each.as_object());
    Entry.allowUnknown();
    KeyValueEntry Decoded;
    Decoded.Key = decodeBase64(Entry.text("key"));
    Decoded.Value = decodeBase64(Entry.text("value"));
    Decoded.Modified.Value = Entry.number("modified");
    BOOST_LEAF_CHECK(Entry.finish());
    Copy.Entries.push_back(std::move(Decoded));
  }
  return Copy;
}

StoreCopies::StoreCopies(const Executor &Exec, StoreCopiesOptions Options)
    : Exec(Exec), Options(Options),
      Server(Exec,
             {.Listen = Options.Listen,
              .Limits = {.Header = MaxRequestBytes, .Body = MaxRequestBytes},
              .IdleTimeout = IdleTimeout,
              .MaximumConnections = Options.MaximumRequests},
             [this] {
               return [this](HttpRequest Request) -> Awaitable<HttpReply> {
                 co_return this->reply(Request);
               };
             }) {}

Status StoreCopies::start() { return this->Server.start(); }

void StoreCopies::keep(CopySubject Subject, std::vector<KeyValueEntry> Entries,
                       Revision StoreRevision, TimePoint ReadSentAt) {
  Kept &Copy = this->Copies.at(static_cast<std::size_t>(Subject));
  if (Copy.Known && StoreRevision < Copy.StoreRevision)
    return;
  Copy = {.Entries = std::move(Entries),
          .StoreRevision = StoreRevision,
          .ReadSentAt = ReadSentAt,
          .Known = true};
}

HttpReply StoreCopies::reply(const HttpRequest &Request) const {
  HttpReply Reply;
  auto Subject = subjectOf(Request.Target);
  if (!Subject) {
    Reply.Status = NotFound;
    return Reply;
  }
  const Kept &Copy = this->Copies.at(static_cast<std::size_t>(*Subject));
  if (!Copy.Known) {
    Reply.Status = ServiceUnavailable;
    return Reply;
  }
  processMetrics().count("store_copies_served_total", toString(*Subject));
  Reply.Body = encodeStoreCopy({.Entries = Copy.Entries,
                                .StoreRevision = Copy.StoreRevision,
                                .Age = BootClock().now() - Copy.ReadSentAt});
  return Reply;
}

Awaitable<Outcome<StoreCopy>> StoreCopies::fetch(CopySubject Subject,
                                                 Endpoint From) {
  processMetrics().count("store_copies_requested_total", toString(Subject));
  auto Opened = co_await HttpConnection::open(this->Exec, From,
                                              this->Options.ConnectTimeout);
  if (!Opened)
    co_return Opened.error();
  // A temporary in the awaited expression would be destroyed twice by GCC 12.
  HttpRequest Request{.Method = "GET",
                      .Target = std::string(CopyPath) +
                                std::string(toString(Subject)),
                      .Host = turmericpitch::toString(From)};
  auto Reply = co_await Opened.value()->exchange(std::move(Request),
                                                 this->Options.ReplyTimeout);
  Opened.value()->close();
  if (!Reply)
    co_return Reply.error();
  constexpr unsigned Ok = 200;
  if (Reply.value().Status != Ok)
    co_return Error{.Kind = ErrorKind::Unavailable,
                    .Message = "the instance holds no copy (status " +
                               std::to_string(Reply.value().Status) + ")",
                    .Remedy = "ask another instance"};
  co_return toOutcome([&] { return decodeStoreCopy(Reply.value().Body); });
}

} // namespace turmericpitch
