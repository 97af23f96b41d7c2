// Checked reading of YAML: every problem is kept, not the first alone.
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
  /// Counted from 1; 0 if the document gives none.
  int Line = 0;
  /// The full path of the key, as in "listen.callers".
  std::string Key;
  std::string Message;
  std::string Remedy;

  auto operator<=>(const YamlProblem &) const = default;
};

/// "file:line: key: message; remedy". Thread-safe.
std::string toString(const YamlProblem &Problem);

/// The problems of one document, gathered while it is read.
/// Not thread-safe.
class YamlProblems {
public:
  explicit YamlProblems(std::string File) : File(std::move(File)) {}

  void add(const YAML::Node &At, const std::string &Key, std::string Message,
           std::string Remedy);
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

/// The bounds of a whole number.
struct NumberBounds {
  std::int64_t Min = 0;
  std::int64_t Max = INT64_MAX;
};

/// The bounds of a duration.
struct DurationBounds {
  Duration Min{0};
  Duration Max = std::chrono::hours(24 * 365);
};

/// Reads one mapping. Each read marks its key as known; finish() reports the
/// keys that nothing read. Not thread-safe.
class YamlReader {
public:
  /// Path is the mapping's own key path, empty at the root. Problems must
  /// outlive the reader.
  YamlReader(const YAML::Node &Node, std::string Path, YamlProblems &Problems);

  /// Text; required unless Default is given. Returns "" after a problem.
  std::string text(const std::string &Key,
                   std::optional<std::string> Default = std::nullopt);
  /// A name: text of 1 to 64 letters, digits, '-', '_' and '.'.
  std::string name(const std::string &Key,
                   std::optional<std::string> Default = std::nullopt);
  /// A whole number within Bounds.
  std::int64_t number(const std::string &Key, NumberBounds Bounds,
                      std::optional<std::int64_t> Default = std::nullopt);
  /// A fraction within [Min, Max].
  double fraction(const std::string &Key, double Min, double Max,
                  std::optional<double> Default = std::nullopt);
  /// true or false.
  bool flag(const std::string &Key, std::optional<bool> Default = std::nullopt);
  /// A duration with its unit: us, ms, s, min or h.
  Duration duration(const std::string &Key, DurationBounds Bounds,
                    std::optional<Duration> Default = std::nullopt);
  /// An IP number and port.
  Endpoint endpoint(const std::string &Key,
                    std::optional<Endpoint> Default = std::nullopt);
  /// A list of texts; absent means empty.
  std::vector<std::string> texts(const std::string &Key);
  /// The readers of a list of mappings; absent means empty.
  std::vector<YamlReader> mappings(const std::string &Key);
  /// The reader of a nested mapping; absent reads as an empty mapping.
  YamlReader mapping(const std::string &Key);

  [[nodiscard]] bool has(const std::string &Key) const;
  /// Reports a problem of this mapping's own making.
  void problem(const std::string &Key, std::string Message, std::string Remedy);
  /// Reports each key that was not read.
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

/// The root of a document as a mapping, or nothing, with the problem added.
std::optional<YAML::Node> parseYamlMapping(std::string_view Text,
                                           YamlProblems &Problems);

} // namespace turmericpitch
