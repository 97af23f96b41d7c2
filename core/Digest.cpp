#include "core/Digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace turmericpitch {

namespace {

constexpr std::size_t Base64GroupLength = 4;
constexpr std::size_t Base64GroupBytes = 3;

const unsigned char *bytes(std::string_view Data) {
  return reinterpret_cast<const unsigned char *>(Data.data());
}

} // namespace

Sha256Bytes sha256(std::string_view Data) {
  Sha256Bytes Digest{};
  static_assert(Digest.size() == SHA256_DIGEST_LENGTH);
  SHA256(bytes(Data), Data.size(),
         reinterpret_cast<unsigned char *>(Digest.data()));
  return Digest;
}

std::string sha256Hex(std::string_view Data) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (char Each : sha256(Data)) {
    auto Byte = static_cast<unsigned char>(Each);
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 0xFU];
  }
  return Text;
}

std::string hmacSha256(std::string_view Key, std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), bytes(Data),
       Data.size(), Digest.data(), &Length);
  return {reinterpret_cast<const char *>(Digest.data()), Length};
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string encodeBase64(std::string_view Data) {
  std::string Text(Base64GroupLength * ((Data.size() + Base64GroupBytes - 1) /
                                        Base64GroupBytes) +
                       1,
                   '\0');
  int Length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                               bytes(Data), static_cast<int>(Data.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::string decodeBase64(std::string_view Text) {
  if (Text.empty() || Text.size() % Base64GroupLength != 0)
    return {};
  std::string Data(Text.size() / Base64GroupLength * Base64GroupBytes, '\0');
  int Length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Data.data()),
                               bytes(Text), static_cast<int>(Text.size()));
  if (Length < 0)
    return {};
  std::size_t Padding = 0;
  while (Padding < 2 && Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Data.resize(static_cast<std::size_t>(Length) - Padding);
  return Data;
}

} // namespace turmericpitch
