#include "drivers/Json.h"

#include <algorithm>
#include <cmath>

namespace turmericpitch {

namespace {

constexpr std::size_t MaximumDepth = 16;
constexpr double MaximumDecimal = 1e12;
constexpr double MaximumMilliseconds = 1000.0 * 3600 * 24 * 365;

Error badJson(std::string Message) {
  return {.Kind = ErrorKind::BadRequest,
          .Message = std::move(Message),
          .Remedy = "send one JSON object with the documented fields"};
}

} // namespace

Result<boost::json::object> parseJsonObject(std::string_view Text,
                                            JsonTextRule Rule) {
  boost::json::parse_options Options;
  Options.allow_invalid_utf8 = Rule == JsonTextRule::AnyBytes;
  Options.max_depth = MaximumDepth;
  boost::json::error_code Failure;
  boost::json::value Value = boost::json::parse(Text, Failure, {}, Options);
  if (Failure)
    return boost::leaf::new_error(
        badJson("malformed JSON: " + Failure.message()));
  if (!Value.is_object())
    return boost::leaf::new_error(badJson("not a JSON object"));
  return std::move(Value.as_object());
}

const boost::json::value *JsonReader::find(std::string_view Key) {
  this->KnownKeys.emplace_back(Key);
  const boost::json::value *Value = this->Object.if_contains(Key);
  return Value && Value->is_null() ? nullptr : Value;
}

bool JsonReader::has(std::string_view Key) const {
  return this->Object.if_contains(Key) != nullptr;
}

void JsonReader::problem(std::string_view Key, std::string_view Text) {
  this->Problems += this->Problems.empty() ? "" : "; ";
  this->Problems += std::string(Key) + ": " + std::string(Text);
}

std::string JsonReader::text(std::string_view Key,
                             std::optional<std::string> Default) {
  const boost::json::value *Value = this->find(Key);
  if (Value && Value->is_string())
    return std::string(Value->as_string());
  if (Value || !Default)
    this->problem(Key, Value ? "must be a string" : "missing string");
  return Default.value_or("");
}

std::uint64_t JsonReader::number(std::string_view Key,
                                 std::optional<std::uint64_t> Default) {
  const boost::json::value *Value = this->find(Key);
  if (Value && Value->is_uint64())
    return Value->as_uint64();
  if (Value && Value->is_int64() && Value->as_int64() >= 0)
    return static_cast<std::uint64_t>(Value->as_int64());
  constexpr double FirstInexact = 1ULL << 53U;
  if (Value && Value->is_double()) {
    double Whole = std::floor(Value->as_double());
    if (Whole == Value->as_double() && Whole >= 0 && Whole < FirstInexact)
      return static_cast<std::uint64_t>(Whole);
  }
  if (Value || !Default)
    this->problem(Key, Value ? "must be a non-negative whole number"
                             : "missing whole number");
  return Default.value_or(0);
}

std::uint32_t JsonReader::count(std::string_view Key, std::uint32_t Max,
                                std::optional<std::uint64_t> Default) {
  std::uint64_t Count = this->number(Key, Default);
  if (Count > Max)
    this->problem(Key, "must be at most " + std::to_string(Max));
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(Count, Max));
}

std::optional<double> JsonReader::decimal(std::string_view Key) {
  const boost::json::value *Value = this->find(Key);
  if (!Value)
    return std::nullopt;
  boost::json::error_code Failure;
  auto Number = Value->to_number<double>(Failure);
  if (!Failure && Number >= 0 && Number <= MaximumDecimal)
    return Number;
  this->problem(Key, "must be a number from 0 to 10^12");
  return std::nullopt;
}

bool JsonReader::flag(std::string_view Key, std::optional<bool> Default) {
  const boost::json::value *Value = this->find(Key);
  if (Value && Value->is_bool())
    return Value->as_bool();
  if (Value || !Default)
    this->problem(Key, "must be true or false");
  return Default.value_or(false);
}

std::vector<std::string> JsonReader::texts(std::string_view Key) {
  std::vector<std::string> Values;
  const boost::json::array *List = this->array(Key);
  if (!List)
    return Values;
  for (const boost::json::value &Item : *List) {
    if (Item.is_string())
      Values.emplace_back(Item.as_string());
    else
      this->problem(Key, "each item must be a string");
  }
  return Values;
}

std::optional<Duration> JsonReader::milliseconds(std::string_view Key) {
  constexpr double MicrosecondsPerMillisecond = 1000;
  auto Count = this->decimal(Key);
  if (!Count)
    return std::nullopt;
  if (*Count > MaximumMilliseconds)
    this->problem(Key, "must be at most one year, in milliseconds");
  return Duration(static_cast<Duration::rep>(
      std::min(*Count, MaximumMilliseconds) * MicrosecondsPerMillisecond));
}

Duration JsonReader::requiredMilliseconds(std::string_view Key,
                                          std::optional<Duration> Default) {
  auto Length = this->milliseconds(Key);
  if (!Length && !Default && !this->find(Key))
    this->problem(Key, "missing number");
  return Length.value_or(Default.value_or(Duration{0}));
}

const boost::json::object *JsonReader::object(std::string_view Key) {
  const boost::json::value *Value = this->find(Key);
  if (Value && !Value->is_object())
    this->problem(Key, "must be an object");
  return Value ? Value->if_object() : nullptr;
}

const boost::json::array *JsonReader::array(std::string_view Key) {
  const boost::json::value *Value = this->find(Key);
  if (Value && !Value->is_array())
    this->problem(Key, "must be an array");
  return Value ? Value->if_array() : nullptr;
}

Result<void> JsonReader::finish() {
  if (!this->UnknownAllowed)
    for (const auto &Entry : this->Object)
      if (std::find(this->KnownKeys.begin(), this->KnownKeys.end(),
                    Entry.key()) == this->KnownKeys.end())
        this->problem(std::string(Entry.key()), "unknown field; remove it");
  if (!this->Problems.empty())
    return boost::leaf::new_error(badJson(this->Problems));
  return {};
}

} // namespace turmericpitch
