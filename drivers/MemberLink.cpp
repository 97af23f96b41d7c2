#include "drivers/MemberLink.h"

#include "core/DecisionLog.h"

#include <boost/asio/post.hpp>

namespace turmericpitch {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

std::string_view toString(LinkOpening Result) {
  switch (Result) {
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

MemberLink::MemberLink(const asio::any_io_executor &Exec,
                       RegisteredMember Member, ClientAccountId Account)
    : Member(std::move(Member)), Account(std::move(Account)), Socket(Exec),
      OpenTimer(Exec) {}

MemberLink::~MemberLink() {
  if (this->Connection)
    this->Connection->close();
}

bool MemberLink::usable() const { return this->Ready && !this->Closed; }

bool MemberLink::idle() const { return this->usable() && !this->PendingReply; }

void MemberLink::open(Duration Timeout, OpenHandler OnOpened) {
  this->OnOpened = std::move(OnOpened);
  this->OpenTimer.expires_after(Timeout);
  this->OpenTimer.async_wait(
      [Weak = this->weak_from_this()](const ErrorCode &Failure) {
        auto Self = Weak.lock();
        if (!Failure && Self)
          Self->finishOpening(LinkOpening::Unreachable);
      });
  asio::ip::tcp::endpoint Peer(
      asio::ip::make_address(this->Member.Where.Address),
      this->Member.Where.Port);
  this->Socket.async_connect(
      Peer, [Self = this->shared_from_this()](const ErrorCode &Failure) {
        if (Failure == asio::error::connection_refused)
          return Self->finishOpening(LinkOpening::ConnectionRefused);
        if (Failure || Self->Closed)
          return Self->finishOpening(LinkOpening::Unreachable);
        Self->Connection = std::make_shared<LineConnection>(
            std::move(Self->Socket), LineConnectionOptions{});
        std::weak_ptr<MemberLink> Weak = Self;
        Self->Connection->start(
            [Weak](std::string_view Line) {
              if (auto Link = Weak.lock())
                Link->onLine(Line);
            },
            [Weak](const std::string &) {
              if (auto Link = Weak.lock())
                Link->onEnd();
            });
        auto Startup = encodeMemberStartup(Self->Member.Service, Self->Account,
                                           Self->Member.Id);
        if (Startup)
          return Self->Connection->send(Startup.value());
        writeWarning(
            "event=link_not_opened member=" + logValue(Self->Member.Id.Value) +
            " reason=" + logValue(Startup.error().Message));
        Self->finishOpening(LinkOpening::Unreachable);
      });
}

void MemberLink::finishOpening(LinkOpening Result) {
  if (!this->OnOpened)
    return;
  OpenHandler Handle = std::move(this->OnOpened);
  this->OnOpened = nullptr;
  this->OpenTimer.cancel();
  this->Ready = Result == LinkOpening::Opened;
  if (!this->Ready)
    this->close();
  Handle(Result);
}

void MemberLink::onLine(std::string_view Line) {
  if (this->Closed)
    return;
  // A member refuses to open a session with a single error line, and then
  // closes the connection.
  auto Decoded = toOutcome([&] { return this->Reader.feed(Line); });
  if (!Decoded) {
    writeWarning(
        "event=member_reply_refused member=" + logValue(this->Member.Id.Value) +
        " reason=" + logValue(Decoded.error().Message));
    return this->onEnd();
  }
  if (this->OnOpened && !Decoded.value() && this->Reader.failure()) {
    ReplyError Code = this->Reader.failure()->Code;
    if (Code == ReplyError::TooManyConnections)
      return this->finishOpening(LinkOpening::RefusedAtLimit);
    return this->finishOpening(Code == ReplyError::WrongMember
                                   ? LinkOpening::WrongMember
                                   : LinkOpening::Unreachable);
  }
  if (Decoded.value())
    this->onReply(std::move(*Decoded.value()));
}

void MemberLink::onReply(StatementReply Reply) {
  this->Transaction = Reply.Transaction;
  if (this->OnOpened) {
    this->OpenedAt = Reply.Position;
    return this->finishOpening(LinkOpening::Opened);
  }
  // An unexpected reply can't be matched to a statement, as it may belong to an
  // earlier one.
  if (!this->PendingReply)
    return this->onEnd();
  this->deliverReply(std::move(Reply));
}

void MemberLink::run(const ClientAccountId &Account, const ProtocolLines &Line,
                     ReplyHandler OnReply) {
  if (Account == this->Account)
    return this->runOwn(Line, std::move(OnReply));
  writeDecision(DecisionLine("link_of_other_account")
                    .field("member", this->Member.Id.Value)
                    .field("account", Account.Value)
                    .field("link_account", this->Account.Value));
  this->PendingReply = std::move(OnReply);
  this->close();
}

void MemberLink::runOwn(const ProtocolLines &Line, ReplyHandler OnReply) {
  this->PendingReply = std::move(OnReply);
  this->Connection->send(Line);
}

void MemberLink::deliverReply(Outcome<StatementReply> Reply) {
  ReplyHandler Handle = std::move(this->PendingReply);
  this->PendingReply = nullptr;
  if (Handle)
    Handle(std::move(Reply));
}

void MemberLink::onEnd() {
  this->finishOpening(LinkOpening::EndedEarly);
  if (this->Closed)
    return;
  this->close();
}

void MemberLink::drop() {
  // The handlers may own this link.
  auto Self = this->shared_from_this();
  ReplyHandler DroppedReply = std::move(this->PendingReply);
  OpenHandler DroppedOpening = std::move(this->OnOpened);
  this->PendingReply = nullptr;
  this->OnOpened = nullptr;
  this->close();
}

void MemberLink::close() {
  if (this->Closed)
    return;
  this->Closed = true;
  ErrorCode Ignored;
  this->Socket.close(Ignored);
  if (this->Connection)
    this->Connection->close();
  if (!this->PendingReply)
    return;
  asio::post(this->OpenTimer.get_executor(), [Self = this->shared_from_this()] {
    Self->deliverReply(Error{
        .Kind = ErrorKind::OutcomeUnknown,
        .Message =
            "the connection to the member closed before its reply arrived",
        .Remedy = "check whether it was executed before sending it again"});
  });
}

} // namespace turmericpitch
