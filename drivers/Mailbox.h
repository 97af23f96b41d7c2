// Hands values from coroutines that run apart to the one that waits for them.
#pragma once

#include "drivers/ChangeSignal.h"

#include <mutex>
#include <vector>

namespace turmericpitch {

/// Thread-safe; one coroutine takes, any number put.
template <typename T> class Mailbox {
public:
  void put(T Value) {
    {
      std::lock_guard Lock(this->Mutex);
      this->Values.push_back(std::move(Value));
    }
    this->Changed.notify();
  }

  /// All that has come since the last call; waits for something, at most
  /// Limit, and gives nothing if nothing came. Precondition: as
  /// ChangeSignal::wait().
  Awaitable<std::vector<T>> takeAll(Duration Timeout) {
    std::uint64_t Seen = this->Changed.generation();
    std::vector<T> Taken = this->takeNow();
    if (Taken.empty()) {
      co_await this->Changed.wait(Seen, Timeout);
      Taken = this->takeNow();
    }
    co_return Taken;
  }

private:
  std::vector<T> takeNow() {
    std::lock_guard Lock(this->Mutex);
    return std::exchange(this->Values, {});
  }

  std::mutex Mutex;
  std::vector<T> Values;
  ChangeSignal Changed;
};

} // namespace turmericpitch
