// Benchmarks admission decisions, connection share decisions and retry
// decisions.
#include "limits/Admission.h"
#include "limits/ConnectionShares.h"
#include "limits/RetryBudget.h"

#include <benchmark/benchmark.h>

namespace turmericpitch {

namespace {

constexpr Duration RequestTimeout = std::chrono::hours(1);

AdmissionRequest makeRequest(std::int64_t Account) {
  return {.Account = ClientAccountId{"account-" + std::to_string(Account)},
          .Weight = 1,
          .Class = static_cast<AdmissionClass>(
              static_cast<std::size_t>(Account) % AdmissionClassCount),
          .Deadline = TimePoint{} + RequestTimeout};
}

/// Admits and releases a request while a connection is free.
void admitAtOnce(benchmark::State &State) {
  Admission Controller({});
  Controller.setCapacity(4, TimePoint{});
  AdmissionRequest Request = makeRequest(1);
  for (auto _ : State) {
    benchmark::DoNotOptimize(Controller.admit(Request, TimePoint{}));
    benchmark::DoNotOptimize(
        Controller.onReleased(Duration(5000), TimePoint{}));
  }
}
BENCHMARK(admitAtOnce);

/// One arrival and one release while other requests are queued.
void admitLater(benchmark::State &State) {
  AdmissionOptions Options;
  Options.MaxWaiting = SIZE_MAX;
  Admission Controller(Options);
  Controller.setCapacity(4, TimePoint{});
  std::vector<AdmissionRequest> Requests;
  for (std::int64_t Each = 0; Each < State.range(0); ++Each)
    Requests.push_back(makeRequest(Each % 100));
  for (const AdmissionRequest &Each : Requests)
    Controller.admit(Each, TimePoint{});
  std::size_t Next = 0;
  for (auto _ : State) {
    benchmark::DoNotOptimize(
        Controller.admit(Requests[Next++ % Requests.size()], TimePoint{}));
    benchmark::DoNotOptimize(
        Controller.onReleased(Duration(5000), TimePoint{}));
  }
  State.SetComplexityN(State.range(0));
}
BENCHMARK(admitLater)->RangeMultiplier(8)->Range(8, 4096)->Complexity();

/// One arrival that is shed.
void shed(benchmark::State &State) {
  Admission Controller({});
  Controller.setCapacity(1, TimePoint{});
  AdmissionRequest Request = makeRequest(1);
  Controller.admit(Request, TimePoint{});
  Request.Deadline = TimePoint{};
  for (auto _ : State)
    benchmark::DoNotOptimize(Controller.admit(Request, TimePoint{}));
}
BENCHMARK(shed);

/// Checks all queued requests for expired deadlines.
void sweep(benchmark::State &State) {
  Admission Controller({});
  Controller.setCapacity(1, TimePoint{});
  for (std::int64_t Each = 0; Each < State.range(0); ++Each)
    Controller.admit(makeRequest(Each % 100), TimePoint{});
  for (auto _ : State)
    benchmark::DoNotOptimize(Controller.shedExpired(TimePoint{}));
  State.SetComplexityN(State.range(0));
}
BENCHMARK(sweep)->RangeMultiplier(4)->Range(16, 1024)->Complexity();

ConnectionSharesOptions shareOptions(std::int64_t Self,
                                     std::int64_t Instances) {
  ConnectionSharesOptions Options;
  Options.Target = DatabaseId{"bookings"};
  Options.Self = InstanceId{std::to_string(Self)};
  for (std::int64_t Each = 0; Each < Instances; ++Each)
    Options.Instances.push_back(InstanceId{std::to_string(Each)});
  Options.Limit = 60;
  Options.Incarnation = 1;
  return Options;
}

/// One tick of an instance that neither lends nor borrows connections.
void tickIdle(benchmark::State &State) {
  ConnectionShares Shares(shareOptions(0, State.range(0)), TimePoint{});
  TimePoint Now = TimePoint{} + std::chrono::seconds(10);
  for (auto _ : State) {
    Shares.setNeed(1);
    benchmark::DoNotOptimize(Shares.onTick(Now));
    benchmark::DoNotOptimize(Shares.allowance(Now));
  }
  State.SetComplexityN(State.range(0));
}
BENCHMARK(tickIdle)->DenseRange(2, 10, 4)->Complexity();

/// A lender's answer to a request, including decoding and encoding.
void grant(benchmark::State &State) {
  ConnectionShares Lender(shareOptions(0, State.range(0)), TimePoint{});
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
