#include "drivers/ConfigurationSync.h"

#include "configuration/StoredConfiguration.h"
#include "core/DecisionLog.h"
#include "drivers/ChangeSignal.h"

namespace turmericpitch {

namespace {

constexpr Duration RetryPause = std::chrono::milliseconds(200);

void logApplied(const ConfigurationController &Controller) {
  writeDecision(
      DecisionLine("apply_configuration")
          .field("revision", Controller.current()->revision().Value)
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
    co_await this->load();
    co_await sleepFor(RetryPause);
  }
}

Awaitable<void> ConfigurationSync::load() {
  SharedConfiguration Present = this->Controller->current();
  KeyValueRequest Request =
      RangeRequest{.Key = std::string(ConfigurationPrefix),
                   .Prefix = true,
                   .ModifiedSince = Present ? Present->revision() : Revision{}};
  auto Answer = co_await this->Platform->call(std::move(Request));
  if (!Answer)
    co_return;
  auto Applied = keepOutcome([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(Stored, readStoredConfiguration(Answer.value()));
    if (Present)
      Stored.Change.After = Present->newestTicket();
    return this->Controller->apply(Stored.Change);
  });
  if (!Applied)
    writeWarning("stored configuration refused: " + Applied.error().Message);
  else if (Applied.value()) {
    logApplied(*this->Controller);
    this->OnApplied();
  }
}

} // namespace turmericpitch
