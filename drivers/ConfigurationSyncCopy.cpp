#include "drivers/ConfigurationSyncCopy.h"

#include "core/Digest.h"
#include "drivers/HttpConnection.h"

#include <algorithm>
#include <charconv>
#include <random>

namespace turmericpitch {

namespace {

constexpr std::string_view CopyTarget = "/v1/configuration/";
constexpr std::string_view Scheme = "Peer ";
constexpr std::size_t SignatureLength = 32;
constexpr unsigned HttpOk = 200;
constexpr Duration ConnectLimit = std::chrono::milliseconds(500);
constexpr Duration FetchLimit = std::chrono::seconds(3);
constexpr Duration Window = std::chrono::seconds(1);
constexpr std::size_t BytesPerWindow = 8 * 1024 * 1024;

Error refused(ErrorKind Kind, std::string Message) {
  return {.Kind = Kind,
          .Message = std::move(Message),
          .Remedy = "check the peers' keys and versions"};
}

std::string makeNonce() {
  std::random_device Device;
  return std::to_string(Device()) + "-" + std::to_string(Device());
}

} // namespace

std::string CopyAuthenticator::sign(std::string_view Data) const {
  return hmacSha256(this->Keys.front().Secret, Data);
}

bool CopyAuthenticator::genuine(std::string_view Data,
                                std::string_view Signature) const {
  return std::any_of(
      this->Keys.begin(), this->Keys.end(), [&](const PeerKey &Key) {
        return equalInConstantTime(hmacSha256(Key.Secret, Data), Signature);
      });
}

HttpRequest CopyAuthenticator::makeRequest(TicketNumber After,
                                           const std::string &Nonce) const {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Target =
      std::string(CopyTarget) + std::to_string(After.Value) + "/" + Nonce;
  Request.Authorization =
      std::string(Scheme) + encodeBase64(this->sign(Request.Target));
  return Request;
}

Outcome<TicketNumber>
CopyAuthenticator::checkRequest(const HttpRequest &Request) const {
  std::string_view Given = Request.Authorization;
  bool Known =
      Given.starts_with(Scheme) &&
      this->genuine(Request.Target, decodeBase64(Given.substr(Scheme.size())));
  if (!Known)
    return refused(ErrorKind::Forbidden,
                   "copy not requested with a known peer key");
  std::string_view Target = Request.Target;
  std::uint64_t After = 0;
  if (!Target.starts_with(CopyTarget))
    return refused(ErrorKind::BadRequest, "unknown path");
  Target.remove_prefix(CopyTarget.size());
  auto [Stop, Problem] =
      std::from_chars(Target.data(), Target.data() + Target.size(), After);
  if (Problem != std::errc{} || Stop == Target.data() + Target.size())
    return refused(ErrorKind::BadRequest, "not a ticket number and nonce");
  return TicketNumber{After};
}

HttpReply CopyAuthenticator::makeReply(const HttpRequest &Request,
                                       const ConfigurationChange &Copy) const {
  HttpReply Reply;
  std::string Body = encodeMessage(Copy);
  Reply.Body = this->sign(Request.Target + "\n" + Body) + Body;
  Reply.ContentType = "application/octet-stream";
  return Reply;
}

Outcome<ConfigurationChange>
CopyAuthenticator::checkReply(const HttpRequest &Request,
                              const HttpReply &Reply) const {
  if (Reply.Status != HttpOk)
    return refused(ErrorKind::Unavailable, "the peer gave no copy");
  bool Sized = Reply.Body.size() > SignatureLength &&
               Reply.Body.size() <= MaximumCopyBytes;
  std::string_view Signature =
      std::string_view(Reply.Body).substr(0, SignatureLength);
  std::string Body = Sized ? Reply.Body.substr(SignatureLength) : std::string();
  if (!Sized || !this->genuine(Request.Target + "\n" + Body, Signature))
    return refused(ErrorKind::Forbidden, "copy not signed by a known peer key");
  auto Message = toOutcome([&] { return decodeMessage(Body); });
  if (!Message)
    return Message.error();
  auto *Copy = std::get_if<ConfigurationChange>(&Message.value());
  if (!Copy)
    return refused(ErrorKind::BadRequest, "the peer's copy is none");
  return std::move(*Copy);
}

bool ConfigurationCopyApi::admit(std::size_t Bytes) {
  std::lock_guard Lock(this->Guard);
  TimePoint Now = this->Time.now();
  if (Now - this->WindowBegan >= Window) {
    this->WindowBegan = Now;
    this->WindowBytes = 0;
  }
  // The first copy of a window is served whatever its size.
  if (this->WindowBytes > 0 && this->WindowBytes + Bytes > BytesPerWindow)
    return false;
  this->WindowBytes += Bytes;
  return true;
}

Awaitable<HttpReply> ConfigurationCopyApi::handle(HttpRequest Request) {
  auto After = this->Authenticator->checkRequest(Request);
  if (!After)
    co_return replyWith(After.error());
  SharedConfiguration Present = this->Controller->current();
  if (!Present)
    co_return replyWith(
        refused(ErrorKind::Unavailable, "no configuration here yet"));
  ConfigurationChange Copy = Present->changesAfter(After.value());
  HttpReply Reply = this->Authenticator->makeReply(Request, Copy);
  if (this->admit(Reply.Body.size()))
    co_return Reply;
  Error Busy = refused(ErrorKind::Overloaded, "too many copies at once");
  Busy.RetryAfter = Window;
  co_return replyWith(Busy);
}

Awaitable<Outcome<ConfigurationChange>>
fetchCopy(Executor On, std::shared_ptr<const CopyAuthenticator> Authenticator,
          Endpoint From, TicketNumber After) {
  auto Opened = co_await HttpConnection::open(On, From, ConnectLimit);
  if (!Opened)
    co_return Opened.error();
  HttpRequest Request = Authenticator->makeRequest(After, makeNonce());
  Request.Host = toString(From);
  HttpRequest Sent = Request;
  auto Reply = co_await Opened.value()->exchange(std::move(Sent), FetchLimit);
  if (!Reply)
    co_return Reply.error();
  co_return Authenticator->checkReply(Request, Reply.value());
}

} // namespace turmericpitch
