#include "failover/LeaseMessages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace turmericpitch {

namespace {

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

/// Incremented with each change of the format. Messages of other versions are
/// dropped.
constexpr std::uint8_t FormatVersion = 5;

enum class Kind : std::uint8_t {
  Query = 1,
  Reply = 2,
  Notification = 3,
  CloseRequest = 4,
  CloseConsent = 5
};

constexpr std::size_t MaxNameBytes = 200;
/// Longer ages, such as those since an event that never was, would overflow
/// differences of time points.
constexpr Duration MaxAge = std::chrono::hours(24 * 3650);

void writeName(Writer &To, const std::string &Text) {
  auto Length = static_cast<std::uint8_t>(std::min(Text.size(), MaxNameBytes));
  To(Length, cereal::binary_data(Text.data(), std::size_t{Length}));
}

std::string readName(Reader &From) {
  std::uint8_t Length = 0;
  From(Length);
  std::string Text(Length, '\0');
  From(cereal::binary_data(Text.data(), Text.size()));
  return Text;
}

template <typename Enumeration>
Enumeration readEnumeration(Reader &From, Enumeration Last) {
  std::uint8_t Raw = 0;
  From(Raw);
  if (Raw > static_cast<std::uint8_t>(Last))
    throw cereal::Exception("enumeration value out of range");
  return static_cast<Enumeration>(Raw);
}

bool readFlag(Reader &From) {
  enum class Flag : std::uint8_t { Off, On };
  return readEnumeration(From, Flag::On) == Flag::On;
}

void writeAge(Writer &To, Duration Age) {
  To(static_cast<std::uint64_t>(Age.count()));
}

Duration readAge(Reader &From) {
  std::uint64_t Age = 0;
  From(Age);
  return Duration(static_cast<Duration::rep>(
      std::min(Age, static_cast<std::uint64_t>(MaxAge.count()))));
}

void writeService(Writer &To, const ServiceReport &Each) {
  writeName(To, Each.Record.Service.Value);
  writeName(To, Each.Record.Primary.Value);
  To(Each.Record.Epoch, static_cast<std::uint8_t>(Each.Record.Phase),
     Each.Record.Stored.Value, Each.Record.ClosedFrom.Value);
  writeAge(To, Each.Age);
  writeAge(To, Each.LeaseAge);
  To(Each.Grantors.Value, Each.ConsentedTo.Value);
  To(static_cast<std::uint8_t>(Each.Granted),
     static_cast<std::uint8_t>(Each.Reachability),
     static_cast<std::uint8_t>(Each.Sample.has_value()));
  if (!Each.Sample)
    return;
  To(Each.Sample->WrittenIn.Value, Each.Sample->Position.Value);
  writeAge(To, Each.SampleAge);
}

ServiceReport readService(Reader &From) {
  ServiceReport Each;
  Each.Record.Service.Value = readName(From);
  Each.Record.Primary.Value = readName(From);
  From(Each.Record.Epoch);
  Each.Record.Phase = readEnumeration(From, PrimaryPhase::Ordered);
  From(Each.Record.Stored.Value, Each.Record.ClosedFrom.Value);
  Each.Age = readAge(From);
  Each.LeaseAge = readAge(From);
  From(Each.Grantors.Value, Each.ConsentedTo.Value);
  Each.Granted = readFlag(From);
  Each.Reachability = readEnumeration(From, PrimaryReachability::Silent);
  if (!readFlag(From))
    return Each;
  Each.Sample.emplace();
  From(Each.Sample->WrittenIn.Value, Each.Sample->Position.Value);
  Each.SampleAge = readAge(From);
  return Each;
}

void writeVersions(Writer &To, const KnownVersions &Versions) {
  To(Versions.Configuration, Versions.Members, Versions.Instances);
  writeAge(To, Versions.InstancesAge);
  To(Versions.PromoterStep);
  writeAge(To, Versions.PromoterStepAge);
}

KnownVersions readVersions(Reader &From) {
  KnownVersions Versions;
  From(Versions.Configuration, Versions.Members, Versions.Instances);
  Versions.InstancesAge = readAge(From);
  From(Versions.PromoterStep);
  Versions.PromoterStepAge = readAge(From);
  return Versions;
}

/// Fields that were added to a reply since FormatVersion follow its services,
/// after a byte with a bit for each that is present. Earlier builds don't read
/// them.
constexpr std::uint8_t ConfigurationConfirmed = 1U << 0U;
constexpr std::uint8_t MembersConfirmed = 1U << 1U;

void writeExtension(Writer &To, const KnownVersions &Versions) {
  const auto &Configuration = Versions.ConfigurationConfirmedAge;
  const auto &Members = Versions.MembersConfirmedAge;
  auto Present =
      static_cast<std::uint8_t>((Configuration ? ConfigurationConfirmed : 0U) |
                                (Members ? MembersConfirmed : 0U));
  if (Present == 0)
    return;
  To(Present);
  if (Configuration)
    writeAge(To, *Configuration);
  if (Members)
    writeAge(To, *Members);
}

void readExtension(Reader &From, KnownVersions &Versions) {
  std::uint8_t Present = 0;
  From(Present);
  if ((Present & ConfigurationConfirmed) != 0)
    Versions.ConfigurationConfirmedAge = readAge(From);
  if ((Present & MembersConfirmed) != 0)
    Versions.MembersConfirmedAge = readAge(From);
}

void writeBody(Writer &To, const LeaseQuery &Message) {
  To(static_cast<std::uint8_t>(Kind::Query), Message.Serial,
     static_cast<std::uint8_t>(Message.WantsGrants),
     static_cast<std::uint8_t>(Message.Brief));
}

void writeBody(Writer &To, const LeaseReply &Message) {
  To(static_cast<std::uint8_t>(Kind::Reply), Message.Serial, Message.Part,
     Message.Parts, static_cast<std::uint8_t>(Message.Services.size()));
  writeVersions(To, Message.Versions);
  To(static_cast<std::uint8_t>(Message.RemembersGrants),
     static_cast<std::uint8_t>(Message.Stopping));
  for (const ServiceReport &Each : Message.Services)
    writeService(To, Each);
  writeExtension(To, Message.Versions);
}

void writeBody(Writer &To, const ChangeNotification &) {
  To(static_cast<std::uint8_t>(Kind::Notification));
}

void writeBody(Writer &To, const CloseRequest &Message) {
  To(static_cast<std::uint8_t>(Kind::CloseRequest), Message.Serial);
  writeName(To, Message.Service.Value);
  To(Message.Closed.Value);
}

void writeBody(Writer &To, const CloseConsent &Message) {
  To(static_cast<std::uint8_t>(Kind::CloseConsent), Message.Serial);
}

LeaseMessage readMessage(std::istream &Stream, Reader &From) {
  std::uint8_t Version = 0;
  From(Version);
  if (Version != FormatVersion)
    throw cereal::Exception("unsupported format version");
  switch (readEnumeration(From, Kind::CloseConsent)) {
  case Kind::Query: {
    LeaseQuery Query;
    From(Query.Serial);
    Query.WantsGrants = readFlag(From);
    Query.Brief = readFlag(From);
    return Query;
  }
  case Kind::Reply: {
    LeaseReply Reply;
    std::uint8_t Count = 0;
    From(Reply.Serial, Reply.Part, Reply.Parts, Count);
    Reply.Versions = readVersions(From);
    Reply.RemembersGrants = readFlag(From);
    Reply.Stopping = readFlag(From);
    if (Count > MaxServicesPerPart)
      throw cereal::Exception("too many services in one part");
    for (std::uint8_t Index = 0; Index < Count; ++Index)
      Reply.Services.push_back(readService(From));
    if (Stream.peek() != std::istream::traits_type::eof())
      readExtension(From, Reply.Versions);
    return Reply;
  }
  case Kind::Notification:
    return ChangeNotification{};
  case Kind::CloseRequest: {
    CloseRequest Request;
    From(Request.Serial);
    Request.Service.Value = readName(From);
    From(Request.Closed.Value);
    return Request;
  }
  case Kind::CloseConsent: {
    CloseConsent Consent;
    From(Consent.Serial);
    return Consent;
  }
  }
  throw cereal::Exception("unknown message kind");
}

} // namespace

std::string encodeLeaseMessage(const LeaseMessage &Message) {
  std::ostringstream Bytes;
  {
    Writer To(Bytes);
    To(FormatVersion);
    std::visit([&](const auto &Each) { writeBody(To, Each); }, Message);
  }
  return Bytes.str();
}

Result<LeaseMessage> decodeLeaseMessage(std::string_view Bytes) {
  try {
    std::istringstream Stream{std::string(Bytes)};
    Reader From(Stream);
    return readMessage(Stream, From);
  } catch (const std::exception &Failure) {
    return boost::leaf::new_error(Error{
        .Kind = ErrorKind::BadRequest,
        .Message = std::string("malformed lease message from an instance: ") +
                   Failure.what(),
        .Remedy = "run the same version on all instances"});
  }
}

} // namespace turmericpitch
