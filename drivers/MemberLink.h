// A session of the proxy at a member.
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
  /// The member has reached its connection limit.
  RefusedAtLimit,
  /// A different member answered at the address.
  WrongMember,
  /// The connection closed before the session was open. This also happens if
  /// the refusal of a member at its connection limit is lost.
  EndedEarly,
  /// No process listens at the address.
  ConnectionRefused,
  Unreachable,
};

/// The result's stable name in the decision log. Thread-safe.
std::string_view toString(LinkOpening Result);

/// A connection to a member, opened for one client account, that runs one
/// statement at a time. Not thread-safe: use only on the thread of its
/// executor.
class MemberLink : public std::enable_shared_from_this<MemberLink> {
public:
  using OpenHandler = std::function<void(LinkOpening)>;
  /// Gets the complete reply, or OutcomeUnknown if the link ended before it
  /// arrived.
  using ReplyHandler = std::function<void(Outcome<StatementReply>)>;

  /// Account: the only one whose statements it carries; an empty name for
  /// sessions without an account.
  MemberLink(const boost::asio::any_io_executor &Exec, RegisteredMember Member,
             ClientAccountId Account);
  ~MemberLink();
  MemberLink(const MemberLink &) = delete;
  MemberLink &operator=(const MemberLink &) = delete;

  /// Connects and opens the session. Call once. OnOpened runs once,
  /// asynchronously.
  void open(Duration Timeout, OpenHandler OnOpened);
  /// Sends one statement of Account's session. If the link was opened for
  /// another account, it sends nothing and closes. Precondition: idle().
  void run(const ClientAccountId &Account, const ProtocolLines &Line,
           ReplyHandler OnReply);
  /// Sends a query of this instance that belongs to no account, such as a
  /// status query. Precondition: idle().
  void runOwn(const ProtocolLines &Line, ReplyHandler OnReply);
  /// Closes the link; the member rolls back an open transaction. A running
  /// statement ends asynchronously with OutcomeUnknown.
  void close();
  /// Closes the link without calling its handlers. For process shutdown.
  void drop();

  /// Whether the session is open and no statement is running.
  [[nodiscard]] bool idle() const;
  /// Whether the session is open.
  [[nodiscard]] bool usable() const;
  [[nodiscard]] const RegisteredMember &member() const { return this->Member; }
  [[nodiscard]] const ClientAccountId &account() const { return this->Account; }
  /// Session values and prepared statements set at the member on this link.
  ConnectionState SetupState;
  /// Whether the link is in the pool, not in use by a statement or transaction.
  bool Pooled = false;
  /// Whether the link was taken from the pool before.
  bool Reused = false;
  /// When the link was last released to the pool.
  TimePoint IdleSince;
  /// The transaction status from the member's last reply.
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
  ClientAccountId Account;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer OpenTimer;
  std::shared_ptr<LineConnection> Connection;
  MemberReplyReader Reader;
  OpenHandler OnOpened;
  ReplyHandler PendingReply;
  TransactionStatus Transaction = TransactionStatus::None;
  std::optional<TermPosition> OpenedAt;
  bool Ready = false;
  bool Closed = false;
};

} // namespace turmericpitch
