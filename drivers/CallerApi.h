// The callers' HTTP/JSON interface.
#pragma once

#include "configuration/ConfigurationController.h"
#include "drivers/HttpServer.h"
#include "drivers/StatementRunner.h"
#include "routing/Filters.h"

namespace turmericpitch {

struct CallerApiOptions {
  InstanceId Self;
  /// Differs with every start of the instance, so that request ids never
  /// repeat.
  std::string StartId;
};

/// POST /v1/services/{service}/databases/{database}/statements
/// GET  /ready
/// Thread-safe.
class CallerApi {
public:
  CallerApi(CallerApiOptions Options,
            std::shared_ptr<ConfigurationController> Configuration,
            std::shared_ptr<UpstreamController> Upstreams,
            std::shared_ptr<StatementRunner> Runner, StatementChain Chain,
            std::shared_ptr<const SessionTokenCodec> Codec);

  Awaitable<HttpReply> handle(HttpRequest Request);
  /// After this the readiness check says no.
  void beginDrain() { this->Draining = true; }

private:
  Awaitable<HttpReply> runStatement(StatementRequest Request);
  HttpReply readiness() const;

  CallerApiOptions Options;
  std::shared_ptr<ConfigurationController> Configuration;
  std::shared_ptr<UpstreamController> Upstreams;
  std::shared_ptr<StatementRunner> Runner;
  StatementChain Chain;
  std::shared_ptr<const SessionTokenCodec> Codec;
  std::atomic<std::uint64_t> NextRequest = 1;
  std::atomic<bool> Draining = false;
  MonotonicClock Time;
};

} // namespace turmericpitch
