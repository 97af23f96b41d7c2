// Benchmarks CPU time per message and per change, and memory per known
// instance.
#include "membership/DutyAssignment.h"
#include "membership/MembershipController.h"
#include "membership/PeerFrame.h"

#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <malloc.h>

namespace turmericpitch {
namespace {

constexpr std::size_t Zones = 18;
constexpr TimePoint Start{std::chrono::seconds(100)};

InstanceRecord record(std::size_t Index) {
  return {.Id = InstanceId{"entry-" + std::to_string(Index)},
          .Zone = ZoneId{"zone-" + std::to_string(Index % Zones)},
          .PeerEndpoint = {.Address = "10.0.0.1", .Port = 7103},
          .IncarnationNumber = Incarnation{1'700'000'000'000}};
}

MembershipProtocol makeProtocol(std::size_t Known) {
  InstanceRecord Self = record(0);
  MembershipOptions Options;
  Options.Self = {
      .Id = Self.Id, .Zone = Self.Zone, .PeerEndpoint = Self.PeerEndpoint};
  Options.IncarnationNumber = Self.IncarnationNumber;
  MembershipProtocol Protocol(Options, 1);
  std::vector<InstanceRecord> All;
  for (std::size_t Index = 1; Index < Known; ++Index)
    All.push_back(record(Index));
  Protocol.preload(All, Start);
  return Protocol;
}

std::size_t known(const benchmark::State &State) {
  return static_cast<std::size_t>(State.range(0));
}

/// Handles a ping, including signing and verifying the frames.
void pingAnswered(benchmark::State &State) {
  MembershipProtocol Protocol = makeProtocol(known(State));
  std::vector<PeerKey> Keys{{.Id = "key", .Secret = "a secret of some length"}};
  PeerFrameCodec Codec(Keys);
  MembershipMessage Ping;
  Ping.To = record(0).Id;
  Ping.Sender = record(1);
  Ping.Updates = {record(2), record(3), record(4), record(5)};
  for (auto Each : State) {
    ++Ping.Sequence;
    PeerFrame Frame{.From = Ping.Sender.Id,
                    .Topic = PeerTopic::Membership,
                    .Payload = encodeMembership(Ping)};
    auto Bytes = toOutcome([&] { return Codec.encode(Frame); });
    auto Read = toOutcome([&] { return Codec.decode(Bytes.value()); });
    auto Message =
        toOutcome([&] { return decodeMembership(Read.value().Payload); });
    auto Answers =
        Protocol.onMessage(Read.value().From, Message.value().Message, Start);
    benchmark::DoNotOptimize(encodeMembership(Answers.front().Message));
  }
}
BENCHMARK(pingAnswered)->Arg(5)->Arg(50)->Arg(200)->Arg(1000)->Arg(4700);

void snapshotPublished(benchmark::State &State) {
  MembershipProtocol Protocol = makeProtocol(known(State));
  for (auto Each : State)
    benchmark::DoNotOptimize(Protocol.snapshot(Start));
}
BENCHMARK(snapshotPublished)->Arg(5)->Arg(200)->Arg(1000)->Arg(4700);

void dutyRanked(benchmark::State &State) {
  DutyAssignment Duties(makeProtocol(known(State)).snapshot(Start));
  std::uint64_t Subject = 0;
  for (auto Each : State) {
    DutyKey Key{.Kind = Duty::Promote, .Subject = std::to_string(++Subject)};
    benchmark::DoNotOptimize(Duties.rank(Key, record(0).Id, 3));
  }
}
BENCHMARK(dutyRanked)->Arg(5)->Arg(200)->Arg(1000)->Arg(4700);

void idleTick(benchmark::State &State) {
  MembershipProtocol Protocol = makeProtocol(known(State));
  TimePoint Now = Start;
  for (auto Each : State) {
    Now += Duration{1};
    benchmark::DoNotOptimize(Protocol.onTick(Now));
  }
}
BENCHMARK(idleTick)->Arg(5)->Arg(1000)->Arg(4700);

/// Heap used by one protocol object by number of known instances.
void heapInUse(benchmark::State &State) {
  std::size_t Bytes = 0;
  for (auto Each : State) {
    std::size_t Before = mallinfo2().uordblks;
    MembershipProtocol Protocol = makeProtocol(known(State));
    Bytes = mallinfo2().uordblks - Before;
    benchmark::DoNotOptimize(Protocol);
  }
  State.counters["heap_bytes"] = static_cast<double>(Bytes);
  State.counters["bytes_per_instance"] =
      static_cast<double>(Bytes) / static_cast<double>(known(State));
}
BENCHMARK(heapInUse)->Arg(50)->Arg(1000)->Arg(4700)->Iterations(3);

} // namespace
} // namespace turmericpitch

BENCHMARK_MAIN();
