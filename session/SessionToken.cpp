#include "session/SessionToken.h"

#include "core/Digest.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <utility>

namespace turmericpitch {

namespace {

constexpr std::uint8_t TokenVersion = 1;
constexpr std::size_t SignatureLength = 32;

struct TokenEntry {
  DatabaseId Id;
  TermPosition Position;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Position);
  }
};

struct TokenBody {
  std::uint8_t Version = TokenVersion;
  std::string KeyId;
  std::vector<TokenEntry> Entries;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->KeyId, this->Entries);
  }
};

std::string signatureOf(const TokenKey &Key, const ClientAccountId &Owner,
                        std::string_view Body) {
  // The length prefix makes the boundary between account name and body
  // unambiguous.
  std::string Signed = std::to_string(Owner.Value.size()) + ":" + Owner.Value;
  Signed += Body;
  return hmacSha256(Key.Secret, Signed);
}

Error malformedTokenError() {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "malformed session token",
          .Remedy = "send the token of the last answer unchanged, or none to "
                    "begin a new session"};
}

Error forbiddenTokenError() {
  return {.Kind = ErrorKind::Forbidden,
          .Message = "session token not valid for this client account",
          .Remedy = "send no token to begin a new session"};
}

} // namespace

Error tooManyDatabasesError() {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "session uses too many databases",
          .Remedy = "begin a new session for the further databases"};
}

SessionToken::SessionToken(std::map<DatabaseId, TermPosition> Positions)
    : Positions(std::move(Positions)) {}

TermPosition SessionToken::position(const DatabaseId &Id) const {
  auto Found = this->Positions.find(Id);
  return Found == this->Positions.end() ? TermPosition{} : Found->second;
}

SessionToken SessionToken::advanced(const DatabaseId &Id,
                                    const TermPosition &Entry) const {
  std::map<DatabaseId, TermPosition> Advanced = this->Positions;
  TermPosition &Old = Advanced[Id];
  Old = std::max(Old, Entry);
  return SessionToken(std::move(Advanced));
}

bool SessionToken::hasRoomFor(const DatabaseId &Id) const {
  return this->Positions.size() < MaxTokenDatabases ||
         this->Positions.contains(Id);
}

SessionTokenCodec::SessionTokenCodec(std::vector<TokenKey> Keys)
    : Keys(std::move(Keys)) {}

Result<std::string>
SessionTokenCodec::encode(const SessionToken &Token,
                          const ClientAccountId &Owner) const {
  if (Token.positions().size() > MaxTokenDatabases)
    return boost::leaf::new_error(tooManyDatabasesError());
  TokenBody Body;
  Body.KeyId = this->Keys.front().Id;
  for (const auto &[Id, Position] : Token.positions())
    Body.Entries.push_back({.Id = Id, .Position = Position});
  std::ostringstream Stream;
  {
    cereal::PortableBinaryOutputArchive Archive(Stream);
    Archive(Body);
  }
  std::string Bytes = Stream.str();
  return encodeBase64(signatureOf(this->Keys.front(), Owner, Bytes) + Bytes);
}

Result<SessionToken> SessionTokenCodec::decode(std::string_view Text,
                                               const ClientAccountId &Owner,
                                               WallTime Now) const {
  if (Text.empty())
    return SessionToken{};
  if (Text.size() > MaxTokenSize)
    return boost::leaf::new_error(malformedTokenError());
  std::string Bytes = decodeBase64(Text);
  if (Bytes.size() <= SignatureLength)
    return boost::leaf::new_error(malformedTokenError());
  std::string_view Signature =
      std::string_view(Bytes).substr(0, SignatureLength);
  std::string_view Signed = std::string_view(Bytes).substr(SignatureLength);
  // Verify the signature before parsing any part of the body.
  bool Authentic =
      std::any_of(this->Keys.begin(), this->Keys.end(), [&](const auto &Key) {
        bool Accepted = !Key.AcceptedUntil || Now < *Key.AcceptedUntil;
        return Accepted &&
               equalInConstantTime(signatureOf(Key, Owner, Signed), Signature);
      });
  if (!Authentic)
    return boost::leaf::new_error(forbiddenTokenError());
  TokenBody Body;
  try {
    std::istringstream Stream{std::string(Signed)};
    cereal::PortableBinaryInputArchive Archive(Stream);
    Archive(Body);
  } catch (const std::exception &) {
    return boost::leaf::new_error(malformedTokenError());
  }
  if (Body.Version != TokenVersion || Body.Entries.size() > MaxTokenDatabases)
    return boost::leaf::new_error(malformedTokenError());
  std::map<DatabaseId, TermPosition> Positions;
  for (TokenEntry &Entry : Body.Entries)
    Positions[std::move(Entry.Id)] = Entry.Position;
  return SessionToken(std::move(Positions));
}

} // namespace turmericpitch
