#include "drivers/Compression.h"

#include "core/RandomSource.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

constexpr std::size_t Limit = 1 << 20;

std::optional<std::string> inflated(std::string_view Bytes) {
  auto Whole = toOutcome([&] { return decompress(Bytes, Limit); });
  return Whole ? std::optional(Whole.value()) : std::nullopt;
}

TEST(Compression, ReturnsAnyBytes) {
  RandomSource Random(7);
  for (std::size_t Length : {0U, 1U, 4096U, 16'384U, 300'000U})
    for (std::uint32_t Symbols : {1U, 4U, 256U}) {
      std::string Bytes(Length, '\0');
      for (char &Each : Bytes)
        Each = static_cast<char>(Random.nextBelow(Symbols));
      EXPECT_EQ(inflated(compress(Bytes)), Bytes) << Length << " " << Symbols;
    }
  for (std::size_t Length = 0; Length < 300; ++Length) {
    std::string Text = R"({"store_revision":44,"age_ms":0,"entries":[]})";
    Text.resize(Length, 'x');
    EXPECT_EQ(inflated(compress(Text)), Text);
  }
}

TEST(Compression, RefusesWhatIsMalformedOrTooLong) {
  EXPECT_FALSE(inflated(""));
  EXPECT_FALSE(inflated("{}"));
  std::string Bytes = compress(std::string(10'000, 'x'));
  EXPECT_FALSE(inflated(Bytes.substr(0, Bytes.size() - 1)));
  EXPECT_FALSE(inflated(compress(std::string(Limit + 1, 'x'))));
  RandomSource Random(8);
  constexpr int Inputs = 2000;
  for (int Input = 0; Input < Inputs; ++Input) {
    std::string Odd = Bytes;
    Odd[Random.nextBelow(static_cast<std::uint32_t>(Odd.size()))] ^=
        static_cast<char>(1 + Random.nextBelow(255));
    auto Whole = inflated(Odd);
    EXPECT_TRUE(!Whole || Whole->size() <= Limit);
  }
}

} // namespace
} // namespace turmericpitch
