// HTTP requests and replies, independent of the HTTP library.
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

/// A header field.
struct HttpField {
  std::string Name;
  std::string Value;

  bool operator==(const HttpField &) const = default;
};

/// An HTTP request, received or to be sent.
struct HttpRequest {
  std::string Method = "POST";
  std::string Target = {};
  /// The Host header.
  std::string Host = {};
  /// The Authorization header; empty if the request has none.
  std::string Authorization = {};
  std::string Body = {};
  /// Additional header fields to send. Empty for received requests.
  std::vector<HttpField> Fields = {};
};

/// An HTTP reply, received or to be sent.
struct HttpReply {
  unsigned Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  /// The additional header fields. In a received reply, all fields.
  std::vector<HttpField> Fields = {};
  /// Sent as the Retry-After header, rounded up to whole seconds.
  std::optional<Duration> RetryAfter = std::nullopt;
  /// Whether the connection is pinned by open work, such as a transaction. A
  /// drain leaves pinned connections open.
  bool PinsConnection = false;
  /// If set, the body is streamed and Body is ignored. Each call returns the
  /// next chunk; std::nullopt ends the body.
  std::function<Awaitable<std::optional<std::string>>()> NextChunk = nullptr;
};

/// Maps an error kind to an HTTP status code. Thread-safe.
unsigned httpStatusOf(ErrorKind Kind);
/// Builds the reply that reports an error. Thread-safe.
HttpReply replyWith(const Error &Failure);

} // namespace turmericpitch
