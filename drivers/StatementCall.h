// One statement on its way through the proxy.
#pragma once

#include "configuration/RouteTable.h"
#include "drivers/MemberLink.h"
#include "limits/WaitQueue.h"
#include "session/SessionState.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace turmericpitch {

class MemberLinkPool;

/// What the parts of the proxy share about one caller's session.
struct SessionContext {
  SessionState State;
  /// Who opened it, in the caller's own words; for the log only.
  std::string User;
  /// The route of the present operation.
  RouteRule Route;
  /// The link that carries the open transaction, if one does.
  std::shared_ptr<MemberLink> Pinned;
  std::shared_ptr<MemberLinkPool> PinnedPool;
  /// The reign that the transaction's primary belongs to; 0 at a replica.
  std::uint64_t PinnedEpoch = 0;
};

/// Not thread-safe.
struct StatementCall {
  using ReplyHandler = std::function<void(StatementReply)>;

  explicit StatementCall(const boost::asio::any_io_executor &Exec)
      : Timer(Exec), HedgeTimer(Exec) {}

  std::shared_ptr<SessionContext> Session;
  Statement Request;
  SchedulingTerms Terms;
  ReplyHandler OnReply;

  /// Only the primary will do.
  bool NeedsPrimary = false;
  /// Running it may have a lasting effect.
  bool LastingEffect = false;
  /// Members tried in vain.
  std::vector<UpstreamId> Excluded;
  std::uint32_t Attempts = 0;
  /// How often the member refused it within its transaction.
  std::uint32_t BusyRefusals = 0;

  /// The present attempt.
  std::shared_ptr<MemberLink> Link;
  std::shared_ptr<MemberLinkPool> Pool;
  std::uint64_t Epoch = 0;
  std::optional<TermPosition> MinPosition;
  std::deque<SessionSetupStep> SetupSteps;
  /// Counted among the statements at the member.
  bool CountedAtMember = false;
  /// The caller's own text is with the member.
  bool StatementSent = false;
  TimePoint SentAt;

  boost::asio::steady_timer Timer;
  /// Runs out when a read should be sent to another member too.
  boost::asio::steady_timer HedgeTimer;
  bool Finished = false;
};

using SharedCall = std::shared_ptr<StatementCall>;

} // namespace turmericpitch
