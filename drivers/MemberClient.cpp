#include "drivers/MemberClient.h"

#include "drivers/MemberCodec.h"

namespace turmericpitch {

namespace {

constexpr unsigned HttpOk = 200;

RequestId requestIdOf(const MemberRequest &Request) {
  return std::visit(
      [](const auto &Each) {
        if constexpr (requires { Each.Id; })
          return Each.Id;
        else
          return RequestId{};
      },
      Request);
}

} // namespace

Awaitable<Outcome<std::shared_ptr<MemberConnection>>>
MemberConnection::open(Executor On, Endpoint To, Duration Limit) {
  auto Opened = co_await HttpConnection::open(On, To, Limit);
  if (!Opened)
    co_return Opened.error();
  co_return std::make_shared<MemberConnection>(Opened.value(), To);
}

Awaitable<Outcome<MemberAnswer>> MemberConnection::call(MemberRequest Request,
                                                        Duration Limit) {
  RequestId Expected = requestIdOf(Request);
  EncodedMemberRequest Encoded = encodeMemberRequest(Request);
  HttpRequest Message;
  Message.Target = std::move(Encoded.Target);
  Message.Host = toString(this->To);
  Message.Body = std::move(Encoded.Body);
  auto Reply = co_await this->Http->exchange(std::move(Message), Limit);
  if (!Reply)
    co_return Reply.error();
  if (Reply.value().Status != HttpOk)
    co_return decodeError(Reply.value().Body);
  auto Answer =
      keepOutcome([&] { return decodeMemberAnswer(Reply.value().Body); });
  if (Answer && Answer.value().Id == Expected)
    co_return Answer;
  // A late or crossed answer: nothing more on this connection can be
  // trusted.
  this->close();
  co_return Error{.Kind = ErrorKind::OutcomeUnknown,
                  .Message = "the member answered another request",
                  .Remedy = "look whether it ran before sending it again"};
}

} // namespace turmericpitch
