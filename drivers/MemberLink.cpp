#include "drivers/MemberLink.h"

#include <boost/asio/post.hpp>

namespace turmericpitch {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

std::string_view toString(LinkOpening How) {
  switch (How) {
  case LinkOpening::Opened:
    return "opened";
  case LinkOpening::RefusedAtLimit:
    return "refused_at_limit";
  case LinkOpening::WrongMember:
    return "wrong_member";
  case LinkOpening::EndedEarly:
    return "ended_early";
  case LinkOpening::ConnectionRefused:
    return "connection_refused";
  case LinkOpening::Unreachable:
    break;
  }
  return "unreachable";
}

MemberLink::MemberLink(const asio::any_io_executor &On, RegisteredMember To)
    : To(std::move(To)), Connecting(On), OpenTimer(On) {}

MemberLink::~MemberLink() {
  if (this->Lines)
    this->Lines->close();
}

bool MemberLink::usable() const { return this->Ready && !this->Closed; }

bool MemberLink::idle() const { return this->usable() && !this->Waiting; }

void MemberLink::open(Duration Limit, OpenHandler OnOpened) {
  this->OnOpened = std::move(OnOpened);
  this->OpenTimer.expires_after(Limit);
  this->OpenTimer.async_wait(
      [Weak = this->weak_from_this()](const ErrorCode &Failure) {
        auto Self = Weak.lock();
        if (!Failure && Self)
          Self->concludeOpening(LinkOpening::Unreachable);
      });
  asio::ip::tcp::endpoint Peer(asio::ip::make_address(this->To.Where.Address),
                               this->To.Where.Port);
  this->Connecting.async_connect(
      Peer, [Self = this->shared_from_this()](const ErrorCode &Failure) {
        if (Failure == asio::error::connection_refused)
          return Self->concludeOpening(LinkOpening::ConnectionRefused);
        if (Failure || Self->Closed)
          return Self->concludeOpening(LinkOpening::Unreachable);
        Self->Lines = std::make_shared<LineConnection>(
            std::move(Self->Connecting), LineConnectionOptions{});
        std::weak_ptr<MemberLink> Weak = Self;
        Self->Lines->start(
            [Weak](std::string_view Line) {
              if (auto Link = Weak.lock())
                Link->onLine(Line);
            },
            [Weak](const std::string &) {
              if (auto Link = Weak.lock())
                Link->onEnd();
            });
        Self->Lines->send(encodeMemberStartup(Self->To.Service, Self->To.Id));
      });
}

void MemberLink::concludeOpening(LinkOpening How) {
  if (!this->OnOpened)
    return;
  OpenHandler Handle = std::move(this->OnOpened);
  this->OnOpened = nullptr;
  this->OpenTimer.cancel();
  this->Ready = How == LinkOpening::Opened;
  if (!this->Ready)
    this->close();
  Handle(How);
}

void MemberLink::onLine(std::string_view Line) {
  if (this->Closed)
    return;
  // A refusal to open is a lone error line; the member then closes.
  auto Fed = toOutcome([&] { return this->Reader.feed(Line); });
  if (!Fed)
    return this->onEnd();
  if (this->OnOpened && !Fed.value() && this->Reader.failure()) {
    ReplyError Code = this->Reader.failure()->Code;
    if (Code == ReplyError::TooManyConnections)
      return this->concludeOpening(LinkOpening::RefusedAtLimit);
    return this->concludeOpening(Code == ReplyError::WrongMember
                                     ? LinkOpening::WrongMember
                                     : LinkOpening::Unreachable);
  }
  if (Fed.value())
    this->onReply(std::move(*Fed.value()));
}

void MemberLink::onReply(StatementReply Reply) {
  this->Transaction = Reply.Transaction;
  if (this->OnOpened) {
    this->OpenedAt = Reply.Position;
    return this->concludeOpening(LinkOpening::Opened);
  }
  // A reply that nothing asked for can't be told from a late one.
  if (!this->Waiting)
    return this->onEnd();
  this->conclude(std::move(Reply));
}

void MemberLink::run(std::string Bytes, ReplyHandler OnReply) {
  this->Waiting = std::move(OnReply);
  this->Lines->send(std::move(Bytes));
}

void MemberLink::conclude(Outcome<StatementReply> Reply) {
  ReplyHandler Handle = std::move(this->Waiting);
  this->Waiting = nullptr;
  if (Handle)
    Handle(std::move(Reply));
}

void MemberLink::onEnd() {
  this->concludeOpening(LinkOpening::EndedEarly);
  if (this->Closed)
    return;
  this->close();
}

void MemberLink::drop() {
  // They may hold this link.
  auto Self = this->shared_from_this();
  ReplyHandler ForgottenReply = std::move(this->Waiting);
  OpenHandler ForgottenOpening = std::move(this->OnOpened);
  this->Waiting = nullptr;
  this->OnOpened = nullptr;
  this->close();
}

void MemberLink::close() {
  if (this->Closed)
    return;
  this->Closed = true;
  ErrorCode Ignored;
  this->Connecting.close(Ignored);
  if (this->Lines)
    this->Lines->close();
  if (!this->Waiting)
    return;
  asio::post(this->OpenTimer.get_executor(), [Self = this->shared_from_this()] {
    Self->conclude(Error{.Kind = ErrorKind::OutcomeUnknown,
                         .Message = "the member's connection ended",
                         .Remedy = "look before sending it again"});
  });
}

} // namespace turmericpitch
