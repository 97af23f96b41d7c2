// A queue that passes values from several coroutines to one consumer.
#pragma once

#include "drivers/ChangeSignal.h"

#include <mutex>
#include <vector>

namespace turmericpitch {

/// Multiple producers, single consumer. Thread-safe.
template <typename T> class Mailbox {
public:
  void put(T Value) {
    {
      std::lock_guard Lock(this->Mutex);
      this->Values.push_back(std::move(Value));
    }
    this->Changed.notify();
  }

  /// Takes all values put since the last call. If there are none, waits for one
  /// up to Timeout; returns an empty vector if none arrives. Precondition: as
  /// for ChangeSignal::wait().
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
