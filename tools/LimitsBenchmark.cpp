// The cost of an admission decision, a share decision and a retry decision.
#include "limits/Admission.h"
#include "limits/ConnectionShares.h"
#include "limits/RetryBudget.h"

#include <benchmark/benchmark.h>

namespace turmericpitch {

namespace {

constexpr Duration Patience = std::chrono::hours(1);

AdmissionRequest requestOf(std::int64_t Account) {
  return {.Account = ClientAccountId{"account-" + std::to_string(Account)},
          .Weight = 1,
          .Class = static_cast<AdmissionClass>(
              static_cast<std::size_t>(Account) % AdmissionClassCount),
          .Deadline = TimePoint{} + Patience};
}

/// A free connection: in and out.
void admitAtOnce(benchmark::State &State) {
  Admission Gate({});
  Gate.setCapacity(4, TimePoint{});
  AdmissionRequest Request = requestOf(1);
  for (auto _ : State) {
    benchmark::DoNotOptimize(Gate.admit(Request, TimePoint{}));
    benchmark::DoNotOptimize(Gate.onReleased(Duration(5000), TimePoint{}));
  }
}
BENCHMARK(admitAtOnce);

/// One arrival and one hand-off while others wait.
void admitLater(benchmark::State &State) {
  AdmissionOptions Options;
  Options.MaxWaiting = SIZE_MAX;
  Admission Gate(Options);
  Gate.setCapacity(4, TimePoint{});
  std::vector<AdmissionRequest> Requests;
  for (std::int64_t Each = 0; Each < State.range(0); ++Each)
    Requests.push_back(requestOf(Each % 100));
  for (const AdmissionRequest &Each : Requests)
    Gate.admit(Each, TimePoint{});
  std::size_t Next = 0;
  for (auto _ : State) {
    benchmark::DoNotOptimize(
        Gate.admit(Requests[Next++ % Requests.size()], TimePoint{}));
    benchmark::DoNotOptimize(Gate.onReleased(Duration(5000), TimePoint{}));
  }
  State.SetComplexityN(State.range(0));
}
BENCHMARK(admitLater)->RangeMultiplier(8)->Range(8, 4096)->Complexity();

/// An arrival that is shed.
void shed(benchmark::State &State) {
  Admission Gate({});
  Gate.setCapacity(1, TimePoint{});
  AdmissionRequest Request = requestOf(1);
  Gate.admit(Request, TimePoint{});
  Request.Deadline = TimePoint{};
  for (auto _ : State)
    benchmark::DoNotOptimize(Gate.admit(Request, TimePoint{}));
}
BENCHMARK(shed);

/// Looks through all that wait.
void sweep(benchmark::State &State) {
  Admission Gate({});
  Gate.setCapacity(1, TimePoint{});
  for (std::int64_t Each = 0; Each < State.range(0); ++Each)
    Gate.admit(requestOf(Each % 100), TimePoint{});
  for (auto _ : State)
    benchmark::DoNotOptimize(Gate.shedExpired(TimePoint{}));
  State.SetComplexityN(State.range(0));
}
BENCHMARK(sweep)->RangeMultiplier(4)->Range(16, 1024)->Complexity();

ConnectionSharesOptions sharesOf(std::int64_t Self, std::int64_t Instances) {
  ConnectionSharesOptions Options;
  Options.Target = DatabaseId{"bookings"};
  Options.Self = InstanceId{std::to_string(Self)};
  for (std::int64_t Each = 0; Each < Instances; ++Each)
    Options.Instances.push_back(InstanceId{std::to_string(Each)});
  Options.Limit = 60;
  Options.Incarnation = 1;
  return Options;
}

/// A tick of an instance that neither lends nor borrows.
void tickIdle(benchmark::State &State) {
  ConnectionShares Shares(sharesOf(0, State.range(0)), TimePoint{});
  TimePoint Now = TimePoint{} + std::chrono::seconds(10);
  for (auto _ : State) {
    Shares.setNeed(1);
    benchmark::DoNotOptimize(Shares.onTick(Now));
    benchmark::DoNotOptimize(Shares.allowance(Now));
  }
  State.SetComplexityN(State.range(0));
}
BENCHMARK(tickIdle)->DenseRange(2, 10, 4)->Complexity();

/// A lender's answer to a request, decoding and encoding included.
void grant(benchmark::State &State) {
  ConnectionShares Lender(sharesOf(0, State.range(0)), TimePoint{});
  TimePoint Now = TimePoint{} + std::chrono::seconds(10);
  ShareRequest Request{
      .Target = DatabaseId{"bookings"}, .Incarnation = 1, .Wanted = 2};
  for (auto _ : State) {
    ++Request.Sequence;
    Request.Accepted = Request.Sequence;
    std::string Bytes = encodeShareMessage(Request);
    auto Decoded = toOutcome([&] { return decodeShareMessage(Bytes); });
    auto Sends = Lender.onMessage(InstanceId{"1"}, Decoded.value(), Now);
    benchmark::DoNotOptimize(encodeShareMessage(Sends.front().Message));
  }
  State.counters["request_bytes"] =
      static_cast<double>(encodeShareMessage(Request).size());
  State.counters["grant_bytes"] = static_cast<double>(
      encodeShareMessage(ShareGrant{}).size() + Request.Target.Value.size());
}
BENCHMARK(grant)->Arg(5)->Arg(10);

void retryDecision(benchmark::State &State) {
  RetryBudget Budget({.Ratio = 1});
  RandomSource Random(1);
  for (auto _ : State) {
    Budget.onFirstAttempt();
    benchmark::DoNotOptimize(Budget.spend());
    benchmark::DoNotOptimize(retryBackoff({}, 3, Random));
  }
}
BENCHMARK(retryDecision);

} // namespace

} // namespace turmericpitch

BENCHMARK_MAIN();
