// Exchanges copies of what the store holds with other instances.
#pragma once

#include "core/KeyValue.h"
#include "drivers/HttpServer.h"

#include <array>
#include <vector>

namespace turmericpitch {

/// What is copied. The configuration holds digests in place of credentials.
enum class CopySubject : std::uint8_t { Configuration, Members, Instances };

/// The subject's name in requests; stable. Thread-safe.
std::string_view toString(CopySubject Subject);

/// Entries that an instance has read from the store. Immutable value.
struct StoreCopy {
  std::vector<KeyValueEntry> Entries;
  /// The store's revision at the read.
  Revision StoreRevision = {};
  /// Maximum time since the read.
  Duration Age{0};

  bool operator==(const StoreCopy &) const = default;
};

/// Thread-safe.
std::string encodeStoreCopy(const StoreCopy &Copy);
/// Thread-safe. Errors: BadRequest if malformed.
Result<StoreCopy> decodeStoreCopy(std::string_view Bytes);
/// Decodes the reply to a request for a compressed copy. Thread-safe. Errors:
/// BadRequest if malformed.
Result<StoreCopy> decodeCompressedCopy(const HttpReply &Reply);

struct StoreCopiesOptions {
  Endpoint Listen;
  /// Requests that are served at a time; others are refused, so that many
  /// instances that are behind spread over all that hold a copy.
  std::size_t MaximumRequests = 4;
  Duration ConnectTimeout = std::chrono::milliseconds(500);
  /// A large configuration is compressed to 50 KB, which four at a time take
  /// 0.8 s on a link of 2 Mbit/s.
  Duration ReplyTimeout = std::chrono::milliseconds(1500);
};

/// Serves the newest copies of this instance and fetches those of others, for
/// an instance that the store doesn't answer. Not thread-safe: use only from
/// the thread that runs Exec.
class StoreCopies {
public:
  StoreCopies(const Executor &Exec, StoreCopiesOptions Options);

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  /// Keeps what a read sent at ReadSentAt has shown.
  void keep(CopySubject Subject, std::vector<KeyValueEntry> Entries,
            Revision StoreRevision, TimePoint ReadSentAt);
  /// Fetches the copy of another instance. Errors: Unavailable, NotRun or
  /// OutcomeUnknown if it was not received, BadRequest if it is malformed.
  Awaitable<Outcome<StoreCopy>> fetch(CopySubject Subject, Endpoint From);

private:
  struct Kept {
    std::vector<KeyValueEntry> Entries;
    Revision StoreRevision;
    TimePoint ReadSentAt;
    bool Known = false;
    /// Empty until a request asks for it.
    std::string Compressed;
  };
  static constexpr std::size_t Subjects = 3;

  HttpReply reply(const HttpRequest &Request);
  Awaitable<Outcome<HttpReply>> request(std::string Target, Endpoint From);

  Executor Exec;
  StoreCopiesOptions Options;
  HttpServer Server;
  std::array<Kept, Subjects> Copies;
};

} // namespace turmericpitch
