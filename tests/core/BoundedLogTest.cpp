#include "core/BoundedLog.h"
#include "drivers/LogPipe.h"

#include <array>
#include <gtest/gtest.h>
#include <unistd.h>

namespace turmericpitch {
namespace {

const TimePoint Start(std::chrono::seconds(100));

TEST(BoundedLog, KeepsLinesInOrder) {
  BoundedLog Log;
  Log.add("a", LogPriority::Major, Start);
  Log.add("b", LogPriority::Minor, Start);
  EXPECT_EQ(Log.pending(), "a\nb\n");
  Log.onWritten(2);
  EXPECT_EQ(Log.pending(), "b\n");
}

TEST(BoundedLog, MinorLinesDoNotDisplaceMajorLines) {
  BoundedLog Log({.MinorPerSecond = 1, .MinorBurst = 2});
  for (int Index = 0; Index < 1000; ++Index)
    Log.add("step", LogPriority::Minor, Start);
  Log.add("failure", LogPriority::Major, Start);
  EXPECT_EQ(Log.pending(),
            "step\nstep\ndecision=log_dropped lines=998\nfailure\n");
  EXPECT_EQ(Log.dropped(), 998U);
}

TEST(BoundedLog, TokenBucketRefillsWithTime) {
  BoundedLog Log({.MajorPerSecond = 10, .MajorBurst = 1});
  Log.add("a", LogPriority::Major, Start);
  Log.add("b", LogPriority::Major, Start + std::chrono::milliseconds(50));
  EXPECT_EQ(Log.dropped(), 1U);
  Log.add("c", LogPriority::Major, Start + std::chrono::milliseconds(200));
  EXPECT_EQ(Log.dropped(), 1U);
}

/// When a reader stalls, first the pipe and then the buffer fill up, and
/// further lines are dropped. Writing must never block.
TEST(BoundedLog, StalledReaderOnlyCausesDroppedLines) {
  std::array<int, 2> Pipe{};
  ASSERT_EQ(pipe(Pipe.data()), 0);
  BoundedLog Log({.MajorPerSecond = 1e9, .MajorBurst = 1e9});
  std::string Line(100, 'x');
  for (int Index = 0; Index < 10'000; ++Index) {
    Log.add(Line, LogPriority::Major, Start);
    writePending(Log, Pipe[1]);
  }
  EXPECT_GT(Log.dropped(), 0U);
  EXPECT_LE(Log.pending().size(), BoundedLogOptions{}.MaxPendingBytes);
  // When the reader resumes, it reads complete lines.
  std::string Read(4096, '\0');
  ssize_t Count = read(Pipe[0], Read.data(), Read.size());
  ASSERT_GT(Count, 0);
  EXPECT_EQ(Read.substr(0, 101), Line + "\n");
  writePending(Log, Pipe[1]);
  close(Pipe[0]);
  close(Pipe[1]);
}

} // namespace
} // namespace turmericpitch
