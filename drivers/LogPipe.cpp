#include "drivers/LogPipe.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace turmericpitch {

void writePending(BoundedLog &Log, int Descriptor) {
  while (!Log.pending().empty()) {
    // A pipe that is ready for writing accepts PIPE_BUF bytes without blocking.
    std::size_t Size = std::min<std::size_t>(Log.pending().size(), PIPE_BUF);
    pollfd Ready{.fd = Descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&Ready, 1, 0) != 1 || (Ready.revents & POLLOUT) == 0)
      return;
    ssize_t Written = write(Descriptor, Log.pending().data(), Size);
    if (Written <= 0)
      return;
    Log.onWritten(static_cast<std::size_t>(Written));
  }
}

} // namespace turmericpitch
