#include "configuration/ConfigurationMessages.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <stdexcept>

namespace turmericpitch {

namespace {

constexpr std::uint8_t MessageVersion = 1;
constexpr std::uint8_t AnnouncementTag = 1;
constexpr std::uint8_t ChangeTag = 2;
/// Longer platform outages are reported as this value.
constexpr std::int64_t MaximumAgeMilliseconds = 24LL * 3600 * 1000;

/// Serializes fields in order.
class FieldWriter {
public:
  template <std::integral T> void number(T Value) { this->Archive(Value); }
  void text(const std::string &Value) {
    this->number(static_cast<std::uint32_t>(Value.size()));
    this->Archive.saveBinary<1>(Value.data(),
                                static_cast<std::streamsize>(Value.size()));
  }
  std::string take() { return std::move(this->Stream).str(); }

private:
  std::ostringstream Stream;
  cereal::PortableBinaryOutputArchive Archive{this->Stream};
};

/// Deserializes fields in order. Throws if the message is shorter than its
/// fields.
class FieldReader {
public:
  explicit FieldReader(std::string_view Bytes)
      : Stream(std::string(Bytes)), Limit(Bytes.size()) {}

  template <std::integral T> T number() {
    T Value{};
    this->Archive(Value);
    return Value;
  }
  std::string text() {
    std::string Value(this->count(), '\0');
    this->Archive.loadBinary<1>(Value.data(),
                                static_cast<std::streamsize>(Value.size()));
    return Value;
  }
  /// A number of bytes, or of items that take at least one byte each.
  std::size_t count() {
    auto Count = this->number<std::uint32_t>();
    if (Count > this->Limit)
      throw std::length_error("count exceeds the message size");
    return Count;
  }
  [[nodiscard]] bool atEnd() {
    return this->Stream.peek() == std::istringstream::traits_type::eof();
  }

private:
  std::istringstream Stream;
  std::size_t Limit;
  cereal::PortableBinaryInputArchive Archive{this->Stream};
};

void write(FieldWriter &To, const ConfigurationAnnouncement &Message) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  std::int64_t Age =
      duration_cast<milliseconds>(Message.PlatformReplyAge).count();
  To.number(AnnouncementTag);
  To.number(Message.Newest.Value);
  To.text(Message.Digest);
  To.number(std::min(Age, MaximumAgeMilliseconds));
  To.number(static_cast<std::uint8_t>(Message.Problem));
  To.number(Message.WantsReply);
  To.number(Message.OffersCopy);
}

ConfigurationAnnouncement readAnnouncement(FieldReader &From) {
  ConfigurationAnnouncement Message;
  Message.Newest = TicketNumber{From.number<std::uint64_t>()};
  Message.Digest = From.text();
  auto Age = From.number<std::int64_t>();
  if (Age < 0 || Age > MaximumAgeMilliseconds)
    throw std::out_of_range("age");
  Message.PlatformReplyAge = std::chrono::milliseconds(Age);
  auto Problem = From.number<std::uint8_t>();
  if (Problem > static_cast<std::uint8_t>(ConfigurationProblem::Diverged))
    throw std::out_of_range("problem");
  Message.Problem = static_cast<ConfigurationProblem>(Problem);
  Message.WantsReply = From.number<std::uint8_t>() != 0;
  Message.OffersCopy = From.number<std::uint8_t>() != 0;
  return Message;
}

void write(FieldWriter &To, const ConfigurationChange &Message) {
  To.number(ChangeTag);
  To.number(Message.After.Value);
  To.number(Message.Head.Newest.Value);
  To.text(Message.Head.Digest);
  To.number(Message.Head.AcceptedCount);
  To.number(static_cast<std::uint32_t>(Message.Head.LargeTickets.size()));
  for (const LargeTicket &Large : Message.Head.LargeTickets) {
    To.number(Large.Number.Value);
    To.text(Large.LastMovedPath);
  }
  To.number(Message.HeadRevision.Value);
  To.number(static_cast<std::uint32_t>(Message.Records.size()));
  for (const auto &[Key, Record] : Message.Records) {
    To.number(static_cast<std::uint8_t>(Key.Kind));
    To.text(Key.Id);
    To.number(Record.SetBy.Value);
    To.text(Record.Json);
  }
}

void readRecord(FieldReader &From, ConfigurationChange &Into) {
  auto Kind = From.number<std::uint8_t>();
  if (Kind > static_cast<std::uint8_t>(ObjectKind::Database))
    throw std::out_of_range("kind");
  ObjectKey Key;
  Key.Kind = static_cast<ObjectKind>(Kind);
  Key.Id = From.text();
  ObjectRecord Record;
  Record.SetBy = TicketNumber{From.number<std::uint64_t>()};
  Record.Json = From.text();
  if (Record.SetBy > Into.Head.Newest)
    throw std::out_of_range("record is newer than the head");
  Into.Records.emplace(std::move(Key), std::move(Record));
}

ConfigurationChange readChange(FieldReader &From) {
  ConfigurationChange Message;
  Message.After = TicketNumber{From.number<std::uint64_t>()};
  Message.Head.Newest = TicketNumber{From.number<std::uint64_t>()};
  Message.Head.Digest = From.text();
  Message.Head.AcceptedCount = From.number<std::uint64_t>();
  for (std::size_t Remaining = From.count(); Remaining > 0; --Remaining) {
    LargeTicket Large;
    Large.Number = TicketNumber{From.number<std::uint64_t>()};
    Large.LastMovedPath = From.text();
    Message.Head.LargeTickets.push_back(std::move(Large));
  }
  Message.HeadRevision = Revision{From.number<std::uint64_t>()};
  for (std::size_t Remaining = From.count(); Remaining > 0; --Remaining)
    readRecord(From, Message);
  return Message;
}

Error malformed() {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "malformed configuration message or unsupported version",
          .Remedy = "run instances of adjacent versions only"};
}

} // namespace

std::string_view toString(ConfigurationProblem Problem) {
  switch (Problem) {
  case ConfigurationProblem::None:
    return "none";
  case ConfigurationProblem::Empty:
    return "no configuration yet";
  case ConfigurationProblem::Unreadable:
    return "it can't read the change";
  case ConfigurationProblem::Diverged:
    return "it runs other content under this number";
  }
  return "none";
}

std::string encodeMessage(const ConfigurationMessage &Message) {
  FieldWriter Writer;
  Writer.number(MessageVersion);
  std::visit([&](const auto &Each) { write(Writer, Each); }, Message);
  return Writer.take();
}

Result<ConfigurationMessage> decodeMessage(std::string_view Bytes) {
  try {
    FieldReader Reader(Bytes);
    if (Reader.number<std::uint8_t>() != MessageVersion)
      return boost::leaf::new_error(malformed());
    auto Tag = Reader.number<std::uint8_t>();
    std::optional<ConfigurationMessage> Message;
    if (Tag == AnnouncementTag)
      Message = readAnnouncement(Reader);
    else if (Tag == ChangeTag)
      Message = readChange(Reader);
    if (!Message || !Reader.atEnd())
      return boost::leaf::new_error(malformed());
    return std::move(*Message);
  } catch (const std::exception &) {
    return boost::leaf::new_error(malformed());
  }
}

} // namespace turmericpitch
