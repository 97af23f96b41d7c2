// Validated reading of JSON objects with Boost.JSON.
#pragma once

#include "core/Error.h"
#include "core/Time.h"

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpitch {

/// What strings may hold.
enum class JsonTextRule : std::uint8_t { Utf8, AnyBytes };

/// Parses text into an object. Thread-safe.
/// Errors: BadRequest if the text is not one JSON object or is nested too
/// deeply.
Result<boost::json::object>
parseJsonObject(std::string_view Text, JsonTextRule Rule = JsonTextRule::Utf8);

/// Reads the fields of one JSON object and collects all validation errors.
/// Fields that were not read are errors too, unless allowUnknown() was called.
/// Not thread-safe.
class JsonReader {
public:
  explicit JsonReader(const boost::json::object &Object) : Object(Object) {}

  /// A missing field without a default is recorded as an error. This holds for
  /// text(), number() and flag(). JSON doesn't tell 5 from 5.0, so both are
  /// whole numbers.
  std::string text(std::string_view Key,
                   std::optional<std::string> Default = std::nullopt);
  std::uint64_t number(std::string_view Key,
                       std::optional<std::uint64_t> Default = std::nullopt);
  /// Like number(), for numbers of at most Max.
  std::uint32_t count(std::string_view Key, std::uint32_t Max,
                      std::optional<std::uint64_t> Default = std::nullopt);
  /// A non-negative number of at most 10^12; std::nullopt if the key is absent.
  std::optional<double> decimal(std::string_view Key);
  bool flag(std::string_view Key, std::optional<bool> Default = std::nullopt);
  std::vector<std::string> texts(std::string_view Key);
  /// A number of milliseconds, with or without a fraction, at most one year;
  /// std::nullopt if the key is absent.
  std::optional<Duration> milliseconds(std::string_view Key);
  /// The same for a field that may not be absent unless Default is set.
  Duration requiredMilliseconds(std::string_view Key,
                                std::optional<Duration> Default = std::nullopt);
  /// A nested object, or nullptr if absent.
  const boost::json::object *object(std::string_view Key);
  /// A nested array, or nullptr if absent.
  const boost::json::array *array(std::string_view Key);
  [[nodiscard]] bool has(std::string_view Key) const;

  void allowUnknown() { this->UnknownAllowed = true; }
  /// Reports the collected errors. Errors: BadRequest that lists each invalid
  /// field with its remedy.
  Result<void> finish();

private:
  const boost::json::value *find(std::string_view Key);
  void problem(std::string_view Key, std::string_view Text);

  const boost::json::object &Object;
  std::vector<std::string> KnownKeys;
  std::string Problems;
  bool UnknownAllowed = false;
};

} // namespace turmericpitch
