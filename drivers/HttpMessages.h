// Parses and serializes HTTP/1.1 messages with Boost.Beast.
#pragma once

#include "drivers/Http.h"

#include <memory>
#include <string>
#include <string_view>

namespace turmericpitch {

/// Maximum sizes of a message, in bytes.
struct HttpLimits {
  std::uint32_t Header = 16 * 1024;
  std::uint64_t Body = 1024 * 1024;
};

/// Parses one request incrementally. Not thread-safe.
class HttpRequestReader {
public:
  explicit HttpRequestReader(const HttpLimits &Limits);
  ~HttpRequestReader();
  HttpRequestReader(HttpRequestReader &&) noexcept;
  HttpRequestReader &operator=(HttpRequestReader &&) noexcept;

  /// Parses bytes and returns how many were consumed. The caller passes the
  /// remaining bytes again, followed by new ones. Errors: BadRequest if the
  /// message is malformed or exceeds the limits.
  Outcome<std::size_t> feed(std::string_view Bytes);
  [[nodiscard]] bool done() const;
  /// Whether the client asked for keep-alive. Precondition: done().
  [[nodiscard]] bool keepAlive() const;
  /// Returns the parsed request. Precondition: done(). Call at most once.
  HttpRequest take();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// Parses one reply incrementally. Not thread-safe.
class HttpReplyReader {
public:
  explicit HttpReplyReader(const HttpLimits &Limits);
  ~HttpReplyReader();

  /// See HttpRequestReader::feed().
  Outcome<std::size_t> feed(std::string_view Bytes);
  [[nodiscard]] bool done() const;
  /// Whether the server keeps the connection open. Precondition: done().
  [[nodiscard]] bool keepAlive() const;
  /// The HTTP status code; 0 until the header is complete.
  [[nodiscard]] unsigned status() const;
  /// The header fields. Precondition: done().
  [[nodiscard]] std::vector<HttpField> fields() const;
  /// Returns the part of the body received since the last call.
  std::string takeBody();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// Serializes a request. Thread-safe.
std::string formatRequest(const HttpRequest &Request);
/// Serializes a reply that is not streamed. Thread-safe.
std::string formatReply(const HttpReply &Reply, bool KeepAlive);
/// Serialize the header of a streamed reply, one chunk of its body, and the
/// final chunk. Thread-safe.
std::string formatStreamBegin(const HttpReply &Reply);
std::string formatStreamChunk(std::string_view Data);
std::string formatStreamEnd();

} // namespace turmericpitch
