#include "drivers/HttpMessages.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>

namespace turmericpitch {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using ErrorCode = boost::system::error_code;

Error badMessage(const ErrorCode &Failure) {
  bool TooLarge = Failure == http::error::body_limit ||
                  Failure == http::error::header_limit;
  return {.Kind = ErrorKind::BadRequest,
          .Message = TooLarge ? "HTTP message exceeds the size limit"
                              : "malformed HTTP: " + Failure.message(),
          .Remedy = TooLarge ? "send a smaller message" : "send HTTP/1.1"};
}

template <typename Parser>
Outcome<std::size_t> feedParser(Parser &To, std::string_view Bytes) {
  std::size_t Used = 0;
  while (!To.is_done() && Used < Bytes.size()) {
    ErrorCode Failure;
    std::string_view Rest = Bytes.substr(Used);
    std::size_t Count =
        To.put(boost::asio::buffer(Rest.data(), Rest.size()), Failure);
    Used += Count;
    if (Failure == http::error::need_more)
      break;
    if (Failure)
      return badMessage(Failure);
  }
  return Used;
}

template <typename Serializer> std::string drain(Serializer &From) {
  std::string Bytes;
  ErrorCode Failure;
  while (!Failure && !From.is_done()) {
    From.next(Failure, [&](ErrorCode &, const auto &Buffers) {
      std::size_t Count = 0;
      for (auto Buffer : beast::buffers_range_ref(Buffers)) {
        Bytes.append(static_cast<const char *>(Buffer.data()), Buffer.size());
        Count += Buffer.size();
      }
      From.consume(Count);
    });
  }
  return Bytes;
}

} // namespace

struct HttpRequestReader::State {
  http::request_parser<http::string_body> Parser;
};

HttpRequestReader::HttpRequestReader(const HttpLimits &Limits)
    : Impl(std::make_unique<State>()) {
  this->Impl->Parser.eager(true);
  this->Impl->Parser.header_limit(Limits.Header);
  this->Impl->Parser.body_limit(Limits.Body);
}

HttpRequestReader::~HttpRequestReader() = default;
HttpRequestReader::HttpRequestReader(HttpRequestReader &&) noexcept = default;
HttpRequestReader &
HttpRequestReader::operator=(HttpRequestReader &&) noexcept = default;

Outcome<std::size_t> HttpRequestReader::feed(std::string_view Bytes) {
  return feedParser(this->Impl->Parser, Bytes);
}

bool HttpRequestReader::done() const { return this->Impl->Parser.is_done(); }

bool HttpRequestReader::keepAlive() const {
  return this->Impl->Parser.get().keep_alive();
}

HttpRequest HttpRequestReader::take() {
  auto Message = this->Impl->Parser.release();
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  Request.Host = std::string(Message[http::field::host]);
  Request.Authorization = std::string(Message[http::field::authorization]);
  Request.Body = std::move(Message.body());
  return Request;
}

struct HttpReplyReader::State {
  http::response_parser<http::string_body> Parser;
};

HttpReplyReader::HttpReplyReader(const HttpLimits &Limits)
    : Impl(std::make_unique<State>()) {
  this->Impl->Parser.eager(true);
  this->Impl->Parser.header_limit(Limits.Header);
  this->Impl->Parser.body_limit(Limits.Body);
}

HttpReplyReader::~HttpReplyReader() = default;

Outcome<std::size_t> HttpReplyReader::feed(std::string_view Bytes) {
  return feedParser(this->Impl->Parser, Bytes);
}

bool HttpReplyReader::done() const { return this->Impl->Parser.is_done(); }

bool HttpReplyReader::keepAlive() const {
  return this->Impl->Parser.get().keep_alive();
}

unsigned HttpReplyReader::status() const {
  bool HeaderDone = this->Impl->Parser.is_header_done();
  return HeaderDone ? this->Impl->Parser.get().result_int() : 0;
}

std::vector<HttpField> HttpReplyReader::fields() const {
  std::vector<HttpField> Fields;
  for (const auto &Each : this->Impl->Parser.get())
    Fields.push_back({.Name = std::string(Each.name_string()),
                      .Value = std::string(Each.value())});
  return Fields;
}

std::string HttpReplyReader::takeBody() {
  return std::exchange(this->Impl->Parser.get().body(), std::string());
}

std::string formatRequest(const HttpRequest &Request) {
  http::request<http::string_body> Message;
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  Message.set(http::field::host, Request.Host);
  if (!Request.Authorization.empty())
    Message.set(http::field::authorization, Request.Authorization);
  for (const HttpField &Each : Request.Fields)
    Message.set(Each.Name, Each.Value);
  Message.set(http::field::content_type, "application/json");
  Message.keep_alive(true);
  Message.body() = Request.Body;
  Message.prepare_payload();
  http::request_serializer<http::string_body> Serializer(Message);
  return drain(Serializer);
}

std::string formatReply(const HttpReply &Reply, bool KeepAlive) {
  http::response<http::string_body> Message;
  Message.result(Reply.Status);
  Message.set(http::field::content_type, Reply.ContentType);
  for (const HttpField &Each : Reply.Fields)
    Message.set(Each.Name, Each.Value);
  if (Reply.RetryAfter) {
    auto Seconds = std::chrono::ceil<std::chrono::seconds>(*Reply.RetryAfter);
    Message.set(http::field::retry_after, std::to_string(Seconds.count()));
  }
  Message.keep_alive(KeepAlive);
  Message.body() = Reply.Body;
  Message.prepare_payload();
  http::response_serializer<http::string_body> Serializer(Message);
  return drain(Serializer);
}

std::string formatStreamBegin(const HttpReply &Reply) {
  http::response<http::empty_body> Message;
  Message.result(Reply.Status);
  Message.set(http::field::content_type, Reply.ContentType);
  Message.chunked(true);
  Message.keep_alive(false);
  http::response_serializer<http::empty_body> Serializer(Message);
  Serializer.split(true);
  std::string Bytes;
  ErrorCode Failure;
  Serializer.next(Failure, [&](ErrorCode &, const auto &Buffers) {
    for (auto Buffer : beast::buffers_range_ref(Buffers))
      Bytes.append(static_cast<const char *>(Buffer.data()), Buffer.size());
  });
  return Bytes;
}

std::string formatStreamChunk(std::string_view Data) {
  std::string Bytes;
  auto Chunk = http::make_chunk(boost::asio::buffer(Data.data(), Data.size()));
  for (auto Buffer : beast::buffers_range_ref(Chunk))
    Bytes.append(static_cast<const char *>(Buffer.data()), Buffer.size());
  return Bytes;
}

std::string formatStreamEnd() {
  std::string Bytes;
  auto Last = http::make_chunk_last();
  for (auto Buffer : beast::buffers_range_ref(Last))
    Bytes.append(static_cast<const char *>(Buffer.data()), Buffer.size());
  return Bytes;
}

} // namespace turmericpitch
