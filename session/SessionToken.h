// The token in which a caller carries what its session has seen.
#pragma once

#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/LogPosition.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// Per database the furthest log entry a session has written or read.
/// Immutable value.
class SessionToken {
public:
  SessionToken() = default;
  explicit SessionToken(std::map<DatabaseId, TermPosition> Seen);

  /// What the session has seen of a database; position 0 if nothing.
  /// Thread-safe.
  [[nodiscard]] TermPosition seen(const DatabaseId &Id) const;
  /// This token with Entry seen as well; never goes back. Thread-safe.
  [[nodiscard]] SessionToken advanced(const DatabaseId &Id,
                                      const TermPosition &Entry) const;
  [[nodiscard]] const std::map<DatabaseId, TermPosition> &all() const {
    return this->Seen;
  }

  bool operator==(const SessionToken &) const = default;

private:
  std::map<DatabaseId, TermPosition> Seen;
};

/// A key that authenticates tokens.
struct TokenKey {
  /// Names the key within tokens.
  std::string Id;
  std::string Secret;

  bool operator==(const TokenKey &) const = default;
};

/// Most databases one token carries.
inline constexpr std::size_t MaximumTokenDatabases = 32;
/// Largest token text taken, bytes.
inline constexpr std::size_t MaximumTokenSize = 8192;

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
  /// key no longer accepted.
  [[nodiscard]] Result<SessionToken> decode(std::string_view Text,
                                            const ClientAccountId &Owner) const;

private:
  std::vector<TokenKey> Keys;
};

} // namespace turmericpitch
