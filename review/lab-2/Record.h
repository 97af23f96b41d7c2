// The record of what was sent, answered and run.
#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace lab {

using Clock = std::chrono::steady_clock;

/// Writes lines with the time since the start. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path)
      : File(std::fopen(Path.c_str(), "w")), Began(Clock::now()) {}
  ~Record() {
    if (this->File)
      std::fclose(this->File);
  }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  [[nodiscard]] double seconds() const {
    return std::chrono::duration<double>(Clock::now() - this->Began).count();
  }
  void write(const std::string &Text) {
    std::lock_guard Lock(this->Mutex);
    if (!this->File)
      return;
    std::fprintf(this->File, "%8.3f %s\n", this->seconds(), Text.c_str());
    std::fflush(this->File);
  }

private:
  std::mutex Mutex;
  std::FILE *File;
  Clock::time_point Began;
};

} // namespace lab
