#include "drivers/StoreCopies.h"

#include "core/Digest.h"
#include "core/Metrics.h"
#include "drivers/Compression.h"
#include "drivers/HttpConnection.h"
#include "drivers/Json.h"

#include <boost/beast/core/string.hpp>
#include <charconv>

namespace turmericpitch {

namespace json = boost::json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned ServiceUnavailable = 503;
constexpr std::string_view CopyPath = "/copies/";
/// The same, compressed, with the age in a header field of its own so that the
/// compressed bytes serve many requests.
constexpr std::string_view CompressedPath = "/compressed_copies/";
constexpr std::string_view AgeField = "Copy-Age-Ms";
/// The largest copy that is accepted. The store holds no value above 1 MiB, and
/// a list of members is shorter.
constexpr std::size_t MaxCopyBytes = 8 * 1024 * 1024;
constexpr std::size_t MaxRequestBytes = 4096;
/// A connection carries one request.
constexpr Duration IdleTimeout = std::chrono::seconds(5);
/// Longer ages have no use, and would overflow differences of time points.
constexpr std::uint64_t MaxAgeMilliseconds = 1000ULL * 3600 * 24;

std::string targetOf(std::string_view Path, CopySubject Subject) {
  return std::string(Path) + std::string(toString(Subject));
}

std::optional<CopySubject> subjectOf(std::string_view Target,
                                     std::string_view Path) {
  for (CopySubject Each : {CopySubject::Configuration, CopySubject::Members,
                           CopySubject::Instances})
    if (Target == targetOf(Path, Each))
      return Each;
  return std::nullopt;
}

std::optional<Duration> parseAge(std::string_view Digits) {
  std::uint64_t Age = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Last, Problem] = std::from_chars(Digits.data(), End, Age);
  if (Problem != std::errc{} || Last != End || Age > MaxAgeMilliseconds)
    return std::nullopt;
  return std::chrono::milliseconds(Age);
}

/// Rounded up, as the age is a maximum.
std::int64_t ageMilliseconds(Duration Age) {
  return std::chrono::ceil<std::chrono::milliseconds>(Age).count();
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
  return json::serialize(
      json::object{{"store_revision", Copy.StoreRevision.Value},
                   {"age_ms", ageMilliseconds(Copy.Age)},
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
          .Known = true,
          .Compressed = {}};
}

HttpReply StoreCopies::reply(const HttpRequest &Request) {
  HttpReply Reply;
  auto Subject = subjectOf(Request.Target, CompressedPath);
  bool IsCompressed = Subject.has_value();
  if (!IsCompressed)
    Subject = subjectOf(Request.Target, CopyPath);
  if (!Subject) {
    Reply.Status = NotFound;
    return Reply;
  }
  Kept &Copy = this->Copies.at(static_cast<std::size_t>(*Subject));
  if (!Copy.Known) {
    Reply.Status = ServiceUnavailable;
    return Reply;
  }
  processMetrics().count("store_copies_served_total", toString(*Subject));
  Duration Age = BootClock().now() - Copy.ReadSentAt;
  if (!IsCompressed) {
    Reply.Body = encodeStoreCopy({.Entries = Copy.Entries,
                                  .StoreRevision = Copy.StoreRevision,
                                  .Age = Age});
    return Reply;
  }
  if (Copy.Compressed.empty())
    Copy.Compressed = compress(encodeStoreCopy(
        {.Entries = Copy.Entries, .StoreRevision = Copy.StoreRevision}));
  Reply.Body = Copy.Compressed;
  Reply.ContentType = "application/octet-stream";
  Reply.Fields.push_back({.Name = std::string(AgeField),
                          .Value = std::to_string(ageMilliseconds(Age))});
  return Reply;
}

Result<StoreCopy> decodeCompressedCopy(const HttpReply &Reply) {
  std::optional<Duration> Age;
  for (const HttpField &Each : Reply.Fields)
    if (boost::beast::iequals(Each.Name, AgeField))
      Age = parseAge(Each.Value);
  if (!Age)
    return boost::leaf::new_error(malformedCopy("no age"));
  BOOST_LEAF_AUTO(Bytes, decompress(Reply.Body, MaxCopyBytes));
  BOOST_LEAF_AUTO(Copy, decodeStoreCopy(Bytes));
  Copy.Age += *Age;
  return Copy;
}

Awaitable<Outcome<StoreCopy>> StoreCopies::fetch(CopySubject Subject,
                                                 Endpoint From) {
  processMetrics().count("store_copies_requested_total", toString(Subject));
  std::string Target = targetOf(CompressedPath, Subject);
  auto Reply = co_await this->request(Target, From);
  if (Reply && Reply.value().Status == Ok)
    co_return toOutcome([&] { return decodeCompressedCopy(Reply.value()); });
  // A build that doesn't compress copies.
  Target = targetOf(CopyPath, Subject);
  if (Reply && Reply.value().Status == NotFound)
    Reply = co_await this->request(Target, From);
  if (!Reply)
    co_return Reply.error();
  if (Reply.value().Status != Ok)
    co_return Error{.Kind = ErrorKind::Unavailable,
                    .Message = "the instance holds no copy (status " +
                               std::to_string(Reply.value().Status) + ")",
                    .Remedy = "ask another instance"};
  co_return toOutcome([&] { return decodeStoreCopy(Reply.value().Body); });
}

Awaitable<Outcome<HttpReply>> StoreCopies::request(std::string Target,
                                                   Endpoint From) {
  auto Opened = co_await HttpConnection::open(this->Exec, From,
                                              this->Options.ConnectTimeout);
  if (!Opened)
    co_return Opened.error();
  // A temporary in the awaited expression would be destroyed twice by GCC 12.
  HttpRequest Request{.Method = "GET",
                      .Target = std::move(Target),
                      .Host = turmericpitch::toString(From)};
  auto Reply = co_await Opened.value()->exchange(std::move(Request),
                                                 this->Options.ReplyTimeout);
  Opened.value()->close();
  co_return Reply;
}

} // namespace turmericpitch
