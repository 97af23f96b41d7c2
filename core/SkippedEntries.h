// Reports entries of the store that can't be used.
#pragma once

#include "core/Error.h"
#include "core/KeyValue.h"

#include <map>
#include <string>

namespace turmericpitch {

/// Logs each entry that another writer left once for each revision, though it
/// is listed again and again. Not thread-safe.
class SkippedEntries {
public:
  /// Event names the log line's kind.
  explicit SkippedEntries(std::string Event) : Event(std::move(Event)) {}

  void report(const KeyValueEntry &Entry, const Error &Reason);

private:
  /// Beyond this, the oldest reports are forgotten and repeated.
  static constexpr std::size_t MaxRemembered = 1000;

  std::string Event;
  std::map<std::string, Revision> Reported;
};

} // namespace turmericpitch
