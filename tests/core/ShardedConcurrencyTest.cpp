#include "core/Sharded.h"

#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

namespace turmericpitch {
namespace {

TEST(Sharded, KeepsAllConcurrentUpdates) {
  constexpr int ThreadCount = 4;
  constexpr int KeyCount = 32;
  constexpr int Rounds = 500;
  Sharded<std::string, int> State;
  std::vector<std::thread> Threads;
  for (int Thread = 0; Thread < ThreadCount; ++Thread)
    Threads.emplace_back([&] {
      for (int Round = 0; Round < Rounds; ++Round)
        for (int Key = 0; Key < KeyCount; ++Key)
          State.update(std::to_string(Key), [](int &Value) { ++Value; });
    });
  for (std::thread &Each : Threads)
    Each.join();
  int Sum = 0;
  State.forEach([&](const std::string &, int &Value) { Sum += Value; });
  EXPECT_EQ(Sum, ThreadCount * KeyCount * Rounds);
}

} // namespace
} // namespace turmericpitch
