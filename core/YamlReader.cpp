#include "core/YamlReader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace turmericpitch {

namespace {

constexpr std::size_t MaxNameLength = 64;

struct Unit {
  std::string_view Suffix;
  Duration Length;
};

// Longer suffixes come first, so that "ms" is not parsed as "s".
constexpr std::array<Unit, 5> Units{{{"min", std::chrono::minutes(1)},
                                     {"us", std::chrono::microseconds(1)},
                                     {"ms", std::chrono::milliseconds(1)},
                                     {"s", std::chrono::seconds(1)},
                                     {"h", std::chrono::hours(1)}}};

template <typename T> std::optional<T> parseNumber(std::string_view Text) {
  T Value{};
  const char *End = Text.data() + Text.size();
  auto [Stop, Problem] = std::from_chars(Text.data(), End, Value);
  if (Problem != std::errc{} || Stop != End)
    return std::nullopt;
  return Value;
}

std::optional<Duration> parseDuration(std::string_view Text) {
  for (const Unit &U : Units) {
    if (!Text.ends_with(U.Suffix))
      continue;
    auto Count = parseNumber<std::int64_t>(
        Text.substr(0, Text.size() - U.Suffix.size()));
    constexpr std::int64_t MaxUnits = 1'000'000'000;
    if (!Count || *Count > MaxUnits || *Count < -MaxUnits)
      return std::nullopt;
    return *Count * U.Length;
  }
  return std::nullopt;
}

std::string describe(Duration Length) {
  return std::to_string(Length.count()) + "us";
}

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.';
}

} // namespace

std::string toString(const YamlProblem &Problem) {
  return Problem.File + ":" + std::to_string(Problem.Line) + ": " +
         Problem.Key + ": " + Problem.Message + "; " + Problem.Remedy;
}

void YamlProblems::add(const YAML::Node &Position, const std::string &Key,
                       std::string Message, std::string Remedy) {
  int Line = 0;
  if (Position.IsDefined() && !Position.Mark().is_null())
    Line = Position.Mark().line + 1;
  this->Problems.push_back({.File = this->File,
                            .Line = Line,
                            .Key = Key,
                            .Message = std::move(Message),
                            .Remedy = std::move(Remedy)});
}

Error YamlProblems::asError() const {
  std::string Message;
  for (const YamlProblem &Problem : this->Problems)
    Message += (Message.empty() ? "" : "\n") + toString(Problem);
  return {.Kind = ErrorKind::BadRequest,
          .Message = Message,
          .Remedy =
              "fix each of these problems and submit the whole document again"};
}

YamlReader::YamlReader(const YAML::Node &Node, std::string Path,
                       YamlProblems &Problems)
    : Node(Node), Path(std::move(Path)), Problems(Problems) {}

std::string YamlReader::pathOf(const std::string &Key) const {
  return this->Path.empty() ? Key : this->Path + "." + Key;
}

YAML::Node YamlReader::find(const std::string &Key) {
  this->KnownKeys.push_back(Key);
  if (!this->Node.IsMap())
    return YAML::Node(YAML::NodeType::Undefined);
  // Unlike the non-const operator[], the const one does not create the key.
  const YAML::Node &ConstNode = this->Node;
  return ConstNode[Key];
}

bool YamlReader::has(const std::string &Key) const {
  const YAML::Node &ConstNode = this->Node;
  return ConstNode.IsMap() && ConstNode[Key].IsDefined();
}

void YamlReader::problem(const std::string &Key, std::string Message,
                         std::string Remedy) {
  const YAML::Node &ConstNode = this->Node;
  YAML::Node Position = this->has(Key) ? ConstNode[Key] : this->Node;
  this->Problems.add(Position, this->pathOf(Key), std::move(Message),
                     std::move(Remedy));
}

std::optional<std::string> YamlReader::scalar(const std::string &Key,
                                              bool Required,
                                              std::string_view Expected) {
  YAML::Node Value = this->find(Key);
  if (!Value.IsDefined()) {
    if (Required)
      this->problem(Key, "missing", "add it as " + std::string(Expected));
    return std::nullopt;
  }
  if (!Value.IsScalar()) {
    this->problem(Key, "wrong type", "write it as " + std::string(Expected));
    return std::nullopt;
  }
  return Value.Scalar();
}

