#include "limits/LimitMessages.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cmath>
#include <sstream>

namespace turmericpitch {

namespace {

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

/// Incremented with each change of the format. Messages of other versions are
/// dropped.
constexpr std::uint8_t FormatVersion = 1;

/// Wire values; never reused.
enum class Kind : std::uint8_t { Request = 1, Reply = 2 };

constexpr std::size_t MaxMessageBytes = 2048;
/// Longer times have no use, and would overflow sums with time points.
constexpr Duration MaxTime = std::chrono::hours(24);

bool fits(const std::string &Name) { return Name.size() <= MaxLimitNameBytes; }

void writeName(Writer &To, const std::string &Text) {
  To(static_cast<std::uint8_t>(Text.size()),
     cereal::binary_data(Text.data(), Text.size()));
}

std::string readName(Reader &From) {
  std::uint8_t Length = 0;
  From(Length);
  if (Length > MaxLimitNameBytes)
    throw cereal::Exception("name too long");
  std::string Text(Length, '\0');
  From(cereal::binary_data(Text.data(), Text.size()));
  return Text;
}

std::uint8_t readCount(Reader &From, std::size_t Max) {
  std::uint8_t Count = 0;
  From(Count);
  if (Count > Max)
    throw cereal::Exception("too many elements");
  return Count;
}

bool readFlag(Reader &From) {
  std::uint8_t Flag = 0;
  From(Flag);
  if (Flag > 1)
    throw cereal::Exception("flag out of range");
  return Flag == 1;
}

double readAmount(Reader &From) {
  double Amount = 0;
  From(Amount);
  if (!std::isfinite(Amount) || Amount < 0)
    throw cereal::Exception("amount out of range");
  return Amount;
}

void writeTime(Writer &To, Duration Time) {
  To(static_cast<std::int64_t>(Time.count()));
}

Duration readTime(Reader &From, Duration Min = Duration(0)) {
  std::int64_t Count = 0;
  From(Count);
  if (Count < Min.count() || Count > MaxTime.count())
    throw cereal::Exception("time out of range");
  return Duration(Count);
}

void writeStamp(Writer &To, const KeeperStamp &Stamp) {
  To(Stamp.Incarnation,
     static_cast<std::int64_t>(Stamp.Time.time_since_epoch().count()));
}

KeeperStamp readStamp(Reader &From) {
  KeeperStamp Stamp;
  std::int64_t Time = 0;
  From(Stamp.Incarnation, Time);
  // Far from the ends, so that differences don't overflow.
  if (Time < INT64_MIN / 4 || Time > INT64_MAX / 4)
    throw cereal::Exception("stamp out of range");
  Stamp.Time = TimePoint(Duration(Time));
  return Stamp;
}

/// The first elements whose names may be sent.
template <typename Element, typename NameOf>
std::vector<const Element *> sendable(const std::vector<Element> &All,
                                      std::size_t Max, NameOf Name) {
  std::vector<const Element *> Chosen;
  for (const Element &Each : All)
    if (fits(Name(Each)) && Chosen.size() < Max)
      Chosen.push_back(&Each);
  return Chosen;
}

void writeBody(Writer &To, const LimitRequest &Message) {
  To(static_cast<std::uint8_t>(Kind::Request), Message.Incarnation,
     Message.Sequence, static_cast<std::uint8_t>(Message.Echo.has_value()));
  if (Message.Echo)
    writeStamp(To, *Message.Echo);
  To(Message.ShareSeconds);
  writeTime(To, Message.Span);
  auto Keepers = sendable(Message.Keepers, MaxKeepersPerMessage,
                          [](const InstanceId &Each) { return Each.Value; });
  To(static_cast<std::uint8_t>(Keepers.size()));
  for (const InstanceId *Each : Keepers)
    writeName(To, Each->Value);
  auto Needs =
      sendable(Message.Needs, MaxAccountsPerMessage,
               [](const AccountNeed &Each) { return Each.Account.Value; });
  To(static_cast<std::uint8_t>(Needs.size()));
  for (const AccountNeed *Each : Needs) {
    writeName(To, Each->Account.Value);
    To(Each->Operations);
  }
}

void writeBody(Writer &To, const LimitReply &Message) {
  To(static_cast<std::uint8_t>(Kind::Reply), Message.RequestIncarnation,
     Message.RequestSequence);
  writeStamp(To, Message.Stamp);
  To(static_cast<std::uint8_t>(Message.News.has_value()));
  if (Message.News) {
    To(Message.News->Epoch, Message.News->Stored.Value);
    writeTime(To, Message.News->ReadAge);
  }
  auto Grants =
      sendable(Message.Grants, MaxAccountsPerMessage,
               [](const AccountGrant &Each) { return Each.Account.Value; });
  To(static_cast<std::uint8_t>(Grants.size()));
  for (const AccountGrant *Each : Grants) {
    writeName(To, Each->Account.Value);
    To(Each->Operations);
    writeTime(To, Each->Validity);
    writeTime(To, Each->RetryAfter);
  }
}

LimitRequest readRequest(Reader &From) {
  LimitRequest Message;
  From(Message.Incarnation, Message.Sequence);
  if (readFlag(From))
    Message.Echo = readStamp(From);
  Message.ShareSeconds = readAmount(From);
  Message.Span = readTime(From, -MaxTime);
  std::uint8_t Keepers = readCount(From, MaxKeepersPerMessage);
  for (std::uint8_t Index = 0; Index < Keepers; ++Index)
    Message.Keepers.push_back({readName(From)});
  std::uint8_t Needs = readCount(From, MaxAccountsPerMessage);
  for (std::uint8_t Index = 0; Index < Needs; ++Index) {
    AccountNeed Need{.Account = {readName(From)}};
    Need.Operations = readAmount(From);
    Message.Needs.push_back(std::move(Need));
  }
  return Message;
}

LimitReply readReply(Reader &From) {
  LimitReply Message;
  From(Message.RequestIncarnation, Message.RequestSequence);
  Message.Stamp = readStamp(From);
  if (readFlag(From)) {
    Message.News.emplace();
    From(Message.News->Epoch, Message.News->Stored.Value);
    Message.News->ReadAge = readTime(From);
  }
  std::uint8_t Grants = readCount(From, MaxAccountsPerMessage);
  for (std::uint8_t Index = 0; Index < Grants; ++Index) {
    AccountGrant Grant{.Account = {readName(From)}};
    Grant.Operations = readAmount(From);
    Grant.Validity = readTime(From);
    Grant.RetryAfter = readTime(From);
    Message.Grants.push_back(std::move(Grant));
  }
  return Message;
}

LimitMessage readMessage(Reader &From) {
  std::uint8_t Version = 0;
  std::uint8_t Which = 0;
  From(Version, Which);
  if (Version != FormatVersion)
    throw cereal::Exception("unsupported format version");
  if (Which == static_cast<std::uint8_t>(Kind::Request))
    return readRequest(From);
  if (Which == static_cast<std::uint8_t>(Kind::Reply))
    return readReply(From);
  throw cereal::Exception("unknown message kind");
}

Error malformedMessageError(std::string_view Reason) {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "malformed limit message from an instance: " +
                     std::string(Reason),
          .Remedy = "run the same version on all instances"};
}

} // namespace

std::string encodeLimitMessage(const LimitMessage &Message) {
  std::ostringstream Bytes;
  {
    Writer To(Bytes);
    To(FormatVersion);
    std::visit([&](const auto &Each) { writeBody(To, Each); }, Message);
  }
  return Bytes.str();
}

Result<LimitMessage> decodeLimitMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes)
    return boost::leaf::new_error(malformedMessageError("too long"));
  try {
    std::istringstream Stream{std::string(Bytes)};
    Reader From(Stream);
    LimitMessage Message = readMessage(From);
    if (Stream.peek() != std::istringstream::traits_type::eof())
      return boost::leaf::new_error(malformedMessageError("bytes left over"));
    return Message;
  } catch (const std::exception &Failure) {
    return boost::leaf::new_error(malformedMessageError(Failure.what()));
  }
}

} // namespace turmericpitch
