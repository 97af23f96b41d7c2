// Bytes of messages and records as written by earlier builds. Instances of two
// builds run side by side during an upgrade, so a codec whose bytes change
// needs a new version, and has to read what the earlier build writes.
#include "drivers/StoreCopies.h"
#include "failover/GrantorSet.h"
#include "failover/LeaseMessages.h"
#include "failover/PrimaryRecord.h"
#include "limits/LimitMessages.h"
#include "limits/OwnerTable.h"
#include "membership/InstanceRegistry.h"

#include <gtest/gtest.h>
#include <yaml-cpp/yaml.h>

namespace turmericpitch {
namespace {

using std::chrono::milliseconds;

std::string toHex(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned LowHalf = 0x0F;
  std::string Text;
  for (char Each : Bytes) {
    auto Byte = static_cast<unsigned char>(Each);
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & LowHalf];
  }
  return Text;
}

std::string fromHex(const std::string &Text) {
  constexpr int Base = 16;
  std::string Bytes;
  for (std::size_t Index = 0; Index + 1 < Text.size(); Index += 2)
    Bytes += static_cast<char>(std::stoi(Text.substr(Index, 2), nullptr, Base));
  return Bytes;
}

/// The bytes of an example in the newest format.
std::string stored(const std::string &Name) {
  YAML::Node Corpus = YAML::LoadFile(std::string(SOURCE_DIRECTORY) +
                                     "/tests/data/formats.yaml");
  auto Example = Corpus[Name];
  EXPECT_TRUE(Example) << Name;
  return Example ? Example.as<std::string>() : std::string();
}

void expectLease(const std::string &Name, const LeaseMessage &Message) {
  EXPECT_EQ(toHex(encodeLeaseMessage(Message)), stored(Name)) << Name;
  auto Decoded =
      toOutcome([&] { return decodeLeaseMessage(fromHex(stored(Name))); });
  ASSERT_TRUE(Decoded) << Name << ": " << Decoded.error().Message;
  EXPECT_EQ(Decoded.value(), Message) << Name;
}

void expectLimit(const std::string &Name, const LimitMessage &Message) {
  EXPECT_EQ(toHex(encodeLimitMessage(Message)), stored(Name)) << Name;
  auto Decoded =
      toOutcome([&] { return decodeLimitMessage(fromHex(stored(Name))); });
  ASSERT_TRUE(Decoded) << Name << ": " << Decoded.error().Message;
  EXPECT_EQ(Decoded.value(), Message) << Name;
}

KeyValueEntry entry(std::string Key, const std::string &Name) {
  return {.Key = std::move(Key), .Value = stored(Name), .Modified = {7}};
}

ServiceReport report() {
  return {.Record = {.Service = {"ledger"},
                     .Epoch = 3,
                     .Primary = {"m1"},
                     .Phase = PrimaryPhase::Closing,
                     .ClosedFrom = {11},
                     .Stored = {12}},
          .Age = milliseconds(40),
          .LeaseAge = milliseconds(35),
          .Grantors = {9},
          .Granted = true,
          .ConsentedTo = {12},
          .Reachability = PrimaryReachability::Silent,
          .Sample = TermPosition{.WrittenIn = {3}, .Position = {1207}},
          .SampleAge = milliseconds(500)};
}

TEST(FormatCorpus, LeaseMessagesOfFormat5) {
  expectLease("lease_query_5",
              LeaseQuery{.Serial = 5, .WantsGrants = true, .Brief = false});
  expectLease("lease_reply_5",
              LeaseReply{.Serial = 5,
                         .Part = 1,
                         .Parts = 2,
                         .Versions = {.Configuration = 4,
                                      .Members = 90,
                                      .Instances = 77,
                                      .InstancesAge = milliseconds(800),
                                      .PromoterStep = 13,
                                      .PromoterStepAge = milliseconds(20)},
                         .RemembersGrants = true,
                         .Stopping = false,
                         .Services = {report()}});
  // Builds before the confirmations ignore them.
  expectLease(
      "lease_reply_5_confirmed",
      LeaseReply{.Serial = 5,
                 .Versions = {.Configuration = 4,
                              .Members = 90,
                              .ConfigurationConfirmedAge = milliseconds(1200),
                              .MembersConfirmedAge = milliseconds(2100)}});
  expectLease("lease_notification_5", ChangeNotification{});
  expectLease("lease_close_request_5",
              CloseRequest{.Serial = 6, .Service = {"ledger"}, .Closed = {12}});
  expectLease("lease_close_consent_5", CloseConsent{.Serial = 6});
}

TEST(FormatCorpus, LimitMessagesOfFormat1) {
  expectLimit(
      "limit_request_1",
      LimitRequest{.Incarnation = 21,
                   .Sequence = 8,
                   .Echo = KeeperStamp{.Incarnation = 33,
                                       .Time = TimePoint(milliseconds(123456))},
                   .ShareSeconds = 0.25,
                   .Span = milliseconds(150),
                   .Keepers = {{"front-1"}, {"front-2"}},
                   .Needs = {{.Account = {"mill"}, .Operations = 3}}});
  expectLimit("limit_reply_1",
              LimitReply{.RequestIncarnation = 21,
                         .RequestSequence = 8,
                         .Stamp = {.Incarnation = 33,
                                   .Time = TimePoint(milliseconds(123460))},
                         .News = OwnerTableNews{.Epoch = 2,
                                                .Stored = {41},
                                                .ReadAge = milliseconds(900)},
                         .Grants = {{.Account = {"mill"},
                                     .Operations = 2,
                                     .Validity = milliseconds(400),
                                     .RetryAfter = milliseconds(30)}}});
}

TEST(FormatCorpus, RecordsInTheStore) {
  PrimaryRecord Record{.Service = {"ledger"},
                       .Epoch = 3,
                       .Primary = {"m1"},
                       .Phase = PrimaryPhase::Ordered,
                       .Target = {"m2"},
                       .Writer = {"front-1"},
                       .Attempt = 99,
                       .ClosedFrom = {11},
                       .Stored = {7}};
  EXPECT_EQ(encodePrimaryRecord(Record), stored("primary_record"));
  auto Decoded = toOutcome([&] {
    return decodePrimaryRecord(
        entry(primaryRecordKey(Record.Service), "primary_record"));
  });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Record);

