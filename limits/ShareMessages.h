// What instances tell each other to lend and borrow connections.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"

#include <string>
#include <string_view>
#include <variant>

namespace turmericpitch {

/// Asks the owner of connections for a loan. Immutable value.
struct ShareRequest {
  DatabaseId Target;
  /// The asking process's start; its clock means nothing to a later start.
  std::uint64_t Incarnation = 0;
  /// Grows with each request of an incarnation.
  std::uint64_t Sequence = 0;
  /// The asker uses no grant older than the one with this sequence.
  std::uint64_t Accepted = 0;
  /// The whole loan wanted, not an addition; 0 gives it back.
  std::uint32_t Wanted = 0;
  /// The asker's clock when sending, in microseconds; echoed by the grant.
  std::int64_t SentAt = 0;

  bool operator==(const ShareRequest &) const = default;
};

/// The whole loan that the asker may use. Immutable value.
struct ShareGrant {
  DatabaseId Target;
  /// These three echo the request.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  std::int64_t SentAt = 0;
  std::uint32_t Count = 0;
  /// Counted from SentAt, in microseconds.
  std::int64_t ValidFor = 0;
  /// What the lender could lend beyond Count.
  std::uint32_t Spare = 0;

  bool operator==(const ShareGrant &) const = default;
};

using ShareMessage = std::variant<ShareRequest, ShareGrant>;

/// Encodes a message with its version. Thread-safe.
std::string encodeShareMessage(const ShareMessage &Message);
/// Errors: BadRequest if malformed or of another version. Thread-safe.
Result<ShareMessage> decodeShareMessage(std::string_view Bytes);

} // namespace turmericpitch
