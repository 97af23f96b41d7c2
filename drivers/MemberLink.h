// A session of the proxy's own at a member.
#pragma once

#include "drivers/LineConnection.h"
#include "platform/SessionLines.h"
#include "routing/MemberRegistry.h"

#include <boost/asio/steady_timer.hpp>
#include <optional>

namespace turmericpitch {

/// How an attempt to open a link ended.
enum class LinkOpening : std::uint8_t {
  Opened,
  /// The member holds as many connections as it may.
  RefusedAtLimit,
  /// Another member answers at the address.
  WrongMember,
  /// Connected, and ended before the session was open: what a member at its
  /// limit looks like when its refusal is lost.
  EndedEarly,
  /// Nothing listens at the address.
  ConnectionRefused,
  Unreachable,
};

/// The cause's stable name in the decision log. Thread-safe.
std::string_view toString(LinkOpening Result);

/// One connection to a member; carries one statement at a time. Belongs to
/// one thread's executor.
class MemberLink : public std::enable_shared_from_this<MemberLink> {
public:
  using OpenHandler = std::function<void(LinkOpening)>;
  /// The whole reply, or why none came: NotRun if the statement was not
  /// sent, else OutcomeUnknown.
  using ReplyHandler = std::function<void(Outcome<StatementReply>)>;

  MemberLink(const boost::asio::any_io_executor &Exec, RegisteredMember Member);
  ~MemberLink();
  MemberLink(const MemberLink &) = delete;
  MemberLink &operator=(const MemberLink &) = delete;

  /// Connects and opens the session; call once. OnOpened runs once, later.
  void open(Duration Timeout, OpenHandler OnOpened);
  /// Sends one statement. Precondition: idle().
  void run(std::string Bytes, ReplyHandler OnReply);
  /// Ends the link; the member rolls back. A statement under way ends as of
  /// unknown outcome, later.
  void close();
  /// Ends the link and forgets its handlers: none runs any more. For the end
  /// of the process.
  void drop();

  /// Open and with no statement under way.
  [[nodiscard]] bool idle() const;
  [[nodiscard]] bool usable() const;
  [[nodiscard]] const RegisteredMember &member() const { return this->Member; }
  /// Values and prepared statements that the member holds for this link.
  ConnectionState SetupState;
  /// Held by the pool, not by a statement or transaction.
  bool Pooled = false;
  /// When the link was last given back.
  TimePoint IdleSince;
  /// The transaction as the member's last reply states it.
  [[nodiscard]] TransactionStatus transactionStatus() const {
    return this->Transaction;
  }
  /// The log position in the reply that opened the link.
  [[nodiscard]] const std::optional<TermPosition> &openedAt() const {
    return this->OpenedAt;
  }

private:
  void onLine(std::string_view Line);
  void onReply(StatementReply Reply);
  void onEnd();
  void deliverReply(Outcome<StatementReply> Reply);
  void finishOpening(LinkOpening Result);

  RegisteredMember Member;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer OpenTimer;
  std::shared_ptr<LineConnection> Lines;
  MemberReplyReader Reader;
  OpenHandler OnOpened;
  ReplyHandler PendingReply;
  TransactionStatus Transaction = TransactionStatus::None;
  std::optional<TermPosition> OpenedAt;
  bool Ready = false;
  bool Closed = false;
};

} // namespace turmericpitch
