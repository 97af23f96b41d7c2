// HTTP/1.1 messages from and to bytes, over Boost.Beast.
#pragma once

#include "drivers/Http.h"

#include <memory>
#include <string>
#include <string_view>

namespace turmericpitch {

/// Largest messages taken, bytes.
struct HttpLimits {
  std::uint32_t Header = 16 * 1024;
  std::uint64_t Body = 1024 * 1024;
};

/// Reads one request from bytes as they come. Not thread-safe.
class HttpRequestReader {
public:
  explicit HttpRequestReader(const HttpLimits &Limits);
  ~HttpRequestReader();
  HttpRequestReader(HttpRequestReader &&) noexcept;
  HttpRequestReader &operator=(HttpRequestReader &&) noexcept;

  /// Takes bytes in and returns how many were used; those not used must be
  /// given again with more behind them. Errors: BadRequest if malformed or
  /// beyond the limits.
  Outcome<std::size_t> feed(std::string_view Bytes);
  [[nodiscard]] bool done() const;
  /// Whether the client wants the connection kept. Precondition: done().
  [[nodiscard]] bool keepAlive() const;
  /// The request. Precondition: done(); call once.
  HttpRequest take();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// Reads one reply from bytes as they come. Not thread-safe.
class HttpReplyReader {
public:
  explicit HttpReplyReader(const HttpLimits &Limits);
  ~HttpReplyReader();

  /// As HttpRequestReader::feed().
  Outcome<std::size_t> feed(std::string_view Bytes);
  [[nodiscard]] bool done() const;
  /// Whether the server keeps the connection. Precondition: done().
  [[nodiscard]] bool keepAlive() const;
  /// 0 until the header is in.
  [[nodiscard]] unsigned status() const;
  /// What has come of the body since the last call.
  std::string takeBody();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// The bytes of a request. Thread-safe.
std::string formatRequest(const HttpRequest &Request);
/// The bytes of a whole reply. Thread-safe.
std::string formatReply(const HttpReply &Reply, bool KeepAlive);
/// The bytes that begin a streamed reply, one piece of it, and its end.
/// Thread-safe.
std::string formatStreamBegin(const HttpReply &Reply);
std::string formatStreamChunk(std::string_view Data);
std::string formatStreamEnd();

} // namespace turmericpitch
