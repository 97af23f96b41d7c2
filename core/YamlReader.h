// Validating YAML reader that reports all problems, not only the first.
#pragma once

#include "core/Endpoint.h"
#include "core/Error.h"
#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace turmericpitch {

/// One problem found in a document.
struct YamlProblem {
  std::string File;
  /// Line number, counted from 1; 0 if the position is unknown.
  int Line = 0;
  /// The full path of the key, such as "listen.callers".
  std::string Key;
  std::string Message;
  std::string Remedy;

  auto operator<=>(const YamlProblem &) const = default;
};

/// Formats a problem as "file:line: key: message; remedy". Thread-safe.
std::string toString(const YamlProblem &Problem);

/// Collects the problems of one document while it is read.
/// Not thread-safe.
class YamlProblems {
public:
  explicit YamlProblems(std::string File) : File(std::move(File)) {}

  void add(const YAML::Node &Position, const std::string &Key,
           std::string Message, std::string Remedy);
  [[nodiscard]] const std::vector<YamlProblem> &all() const {
    return this->Problems;
  }
  [[nodiscard]] bool none() const { return this->Problems.empty(); }
  /// All problems as one BadRequest error. Precondition: !none().
  [[nodiscard]] Error asError() const;

private:
  std::string File;
  std::vector<YamlProblem> Problems;
};

/// Inclusive bounds of a whole number.
struct NumberBounds {
  std::int64_t Min = 0;
  std::int64_t Max = INT64_MAX;
};

/// Inclusive bounds of a duration.
struct DurationBounds {
  Duration Min{0};
  Duration Max = std::chrono::hours(24 * 365);
};

/// Reads one mapping. Each read marks its key as known; finish() reports the
/// keys that were not read. Not thread-safe.
class YamlReader {
public:
  /// Path is the key path of the mapping, empty for the root. Problems must
  /// outlive the reader.
  YamlReader(const YAML::Node &Node, std::string Path, YamlProblems &Problems);

  /// Reads a text; required unless Default is given. Returns "" after a
  /// problem.
  std::string text(const std::string &Key,
                   std::optional<std::string> Default = std::nullopt);
  /// Reads a name: text of 1 to 64 letters, digits, '-', '_' and '.'.
  std::string name(const std::string &Key,
                   std::optional<std::string> Default = std::nullopt);
  /// Reads a whole number. Returns Bounds.Min after a problem.
  std::int64_t number(const std::string &Key, NumberBounds Bounds,
                      std::optional<std::int64_t> Default = std::nullopt);
  /// Reads a number in [Min, Max]. Returns Min after a problem.
  double fraction(const std::string &Key, double Min, double Max,
                  std::optional<double> Default = std::nullopt);
  /// Reads a number, whole or with a fraction, or true or false. Nothing if it
  /// is true or false, absent or empty, and after a problem.
  std::optional<double> figure(const std::string &Key);
  /// Reads true or false. Returns false after a problem.
  bool flag(const std::string &Key, std::optional<bool> Default = std::nullopt);
  /// Reads a whole number with a unit: us, ms, s, min or h. Returns Bounds.Min
  /// after a problem.
  Duration duration(const std::string &Key, DurationBounds Bounds,
                    std::optional<Duration> Default = std::nullopt);
  /// Reads an IPv4 address and a port.
  Endpoint endpoint(const std::string &Key,
                    std::optional<Endpoint> Default = std::nullopt);
  /// Reads a list of texts; an absent key means an empty list.
  std::vector<std::string> texts(const std::string &Key);
  /// Returns readers for a list of mappings; an absent key means an empty list.
  std::vector<YamlReader> mappings(const std::string &Key);
  /// Returns a reader for a nested mapping; an absent key means an empty
  /// mapping.
  YamlReader mapping(const std::string &Key);
  /// The same; an empty key means an empty mapping, too.
  YamlReader mappingOrEmpty(const std::string &Key);

  [[nodiscard]] bool has(const std::string &Key) const;
  /// Adds a problem at Key, or at the mapping itself if it has no such key.
  void problem(const std::string &Key, std::string Message, std::string Remedy);
  /// Reports each key that was not read, and each duplicate key. Call after all
  /// reads.
  void finish();

private:
  YAML::Node find(const std::string &Key);
  [[nodiscard]] std::string pathOf(const std::string &Key) const;
  std::optional<std::string> scalar(const std::string &Key, bool Required,
                                    std::string_view Expected);

  YAML::Node Node;
  std::string Path;
  YamlProblems &Problems;
  std::vector<std::string> KnownKeys;
};

/// Parses Text, whose root must be a mapping. Returns nothing on failure, with
/// the problem added to Problems.
std::optional<YAML::Node> parseYamlMapping(std::string_view Text,
                                           YamlProblems &Problems);

} // namespace turmericpitch
