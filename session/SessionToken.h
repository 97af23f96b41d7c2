// The token with which a caller carries the log positions of its session.
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

/// Maximum number of databases in one token.
inline constexpr std::size_t MaxTokenDatabases = 32;
/// Maximum length of an encoded token, in bytes.
inline constexpr std::size_t MaxTokenSize = 8192;

/// For each database, the latest log entry that a session has written or read.
/// Immutable value.
class SessionToken {
public:
  SessionToken() = default;
  explicit SessionToken(std::map<DatabaseId, TermPosition> Positions);

  /// The latest entry of a database; position 0 if the token has none.
  /// Thread-safe.
  [[nodiscard]] TermPosition position(const DatabaseId &Id) const;
  /// A copy of this token with the database's position advanced to Entry;
  /// positions never decrease. Thread-safe.
  [[nodiscard]] SessionToken advanced(const DatabaseId &Id,
                                      const TermPosition &Entry) const;
  [[nodiscard]] const std::map<DatabaseId, TermPosition> &positions() const {
    return this->Positions;
  }

  /// Whether the token contains the database, or has room for it within
  /// MaxTokenDatabases. Thread-safe.
  [[nodiscard]] bool hasRoomFor(const DatabaseId &Id) const;

  bool operator==(const SessionToken &) const = default;

private:
  std::map<DatabaseId, TermPosition> Positions;
};

/// Calendar time. The clocks of instances are synchronized well enough for the
/// expiry of keys.
using WallTime = std::chrono::sys_seconds;

/// A key that authenticates tokens. To rotate keys, put the new key first on
/// every instance and keep the old key after it, with a time until which its
/// tokens are still accepted.
struct TokenKey {
  /// Identifies the key in tokens.
  std::string Id;
  std::string Secret;
  /// Tokens signed with the key are accepted before this time; not set means
  /// no limit.
  std::optional<WallTime> AcceptedUntil = std::nullopt;

  bool operator==(const TokenKey &) const = default;
};

/// The error for a session that uses more than MaxTokenDatabases databases.
Error tooManyDatabasesError();

/// Encodes tokens as authenticated text and decodes them. Immutable;
/// thread-safe.
class SessionTokenCodec {
public:
  /// The first key signs; tokens of all keys are accepted. Precondition: Keys
  /// is not empty.
  explicit SessionTokenCodec(std::vector<TokenKey> Keys);

  /// Encodes a token for the callers of client account Owner; it is not valid
  /// for other accounts. Errors: BadRequest if the token has more than
  /// MaxTokenDatabases databases.
  [[nodiscard]] Result<std::string> encode(const SessionToken &Token,
                                           const ClientAccountId &Owner) const;
  /// Decodes a token; an empty text gives an empty token. Errors: BadRequest if
  /// Text is malformed; Forbidden if it is forged, belongs to another client
  /// account or was signed with a key that is no longer accepted at Now.
  [[nodiscard]] Result<SessionToken> decode(std::string_view Text,
                                            const ClientAccountId &Owner,
                                            WallTime Now) const;

private:
  std::vector<TokenKey> Keys;
};

} // namespace turmericpitch
