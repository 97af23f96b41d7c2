// Credentials that clients present, reduced to their digests.
#pragma once

#include "core/Digest.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace turmericpitch {

/// SHA-256 of a credential; compared in constant time. Immutable value.
class CredentialDigest {
public:
  /// A digest that belongs to no known credential.
  CredentialDigest() = default;
  /// Thread-safe.
  static CredentialDigest of(std::string_view Credential);
  /// The digest with these 64 hexadecimal digits; nothing if they are no
  /// digest. Thread-safe.
  static std::optional<CredentialDigest> fromHex(std::string_view Digits);

  /// Thread-safe.
  bool operator==(const CredentialDigest &Other) const;
  /// The first bytes as a number, for hash tables. Thread-safe.
  [[nodiscard]] std::size_t bucket() const;

private:
  Sha256Bytes Bytes{};
};

/// Whether a client sent text that can be a credential.
enum class CredentialForm : std::uint8_t { Missing, Malformed, WellFormed };

/// What a client sent as its credential, without the credential itself.
/// Immutable value.
struct PresentedCredential {
  /// The longest credential in bytes.
  static constexpr std::size_t MaxBytes = 256;

  CredentialForm Form = CredentialForm::Missing;
  /// If WellFormed.
  CredentialDigest Digest = {};

  /// WellFormed if Text has 1 to MaxBytes bytes, all of them printable ASCII
  /// other than blanks. Thread-safe.
  static PresentedCredential from(std::string_view Text);

  bool operator==(const PresentedCredential &) const = default;
};

} // namespace turmericpitch

template <> struct std::hash<turmericpitch::CredentialDigest> {
  std::size_t
  operator()(const turmericpitch::CredentialDigest &Key) const noexcept {
    return Key.bucket();
  }
};
