// Messages with which instances lend and borrow connections.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"

#include <string>
#include <string_view>
#include <variant>

namespace turmericpitch {

/// Request to an owner of connections for a loan. Immutable value.
struct ShareRequest {
  DatabaseId Target;
  /// Identifies the start of the requesting process. SentAt is meaningless to
  /// any other incarnation.
  std::uint64_t Incarnation = 0;
  /// Increases with each request of an incarnation.
  std::uint64_t Sequence = 0;
  /// The borrower uses no grant older than the one with this sequence.
  std::uint64_t Accepted = 0;
  /// The total loan wanted, not an increment; 0 returns the loan.
  std::uint32_t Wanted = 0;
  /// The borrower's clock at sending, in microseconds; echoed by the grant.
  std::int64_t SentAt = 0;

  bool operator==(const ShareRequest &) const = default;
};

/// The total loan that the borrower may use. Immutable value.
struct ShareGrant {
  DatabaseId Target;
  /// Echoed from the request, like Sequence and SentAt.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  std::int64_t SentAt = 0;
  std::uint32_t Count = 0;
  /// Validity in microseconds, counted from SentAt.
  std::int64_t ValidFor = 0;
  /// Connections that the lender could lend beyond Count.
  std::uint32_t Spare = 0;

  bool operator==(const ShareGrant &) const = default;
};

using ShareMessage = std::variant<ShareRequest, ShareGrant>;

/// Encodes a message and the protocol version. Thread-safe.
std::string encodeShareMessage(const ShareMessage &Message);
/// Errors: BadRequest if the message is malformed, too long or of another
/// version. Thread-safe.
Result<ShareMessage> decodeShareMessage(std::string_view Bytes);

} // namespace turmericpitch
