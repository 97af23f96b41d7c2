#include "drivers/MemberClient.h"

#include "drivers/MemberCodec.h"

namespace turmericpitch {

namespace {

constexpr unsigned HttpOk = 200;

} // namespace

Awaitable<Outcome<std::shared_ptr<MemberConnection>>>
MemberConnection::open(Executor Exec, Endpoint Member, Duration Timeout) {
  auto Opened = co_await HttpConnection::open(Exec, Member, Timeout);
  if (!Opened)
    co_return Opened.error();
  co_return std::make_shared<MemberConnection>(Opened.value(), Member);
}

Awaitable<Outcome<MemberAnswer>> MemberConnection::call(MemberRequest Request,
                                                        Duration Timeout) {
  RequestId Expected = requestIdOf(Request);
  EncodedMemberRequest Encoded = encodeMemberRequest(Request);
  HttpRequest Message;
  Message.Target = std::move(Encoded.Target);
  Message.Host = toString(this->Member);
  Message.Body = std::move(Encoded.Body);
  auto Reply = co_await this->Http->exchange(std::move(Message), Timeout);
  if (!Reply)
    co_return Reply.error();
  bool Reusable = false;
  auto Answer = decodeMemberReply(Expected, Reply.value().Status == HttpOk,
                                  Reply.value().Body, Reusable);
  // After a late reply or a reply to another request, further replies on this
  // connection can't be matched to their requests.
  if (!Reusable)
    this->close();
  co_return Answer;
}

} // namespace turmericpitch
