// Brings the configuration from the platform into force.
#pragma once

#include "configuration/ConfigurationController.h"
#include "drivers/PlatformClient.h"

namespace turmericpitch {

/// Reads the stored configuration, then watches it. Thread-safe.
class ConfigurationSync
    : public std::enable_shared_from_this<ConfigurationSync> {
public:
  /// OnApplied is called after each change that came into force.
  ConfigurationSync(std::shared_ptr<PlatformClient> Platform,
                    std::shared_ptr<ConfigurationController> Controller,
                    std::function<void()> OnApplied);

  /// Runs until stop().
  Awaitable<void> run();
  void stop() { this->Stopped = true; }

private:
  Awaitable<void> load();

  std::shared_ptr<PlatformClient> Platform;
  std::shared_ptr<ConfigurationController> Controller;
  std::function<void()> OnApplied;
  std::atomic<bool> Stopped = false;
};

} // namespace turmericpitch