std::string YamlReader::text(const std::string &Key,
                             std::optional<std::string> Default) {
  auto Value = this->scalar(Key, !Default, "text");
  if (Value)
    return *Value;
  return Default.value_or("");
}

std::string YamlReader::name(const std::string &Key,
                             std::optional<std::string> Default) {
  auto Value = this->scalar(Key, !Default, "a name");
  if (!Value)
    return Default.value_or("");
  bool Fits = !Value->empty() && Value->size() <= MaxNameLength &&
              std::all_of(Value->begin(), Value->end(), isNameCharacter);
  if (!Fits)
    this->problem(Key, "invalid name",
                  "use 1 to 64 letters, digits, '-', '_' and '.'");
  return *Value;
}

std::int64_t YamlReader::number(const std::string &Key, NumberBounds Bounds,
                                std::optional<std::int64_t> Default) {
  auto Value = this->scalar(Key, !Default, "a whole number");
  if (!Value)
    return Default.value_or(Bounds.Min);
  auto Parsed = parseNumber<std::int64_t>(*Value);
  if (!Parsed) {
    this->problem(Key, "wrong type", "write it as a whole number");
    return Bounds.Min;
  }
  if (*Parsed < Bounds.Min || *Parsed > Bounds.Max) {
    this->problem(Key, "out of range",
                  "use a number from " + std::to_string(Bounds.Min) + " to " +
                      std::to_string(Bounds.Max));
    return Bounds.Min;
  }
  return *Parsed;
}

double YamlReader::fraction(const std::string &Key, double Min, double Max,
                            std::optional<double> Default) {
  auto Value = this->scalar(Key, !Default, "a number");
  if (!Value)
    return Default.value_or(Min);
  auto Parsed = parseNumber<double>(*Value);
  if (!Parsed) {
    this->problem(Key, "wrong type", "write it as a number");
    return Min;
  }
  if (!(*Parsed >= Min && *Parsed <= Max)) {
    this->problem(Key, "out of range",
                  "use a number from " + std::to_string(Min) + " to " +
                      std::to_string(Max));
    return Min;
  }
  return *Parsed;
}

std::optional<double> YamlReader::figure(const std::string &Key) {
  YAML::Node Value = this->find(Key);
  if (!Value.IsDefined() || Value.IsNull())
    return std::nullopt;
  std::string Text = Value.IsScalar() ? Value.Scalar() : "";
  bool Flag = false;
  if (Value.IsScalar() && YAML::convert<bool>::decode(Value, Flag))
    return std::nullopt;
  if (Text.starts_with('+'))
    Text.erase(0, 1);
  auto Parsed = parseNumber<double>(Text);
  if (Parsed && std::isfinite(*Parsed))
    return Parsed;
  this->problem(Key, "wrong type", "write it as a number");
  return std::nullopt;
}

bool YamlReader::flag(const std::string &Key, std::optional<bool> Default) {
  auto Value = this->scalar(Key, !Default, "true or false");
  if (!Value)
    return Default.value_or(false);
  if (*Value != "true" && *Value != "false") {
    this->problem(Key, "wrong type", "write true or false");
    return false;
  }
  return *Value == "true";
}

Duration YamlReader::duration(const std::string &Key, DurationBounds Bounds,
                              std::optional<Duration> Default) {
  auto Value = this->scalar(Key, !Default, "a duration such as 20ms");
  if (!Value)
    return Default.value_or(Bounds.Min);
  auto Parsed = parseDuration(*Value);
  if (!Parsed) {
    this->problem(Key, "wrong unit or type",
                  "write a whole number with us, ms, s, min or h");
    return Bounds.Min;
  }
  if (*Parsed < Bounds.Min || *Parsed > Bounds.Max) {
    this->problem(Key, "out of range",
                  "use a duration from " + describe(Bounds.Min) + " to " +
                      describe(Bounds.Max));
    return Bounds.Min;
  }
  return *Parsed;
}

