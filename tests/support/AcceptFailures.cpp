#include "tests/support/AcceptFailures.h"

#include <atomic>
#include <cerrno>
#include <dlfcn.h>
#include <sys/socket.h>

namespace {

std::atomic<int> FailWith = 0;
std::atomic<std::size_t> Failed = 0;

} // namespace

/// Takes the place of the system's function in the test program.
extern "C" int accept(int Listener, sockaddr *Address, socklen_t *Length) {
  using Function = int (*)(int, sockaddr *, socklen_t *);
  static const auto System =
      reinterpret_cast<Function>(dlsym(RTLD_NEXT, "accept"));
  if (FailWith == 0)
    return System(Listener, Address, Length);
  ++Failed;
  errno = FailWith;
  return -1;
}

namespace turmericpitch {

AcceptFailures::AcceptFailures(int ErrorNumber) {
  Failed = 0;
  FailWith = ErrorNumber;
}

AcceptFailures::~AcceptFailures() { FailWith = 0; }

std::size_t AcceptFailures::count() const { return Failed; }

} // namespace turmericpitch
