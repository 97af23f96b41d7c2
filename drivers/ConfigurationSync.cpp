#include "drivers/ConfigurationSync.h"

#include "core/DecisionLog.h"
#include "drivers/ChangeSignal.h"

namespace turmericpitch {

namespace {

constexpr Duration RetryPause = std::chrono::milliseconds(500);

void logApplied(const ConfigurationController &Controller) {
  writeDecision(
      DecisionLine("apply_configuration")
          .field("revision", Controller.reached().Value)
          .field("ticket", Controller.current()->newestTicket().Value));
}

} // namespace

ConfigurationSync::ConfigurationSync(
    std::shared_ptr<PlatformClient> Platform,
    std::shared_ptr<ConfigurationController> Controller,
    std::function<void()> OnApplied)
    : Platform(std::move(Platform)), Controller(std::move(Controller)),
      OnApplied(std::move(OnApplied)) {}

Awaitable<void> ConfigurationSync::run() {
  auto Self = this->shared_from_this();
  while (!this->Stopped) {
    bool Loaded = co_await this->load();
    if (Loaded)
      co_await this->follow();
    co_await sleepFor(RetryPause);
  }
}

Awaitable<bool> ConfigurationSync::load() {
  KeyValueRequest Request =
      RangeRequest{.Key = std::string(ConfigurationPrefix), .Prefix = true};
  auto Answer = co_await this->Platform->call(std::move(Request));
  if (!Answer)
    co_return false;
  auto Applied =
      keepOutcome([&] { return this->Controller->onStored(Answer.value()); });
  if (!Applied) {
    writeWarning("stored configuration refused: " + Applied.error().Message);
    co_return false;
  }
  if (Applied.value()) {
    logApplied(*this->Controller);
    this->OnApplied();
  }
  co_return true;
}

Awaitable<void> ConfigurationSync::follow() {
  auto OnBatch = [this](const WatchBatch &Batch) {
    auto Applied =
        keepOutcome([&] { return this->Controller->onEvents(Batch); });
    if (!Applied) {
      writeWarning("configuration change refused: " + Applied.error().Message);
      return false;
    }
    if (Applied.value()) {
      logApplied(*this->Controller);
      this->OnApplied();
    }
    return !this->Stopped;
  };
  std::function<bool(const WatchBatch &)> Callback = OnBatch;
  co_await this->Platform->watch(std::string(ConfigurationPrefix),
                                 this->Controller->reached(), Callback);
}

} // namespace turmericpitch