  Record.KnownTerm = {4};
  EXPECT_EQ(encodePrimaryRecord(Record), stored("primary_record_term"));
  Decoded = toOutcome([&] {
    return decodePrimaryRecord(
        entry(primaryRecordKey(Record.Service), "primary_record_term"));
  });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Record);

  Record.TermStarts = {{.NewTerm = {2}, .PrecedingPosition = {92}},
                       {.NewTerm = {4}, .PrecedingPosition = {140}}};
  EXPECT_EQ(encodePrimaryRecord(Record), stored("primary_record_starts"));
  Decoded = toOutcome([&] {
    return decodePrimaryRecord(
        entry(primaryRecordKey(Record.Service), "primary_record_starts"));
  });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Record);

  GrantorSet Set{
      .Current = {{.Id = {"front-1"},
                   .PeerEndpoint = {.Address = "10.1.0.8", .Port = 7440}}},
      .Previous = {{.Id = {"front-2"},
                    .PeerEndpoint = {.Address = "10.2.0.6", .Port = 7440}}},
      .VerifiedEra = {1},
      .Stored = {7}};
  EXPECT_EQ(encodeGrantorSet(Set), stored("grantor_set"));
  auto DecodedSet = toOutcome([&] {
    return decodeGrantorSet(entry(std::string(GrantorsKey), "grantor_set"));
  });
  ASSERT_TRUE(DecodedSet);
  EXPECT_EQ(DecodedSet.value(), Set);

  OwnerTable Table{.Epoch = 2,
                   .Owners = {{"front-1"}, {"front-2"}},
                   .PreviousOwners = {{"front-1"}},
                   .WrittenIn = {1}};
  EXPECT_EQ(encodeOwnerTable(Table), stored("owner_table"));
  auto DecodedTable = toOutcome([&] {
    return decodeOwnerTable(entry(std::string(OwnerTableKey), "owner_table"));
  });
  ASSERT_TRUE(DecodedTable);
  EXPECT_EQ(DecodedTable.value(), Table);

  RegisteredInstance Instance{
      .Id = {"front-1"},
      .PeerEndpoint = {.Address = "10.1.0.8", .Port = 7440},
      .Zone = {"vatva"},
      .Stored = {7}};
  EXPECT_EQ(encodeRegisteredInstance(Instance), stored("registered_instance"));
  auto DecodedInstance = toOutcome([&] {
    return decodeRegisteredInstance(
        entry(std::string(InstancesPrefix) + Instance.Id.Value,
              "registered_instance"));
  });
  ASSERT_TRUE(DecodedInstance);
  EXPECT_EQ(DecodedInstance.value(), Instance);
}

TEST(FormatCorpus, CopiesOfTheStore) {
  StoreCopy Copy{.Entries = {{.Key = "op/config",
                              .Value = R"({"version":4})",
                              .Modified = {41}}},
                 .StoreRevision = {43},
                 .Age = milliseconds(900)};
  EXPECT_EQ(encodeStoreCopy(Copy), stored("store_copy"));
  auto Decoded =
      toOutcome([&] { return decodeStoreCopy(stored("store_copy")); });
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Copy);
}

/// A message of a later build is refused with an error, never misread.
TEST(FormatCorpus, MessagesOfALaterFormatAreRefused) {
  for (const char *Name : {"lease_query_5", "limit_request_1"}) {
    std::string Bytes = fromHex(stored(Name));
    // The archive's byte order comes before the version.
    ASSERT_GT(Bytes.size(), 1U);
    Bytes[1] = static_cast<char>(Bytes[1] + 1);
    EXPECT_FALSE(toOutcome([&] { return decodeLeaseMessage(Bytes); })) << Name;
    EXPECT_FALSE(toOutcome([&] { return decodeLimitMessage(Bytes); })) << Name;
  }
}

} // namespace
} // namespace turmericpitch
