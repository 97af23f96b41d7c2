// Makes accept() fail, as it does when the process has no free descriptor.
#pragma once

#include <cstddef>

namespace turmericpitch {

/// While it exists, each accept() of this process fails with an error number
/// and leaves the connection in the backlog. The descriptors themselves stay
/// free: the sanitizers need some for their checks and report faults that
/// don't exist without them. Not thread-safe; one at a time.
class AcceptFailures {
public:
  explicit AcceptFailures(int ErrorNumber);
  ~AcceptFailures();
  AcceptFailures(const AcceptFailures &) = delete;
  AcceptFailures &operator=(const AcceptFailures &) = delete;

  /// Number of calls that have failed.
  [[nodiscard]] std::size_t count() const;
};

} // namespace turmericpitch