Endpoint YamlReader::endpoint(const std::string &Key,
                              std::optional<Endpoint> Default) {
  auto Value = this->scalar(Key, !Default, "an address such as 127.0.0.1:7101");
  if (!Value)
    return Default.value_or(Endpoint{});
  auto Parsed = parseEndpoint(*Value);
  if (!Parsed)
    this->problem(Key, "invalid address",
                  "write an IPv4 address and a port, as in 127.0.0.1:7101");
  return Parsed.value_or(Endpoint{});
}

std::vector<std::string> YamlReader::texts(const std::string &Key) {
  YAML::Node List = this->find(Key);
  std::vector<std::string> Values;
  if (!List.IsDefined())
    return Values;
  if (!List.IsSequence()) {
    this->problem(Key, "wrong type", "write it as a list");
    return Values;
  }
  for (const YAML::Node &Item : List) {
    if (Item.IsScalar())
      Values.push_back(Item.Scalar());
    else
      this->Problems.add(Item, this->pathOf(Key), "wrong type",
                         "write each item as text");
  }
  return Values;
}

std::vector<YamlReader> YamlReader::mappings(const std::string &Key) {
  YAML::Node List = this->find(Key);
  std::vector<YamlReader> Readers;
  if (!List.IsDefined())
    return Readers;
  if (!List.IsSequence()) {
    this->problem(Key, "wrong type", "write it as a list of mappings");
    return Readers;
  }
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    std::string ItemPath =
        this->pathOf(Key) + "[" + std::to_string(Index) + "]";
    if (List[Index].IsMap())
      Readers.emplace_back(List[Index], ItemPath, this->Problems);
    else
      this->Problems.add(List[Index], ItemPath, "wrong type",
                         "write it as a mapping");
  }
  return Readers;
}

YamlReader YamlReader::mapping(const std::string &Key) {
  const YAML::Node Value = this->find(Key);
  if (Value.IsDefined() && Value.IsMap())
    return {Value, this->pathOf(Key), this->Problems};
  if (Value.IsDefined())
    this->problem(Key, "wrong type", "write it as a mapping");
  return {YAML::Node(YAML::NodeType::Map), this->pathOf(Key), this->Problems};
}

YamlReader YamlReader::mappingOrEmpty(const std::string &Key) {
  const YAML::Node &ConstNode = this->Node;
  if (!this->has(Key) || !ConstNode[Key].IsNull())
    return this->mapping(Key);
  this->KnownKeys.push_back(Key);
  return {YAML::Node(YAML::NodeType::Map), this->pathOf(Key), this->Problems};
}

void YamlReader::finish() {
  if (!this->Node.IsMap())
    return;
  std::vector<std::string> Seen;
  for (const auto &Entry : this->Node) {
    std::string Key = Entry.first.IsScalar() ? Entry.first.Scalar() : "?";
    if (std::find(Seen.begin(), Seen.end(), Key) != Seen.end())
      this->Problems.add(Entry.first, this->pathOf(Key), "duplicate key",
                         "remove one of the two");
    Seen.push_back(Key);
    bool Known = std::find(this->KnownKeys.begin(), this->KnownKeys.end(),
                           Key) != this->KnownKeys.end();
    if (Known)
      continue;
    std::string Choices;
    for (const std::string &KnownKey : this->KnownKeys)
      Choices += (Choices.empty() ? "" : ", ") + KnownKey;
    this->Problems.add(Entry.first, this->pathOf(Key), "unknown key",
                       "remove it or use one of: " + Choices);
  }
}

std::optional<YAML::Node> parseYamlMapping(std::string_view Text,
                                           YamlProblems &Problems) {
  if (Text.find('\0') != std::string_view::npos) {
    Problems.add({}, "", "contains a NUL byte",
                 "send UTF-8 text without NUL bytes");
    return std::nullopt;
  }
  try {
    YAML::Node Root = YAML::Load(std::string(Text));
    if (Root.IsMap())
      return Root;
    Problems.add(Root, "", "not a mapping",
                 "write keys and values at the top level");
  } catch (const YAML::Exception &Failure) {
    YAML::Node NoPosition;
    Problems.add(NoPosition, "line " + std::to_string(Failure.mark.line + 1),
                 "not YAML: " + Failure.msg, "fix the syntax");
  }
  return std::nullopt;
}

} // namespace turmericpitch
