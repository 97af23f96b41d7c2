#include "configuration/Credential.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace turmericpitch {

CredentialDigest CredentialDigest::of(std::string_view Credential) {
  CredentialDigest Digest;
  Digest.Bytes = sha256(Credential);
  return Digest;
}

std::optional<CredentialDigest>
CredentialDigest::fromHex(std::string_view Digits) {
  CredentialDigest Digest;
  constexpr std::size_t DigitsPerByte = 2;
  constexpr int Base = 16;
  if (Digits.size() != DigitsPerByte * Digest.Bytes.size())
    return std::nullopt;
  const char *At = Digits.data();
  for (char &Each : Digest.Bytes) {
    std::uint8_t Byte = 0;
    auto [End, Failure] = std::from_chars(At, At + DigitsPerByte, Byte, Base);
    At += DigitsPerByte;
    if (Failure != std::errc() || End != At)
      return std::nullopt;
    Each = static_cast<char>(Byte);
  }
  return Digest;
}

bool CredentialDigest::operator==(const CredentialDigest &Other) const {
  return equalInConstantTime({this->Bytes.data(), this->Bytes.size()},
                             {Other.Bytes.data(), Other.Bytes.size()});
}

std::size_t CredentialDigest::bucket() const {
  std::size_t Number = 0;
  std::memcpy(&Number, this->Bytes.data(), sizeof(Number));
  return Number;
}

PresentedCredential PresentedCredential::from(std::string_view Text) {
  if (Text.empty())
    return {.Form = CredentialForm::Missing};
  bool Printable = std::all_of(Text.begin(), Text.end(), [](char Character) {
    return Character > ' ' && Character <= '~';
  });
  if (!Printable || Text.size() > MaxBytes)
    return {.Form = CredentialForm::Malformed};
  return {.Form = CredentialForm::WellFormed,
          .Digest = CredentialDigest::of(Text)};
}

} // namespace turmericpitch
