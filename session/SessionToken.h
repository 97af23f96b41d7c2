// The token in which a caller carries what its session has seen.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/LogPosition.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// Most databases one token carries.
inline constexpr std::size_t MaximumTokenDatabases = 32;
/// Largest token text taken, bytes.
inline constexpr std::size_t MaximumTokenSize = 8192;

/// Per database the furthest log entry a session has written or read.
/// Immutable value.
class SessionToken {
public:
  SessionToken() = default;
  explicit SessionToken(std::map<DatabaseId, TermPosition> Positions);

  /// What the session has seen of a database; position 0 if nothing.
  /// Thread-safe.
  [[nodiscard]] TermPosition position(const DatabaseId &Id) const;
  /// This token with Entry seen as well; never goes back. Thread-safe.
  [[nodiscard]] SessionToken advanced(const DatabaseId &Id,
                                      const TermPosition &Entry) const;
  [[nodiscard]] const std::map<DatabaseId, TermPosition> &positions() const {
    return this->Positions;
  }

  /// Whether a further entry of the database leaves the token within
  /// MaximumTokenDatabases. Thread-safe.
  [[nodiscard]] bool hasRoomFor(const DatabaseId &Id) const;

  bool operator==(const SessionToken &) const = default;

private:
  std::map<DatabaseId, TermPosition> Positions;
};

/// Calendar time, which instances share well enough to end a key's use.
using WallTime = std::chrono::sys_seconds;

/// A key that authenticates tokens. To rotate it: put the new one first on
/// every instance, keep the old one behind it with a time until which its
/// tokens are still accepted.
struct TokenKey {
  /// Names the key within tokens.
  std::string Id;
  std::string Secret;
  /// Its tokens are accepted before this time; not set means always.
  std::optional<WallTime> AcceptedUntil = std::nullopt;

  bool operator==(const TokenKey &) const = default;
};

/// The error for a session that spans more than MaximumTokenDatabases.
Error tooManyDatabasesError();

/// Turns tokens into authenticated text and back. Immutable; thread-safe.
class SessionTokenCodec {
public:
  /// Keys: the first signs; all are accepted. Precondition: not empty.
  explicit SessionTokenCodec(std::vector<TokenKey> Keys);

  /// The text for a client account's callers; another account's callers
  /// can't use it. Errors: BadRequest if the token carries more than
  /// MaximumTokenDatabases.
  [[nodiscard]] Result<std::string> encode(const SessionToken &Token,
                                           const ClientAccountId &Owner) const;
  /// The token of a text; empty text is the empty token. Errors: BadRequest
  /// if malformed, Forbidden if forged, of another client account or of a
  /// key no longer accepted at Now.
  [[nodiscard]] Result<SessionToken> decode(std::string_view Text,
                                            const ClientAccountId &Owner,
                                            WallTime Now) const;

private:
  std::vector<TokenKey> Keys;
};

} // namespace turmericpitch
