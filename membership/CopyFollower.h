// Decides when an instance renews its copy of something that the store holds,
// and from where.
#pragma once

#include "core/Identifiers.h"
#include "core/RandomSource.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace turmericpitch {

/// What an instance tells others about its copy. Immutable value.
struct CopyReport {
  /// The copy's version; increases with each change.
  std::uint64_t Version = 0;
  /// The store held nothing newer than Version this long ago; nothing if the
  /// instance doesn't know, or runs a build that doesn't tell.
  std::optional<Duration> ConfirmedAge = std::nullopt;

  bool operator==(const CopyReport &) const = default;
};

struct CopyFollowerOptions {
  /// Time since the last confirmation after which a copy is checked. Longer
  /// than two query intervals and the reader's interval together, or all
  /// instances would check their copies all the time.
  Duration MaxUnconfirmed = std::chrono::milliseconds(1800);
  /// The same for the instance that reads the store for the others.
  Duration ReaderInterval = std::chrono::milliseconds(1000);
  /// A call that the store has not answered for this long counts as failed for
  /// the decision whether to use another instance's copy.
  Duration StorePatience = std::chrono::milliseconds(200);
  /// Pause before the store is asked again if its newest state was older than
  /// what another instance has reported, as after a restore.
  Duration OlderStorePause = std::chrono::milliseconds(500);
  /// Pause between queries to other instances. After FastQueries of them
  /// without a confirmation or a newer version, it doubles up to MaxQueryPause.
  Duration QueryPause = std::chrono::milliseconds(200);
  std::size_t FastQueries = 8;
  Duration MaxQueryPause = std::chrono::milliseconds(2000);
  /// Number of instances known to hold a newer copy, or time since the first of
  /// them told, after which one of them is asked for it. With more of them to
  /// choose from, many instances that are behind don't all ask the same one.
  std::size_t EnoughHolders = 3;
  Duration HolderWait = std::chrono::milliseconds(150);
  /// How long a holder whose copy could not be had isn't asked again.
  Duration HolderPause = std::chrono::milliseconds(2000);
  /// Pause after a copy could not be had from any holder; doubles up to
  /// MaxCopyPause. Requests that fail for lack of bandwidth would take even
  /// more of it.
  Duration CopyPause = std::chrono::milliseconds(100);
  Duration MaxCopyPause = std::chrono::milliseconds(2000);
  /// A newer version that no instance has reported for this long is given up:
  /// the store may have been restored from an older copy, and the instances
  /// that held the version may be gone.
  Duration ReportLifetime = std::chrono::seconds(10);
};

/// What is due for a copy.
struct CopyActions {
  /// Ask the store for what is newer than the copy.
  bool AskStore = false;
  /// Query some other instances for their versions.
  bool QueryInstances = false;
  /// Get the copy of this instance.
  std::optional<InstanceId> CopyFrom = std::nullopt;

  bool operator==(const CopyActions &) const = default;
};

/// Follows one thing that the store holds, such as the configuration. Watches
/// and reports of other instances are fast in the normal case, but either may
/// be silent or lag, so the follower counts the time since the copy was
/// certainly the newest. Performs no I/O; not thread-safe.
class CopyFollower {
public:
  CopyFollower(CopyFollowerOptions Options, std::uint64_t Seed)
      : Options(Options), Random(Seed) {}

  void setOptions(const CopyFollowerOptions &Next) { this->Options = Next; }
  /// Records that this instance holds a version, wherever it came from.
  void onHeld(std::uint64_t Version);
  /// Records that the store holds something newer that can't be used. Until a
  /// newer version is held, this instance confirms no copies of others.
  void onUnusable() { this->NewerIsUnusable = true; }
  /// Records that the store held nothing newer than the copy at Time.
  void onConfirmed(TimePoint Time);
  /// Records that a call to the store was sent.
  void onStoreAsked(TimePoint Now);
  /// Records the answer to such a call, once it has been applied. IsCurrent:
  /// whether it was a read of the newest state.
  void onStoreAnswered(TimePoint Now, bool IsCurrent);
  /// Records the failure of such a call. NextAt is when the store may be asked
  /// again.
  void onStoreFailed(TimePoint NextAt);
  /// Records another instance's report in reply to a query sent at QuerySentAt.
  void onReport(const InstanceId &From, const CopyReport &Report,
                TimePoint QuerySentAt, TimePoint Now);
  /// Records that a copy was requested from another instance, and the end of
  /// that request.
  void onCopyRequested() { this->CopyRequested = true; }
  void onCopyReceived();
  void onCopyFailed(const InstanceId &From, TimePoint Now);

  /// What is due. Report each action that is taken. IsReader: whether this
  /// instance reads the store for the others. MayAskStore: whether a call to
  /// the store has a chance.
  CopyActions next(TimePoint Now, bool IsReader, bool MayAskStore);

  /// Whether another instance has reported a newer version.
  [[nodiscard]] bool isBehind() const { return this->Newest > this->Held; }
  /// Whether the copy has not been confirmed for MaxUnconfirmed.
  [[nodiscard]] bool isUnconfirmed(TimePoint Now) const;
  [[nodiscard]] std::uint64_t newestReported() const { return this->Newest; }
  /// The newest time at which the copy was certainly the newest; nothing if
  /// there is none.
  [[nodiscard]] const std::optional<TimePoint> &confirmedAt() const {
    return this->ConfirmedAt;
  }
  /// What to tell other instances.
  [[nodiscard]] CopyReport report(TimePoint Now) const;

private:
  [[nodiscard]] bool storeAnswers(TimePoint Now) const;
  std::optional<InstanceId> chooseHolder(TimePoint Now);

  CopyFollowerOptions Options;
  std::uint64_t Held = 0;
  std::optional<TimePoint> ConfirmedAt;
  bool NewerIsUnusable = false;
  std::uint64_t Newest = 0;
  TimePoint NewestReportedAt;
  /// The instances that reported Newest and serve copies, with when each may be
  /// asked for it.
  std::map<InstanceId, TimePoint> Holders;
  TimePoint FirstHolderAt;
  std::optional<TimePoint> StoreAskedAt;
  bool StoreFailed = false;
  TimePoint NextStoreCallAt = TimePoint::min();
  std::optional<TimePoint> QueriedAt;
  std::size_t Queries = 0;
  Duration QueryPause{0};
  bool CopyRequested = false;
  TimePoint NextCopyAt = TimePoint::min();
  /// Number of copies in a row that could not be had.
  std::size_t CopyFailures = 0;
  RandomSource Random;
};

} // namespace turmericpitch
