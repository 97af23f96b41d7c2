#include "failover/LeaseMessages.h"

#include <gtest/gtest.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

LeaseReply sampleReply() {
  ServiceReport Report{.Record = {.Service = {"ledger"},
                                  .Epoch = 4,
                                  .Primary = {"m1"},
                                  .Phase = PrimaryPhase::Closing,
                                  .ClosedFrom = {70},
                                  .Stored = {77}}};
  Report.Age = milliseconds(120);
  Report.LeaseAge = milliseconds(30);
  Report.Grantors = {55};
  Report.ConsentedTo = {71};
  Report.Granted = true;
  Report.Reachability = PrimaryReachability::Silent;
  Report.Sample = TermPosition{.WrittenIn = {3}, .Position = {1209}};
  Report.SampleAge = milliseconds(40);
  return {.Serial = 9,
          .Part = 1,
          .Parts = 2,
          .Versions = {.Configuration = 5,
                       .Members = 6,
                       .Instances = 7,
                       .InstancesAge = milliseconds(8),
                       .PromoterStep = 9,
                       .PromoterStepAge = milliseconds(10)},
          .RemembersGrants = true,
          .Stopping = true,
          .Services = {Report}};
}

TEST(LeaseMessages, DecodeWhatIsEncoded) {
  for (const LeaseMessage &Message :
       {LeaseMessage(
            LeaseQuery{.Serial = 3, .WantsGrants = true, .Brief = true}),
        LeaseMessage(sampleReply()), LeaseMessage(ChangeNotification{}),
        LeaseMessage(
            CloseRequest{.Serial = 4, .Service = {"ledger"}, .Closed = {78}}),
        LeaseMessage(CloseConsent{.Serial = 4})}) {
    auto Decoded = toOutcome(
        [&] { return decodeLeaseMessage(encodeLeaseMessage(Message)); });
    ASSERT_TRUE(Decoded);
    EXPECT_EQ(Decoded.value(), Message);
  }
}

TEST(LeaseMessages, TruncatedOrOtherVersionsAreRefused) {
  std::string Bytes = encodeLeaseMessage(sampleReply());
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    EXPECT_FALSE(
        toOutcome([&] { return decodeLeaseMessage(Bytes.substr(0, Length)); }));
  Bytes[1] = 99; // Another version.
  EXPECT_FALSE(toOutcome([&] { return decodeLeaseMessage(Bytes); }));
}

} // namespace
} // namespace turmericpitch
