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
constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration FetchTimeout = std::chrono::seconds(3);
constexpr Duration Window = std::chrono::seconds(1);
constexpr std::size_t BytesPerWindow = 8 * 1024 * 1024;

Error refused(ErrorKind Kind, std::string Message) {
  return {.Kind = Kind,
          .Message = std::move(Message),
          .Remedy =
              "check that all instances have the same peer keys and version"};
}

std::string makeNonce() {
  std::random_device Device;
  return std::to_string(Device()) + "-" + std::to_string(Device());
}

} // namespace

std::string CopyAuthenticator::sign(std::string_view Data) const {
  return hmacSha256(this->Keys.front().Secret, Data);
}

bool CopyAuthenticator::verifySignature(std::string_view Data,
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
  std::string_view Authorization = Request.Authorization;
  bool Authentic =
      Authorization.starts_with(Scheme) &&
      this->verifySignature(Request.Target,
                            decodeBase64(Authorization.substr(Scheme.size())));
  if (!Authentic)
    return refused(
        ErrorKind::Forbidden,
        "configuration copy request not signed with a known peer key");
  std::string_view Target = Request.Target;
  std::uint64_t After = 0;
  if (!Target.starts_with(CopyTarget))
    return refused(ErrorKind::BadRequest,
                   "unknown path in a configuration copy request");
  Target.remove_prefix(CopyTarget.size());
  auto [Stop, Problem] =
      std::from_chars(Target.data(), Target.data() + Target.size(), After);
  if (Problem != std::errc{} || Stop == Target.data() + Target.size())
    return refused(ErrorKind::BadRequest,
                   "the path does not end in a ticket number and a nonce");
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
    return refused(ErrorKind::Unavailable,
                   "the peer sent no configuration copy");
  bool ValidSize = Reply.Body.size() > SignatureLength &&
                   Reply.Body.size() <= MaximumCopyBytes;
  std::string_view Signature =
      std::string_view(Reply.Body).substr(0, SignatureLength);
  std::string Body =
      ValidSize ? Reply.Body.substr(SignatureLength) : std::string();
  if (!ValidSize ||
      !this->verifySignature(Request.Target + "\n" + Body, Signature))
    return refused(
        ErrorKind::Forbidden,
        "configuration copy has an invalid size or is not signed with a "
        "known peer key");
  auto Message = toOutcome([&] { return decodeMessage(Body); });
  if (!Message)
    return Message.error();
  auto *Copy = std::get_if<ConfigurationChange>(&Message.value());
  if (!Copy)
    return refused(ErrorKind::BadRequest,
                   "the peer's reply is not a configuration copy");
  return std::move(*Copy);
}

bool ConfigurationCopyApi::admit(std::size_t Bytes) {
  std::lock_guard Lock(this->Mutex);
  TimePoint Now = this->Time.now();
  if (Now - this->WindowBegan >= Window) {
    this->WindowBegan = Now;
    this->WindowBytes = 0;
  }
  // The first copy of a window is served regardless of its size, so that a
  // copy larger than the budget can be served at all.
  if (this->WindowBytes > 0 && this->WindowBytes + Bytes > BytesPerWindow)
    return false;
  this->WindowBytes += Bytes;
  return true;
}

Awaitable<HttpReply> ConfigurationCopyApi::handle(HttpRequest Request) {
  auto After = this->Authenticator->checkRequest(Request);
  if (!After)
    co_return replyWith(After.error());
  SharedConfiguration Current = this->Controller->current();
  if (!Current)
    co_return replyWith(refused(ErrorKind::Unavailable,
                                "this instance has no configuration yet"));
  ConfigurationChange Copy = Current->changesAfter(After.value());
  HttpReply Reply = this->Authenticator->makeReply(Request, Copy);
  if (this->admit(Reply.Body.size()))
    co_return Reply;
  Error Busy = refused(ErrorKind::Overloaded,
                       "configuration copies exceed the byte limit per second");
  Busy.RetryAfter = Window;
  co_return replyWith(Busy);
}

Awaitable<Outcome<ConfigurationChange>>
fetchCopy(Executor Exec, std::shared_ptr<const CopyAuthenticator> Authenticator,
          Endpoint From, TicketNumber After) {
  auto Opened = co_await HttpConnection::open(Exec, From, ConnectTimeout);
  if (!Opened)
    co_return Opened.error();
  HttpRequest Request = Authenticator->makeRequest(After, makeNonce());
  Request.Host = toString(From);
  HttpRequest Sent = Request;
  auto Reply = co_await Opened.value()->exchange(std::move(Sent), FetchTimeout);
  if (!Reply)
    co_return Reply.error();
  co_return Authenticator->checkReply(Request, Reply.value());
}

} // namespace turmericpitch
