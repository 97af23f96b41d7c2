// HTTP/JSON interface for callers.
#pragma once

#include "configuration/ConfigurationController.h"
#include "drivers/CallerRequests.h"
#include "drivers/HttpServer.h"
#include "drivers/StatementRunner.h"
#include "drivers/TransactionRunner.h"
#include "routing/Filters.h"

namespace turmericpitch {

struct CallerApiOptions {
  InstanceId Self;
  /// Unique for each start of the instance, so that request ids never repeat.
  std::string StartId;
  /// Called with the database of each admitted request; may be unset.
  std::function<void(const DatabaseId &)> OnAdmitted = nullptr;
};

/// Serves, under /v1/services/{service}/databases/{database}:
/// POST /statements, POST /transactions, POST /transactions/{id}/commit,
/// POST /transactions/{id}/rollback. Also serves GET /ready. Thread-safe.
class CallerApi {
public:
  CallerApi(CallerApiOptions Options,
            std::shared_ptr<ConfigurationController> Configuration,
            std::shared_ptr<UpstreamController> Upstreams,
            std::shared_ptr<StatementRunner> Runner,
            std::shared_ptr<TransactionRunner> Transactions,
            StatementChain Chain,
            std::shared_ptr<const SessionTokenCodec> Codec);

  /// Handles one request. Caller is the transaction state of the request's
  /// connection.
  Awaitable<HttpReply> handle(HttpRequest Request,
                              std::shared_ptr<CallerTransaction> Caller);
  /// Makes the readiness check report that the instance is not ready.
  void beginDrain() { this->Draining = true; }

private:
  Awaitable<HttpReply> run(CallerRequest Request,
                           std::shared_ptr<CallerTransaction> Caller);
  Awaitable<HttpReply> runBegin(RequestContext Context,
                                std::shared_ptr<CallerTransaction> Caller);
  Awaitable<Outcome<StatementAnswer>>
  dispatch(RequestContext Context, CallerRequest Request,
           std::shared_ptr<CallerTransaction> Caller);
  Outcome<RequestContext> prepare(const StatementRequest &Request);
  template <typename Callable>
  HttpReply replyWithToken(const SessionToken &Token,
                           const ClientAccountId &Owner,
                           Callable &&Encode) const;
  [[nodiscard]] HttpReply readiness() const;

  CallerApiOptions Options;
  std::shared_ptr<ConfigurationController> Configuration;
  std::shared_ptr<UpstreamController> Upstreams;
  std::shared_ptr<StatementRunner> Runner;
  std::shared_ptr<TransactionRunner> Transactions;
  StatementChain Chain;
  std::shared_ptr<const SessionTokenCodec> Codec;
  std::atomic<std::uint64_t> NextRequest = 1;
  std::atomic<bool> Draining = false;
  MonotonicClock Time;
};

} // namespace turmericpitch
