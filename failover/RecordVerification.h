// Verifies the primary records after the store was restored from an older copy.
#pragma once

#include "core/Time.h"
#include "failover/GrantorSet.h"
#include "failover/LeaseMessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmericpitch {

struct RecordVerificationOptions {
  /// Time after which an order of the era before has taken effect or can't any
  /// more: 0.3 s until it is sent, 1 s for the call, 1 s until the member is
  /// primary.
  Duration OrderTimeout = std::chrono::milliseconds(3000);
  /// Time after which no lease of the era before is in use, whoever granted it.
  Duration LeaseTimeout = std::chrono::milliseconds(16'300);
};

/// How much is known of the promises in the era before.
enum class VerificationStatus : std::uint8_t {
  /// More replies or time are needed.
  Waiting,
  /// A majority of the grantors remember their promises: all changes of primary
  /// that may have led to a promotion are known.
  Complete,
  /// Promises may be forgotten, but none is still in use and no order is on its
  /// way. A failover finds out which member is the primary.
  Unknown,
};

/// Collects what the grantors know, and derives the records from it. A record
/// of the copy alone proves nothing: a promotion may have followed that the
/// copy lacks. Pure; not thread-safe.
class RecordVerification {
public:
  /// Set: the newest known grantor set of the era before. SeenAt: when this
  /// instance first saw the new era.
  RecordVerification(StoreEra Era, GrantorSet Set, TimePoint SeenAt,
                     RecordVerificationOptions Options = {});

  /// Records one part of a grantor's reply.
  void onReply(const Grantor &From, const LeaseReply &Reply);
  [[nodiscard]] VerificationStatus status(TimePoint Now) const;
  /// The records to write, given those that the copy holds. Open records that
  /// are certain stay open; the others are left to a failover. Precondition:
  /// status() is not Waiting.
  [[nodiscard]] std::vector<PrimaryRecord>
  verified(const std::vector<PrimaryRecord> &Copy, TimePoint Now) const;
  [[nodiscard]] StoreEra era() const { return this->Era; }
  [[nodiscard]] const GrantorSet &grantors() const { return this->Set; }

private:
  /// What is known of one service.
  struct KnownService {
    PrimaryRecord Newest;
    /// The newest closing that a grantor consented to.
    Revision ConsentedTo;
  };
  struct Progress {
    std::set<std::uint8_t> Parts;
    bool Remembers = true;
  };

  StoreEra Era;
  GrantorSet Set;
  TimePoint SeenAt;
  RecordVerificationOptions Options;
  std::map<Grantor, Progress> Replies;
  std::set<Grantor> Replied;
  std::set<Grantor> Remembering;
  std::map<ServiceId, KnownService> Known;
};

} // namespace turmericpitch
