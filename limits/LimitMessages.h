// Messages that instances exchange about the limits of client accounts.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/KeyValue.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericpitch {

/// A keeper's own time, opaque to others, which return it. Immutable value.
struct KeeperStamp {
  /// The process that gave it out.
  std::uint64_t Incarnation = 0;
  TimePoint Time = {};

  bool operator==(const KeeperStamp &) const = default;
};

/// What an operation-limited account needs at the sender.
struct AccountNeed {
  ClientAccountId Account;
  double Operations = 0;

  bool operator==(const AccountNeed &) const = default;
};

/// Deposits credit with a keeper and asks it for operations.
struct LimitRequest {
  std::uint64_t Incarnation = 0;
  /// Grows with each request to this keeper; a keeper drops repeated ones.
  std::uint64_t Sequence = 0;
  /// The keeper's newest stamp; a deposit without one isn't credited.
  std::optional<KeeperStamp> Echo = std::nullopt;
  /// Credit in share-seconds.
  double ShareSeconds = 0;
  /// The credit was created no earlier than this long before the sender
  /// received Echo; negative if it was created after that.
  Duration Span{0};
  /// The keepers with which the sender deposits now. The credit counts for the
  /// accounts for which the receiver ranks first among them.
  std::vector<InstanceId> Keepers = {};
  std::vector<AccountNeed> Needs = {};

  bool operator==(const LimitRequest &) const = default;
};

/// Operations granted to one account. Immutable value.
struct AccountGrant {
  ClientAccountId Account;
  double Operations = 0;
  /// How long they may be used, counted from the sending of the request.
  Duration Validity{0};
  /// Time until more credit is expected, if less was granted than needed.
  Duration RetryAfter{0};

  bool operator==(const AccountGrant &) const = default;
};

/// The owner table that the sender knows.
struct OwnerTableNews {
  std::uint64_t Epoch = 0;
  Revision Stored = {};
  /// Maximum age of the read that showed it, at the sending of the reply.
  Duration ReadAge{0};

  bool operator==(const OwnerTableNews &) const = default;
};

/// A keeper's reply to a request.
struct LimitReply {
  std::uint64_t RequestIncarnation = 0;
  std::uint64_t RequestSequence = 0;
  KeeperStamp Stamp = {};
  /// Nothing if the sender knows no table. Set by the driver.
  std::optional<OwnerTableNews> News = std::nullopt;
  std::vector<AccountGrant> Grants = {};

  bool operator==(const LimitReply &) const = default;
};

using LimitMessage = std::variant<LimitRequest, LimitReply>;

/// Maximum number of accounts and of keepers in one message, so that the
/// largest fits MaximumPeerPayload.
inline constexpr std::size_t MaxAccountsPerMessage = 8;
inline constexpr std::size_t MaxKeepersPerMessage = 8;

/// Longer names of accounts and keepers are not sent; accounts with such names
/// are not read from the configuration either.
inline constexpr std::size_t MaxLimitNameBytes = 64;

/// Encodes a message and the format version. Leaves out what exceeds the
/// maximum numbers or the length of names. Thread-safe.
std::string encodeLimitMessage(const LimitMessage &Message);
/// Thread-safe. Errors: BadRequest if malformed, of another version or not
/// finite.
Result<LimitMessage> decodeLimitMessage(std::string_view Bytes);

} // namespace turmericpitch
