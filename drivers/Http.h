// HTTP messages as the rest of the program sees them.
#pragma once

#include "core/Endpoint.h"
#include "core/Error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmericpitch {

template <typename T> using Awaitable = boost::asio::awaitable<T>;
using Executor = boost::asio::any_io_executor;

/// A header field beyond those that every request has.
struct HttpField {
  std::string Name;
  std::string Value;

  bool operator==(const HttpField &) const = default;
};

/// A request as received or to be sent.
struct HttpRequest {
  std::string Method = "POST";
  std::string Target = {};
  /// The Host header.
  std::string Host = {};
  /// The Authorization header; may be empty.
  std::string Authorization = {};
  std::string Body = {};
  /// Sent besides; not filled in for received requests.
  std::vector<HttpField> Fields = {};
};

/// A reply as received or to be sent.
struct HttpReply {
  unsigned Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  /// Sent as Retry-After, rounded up to seconds.
  std::optional<Duration> RetryAfter = std::nullopt;
  /// The connection holds open work, such as a transaction, so that a drain
  /// leaves it open.
  bool PinsConnection = false;
  /// If set, the body is streamed: each call gives the next piece, nothing
  /// ends it. Body is then ignored.
  std::function<Awaitable<std::optional<std::string>>()> NextChunk = nullptr;
};

/// The HTTP status that fits an error. Thread-safe.
unsigned httpStatusOf(ErrorKind Kind);
/// The reply that reports an error. Thread-safe.
HttpReply replyWith(const Error &Failure);

} // namespace turmericpitch
