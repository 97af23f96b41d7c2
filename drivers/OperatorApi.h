// The operators' HTTP/JSON interface.
#pragma once

#include "configuration/ConfigurationController.h"
#include "drivers/ConfigurationSync.h"
#include "drivers/HttpServer.h"
#include "drivers/PlatformClient.h"
#include "membership/MembershipSnapshot.h"
#include "routing/UpstreamView.h"

namespace turmericpitch {

struct OperatorApiOptions {
  InstanceId Self;
  /// SHA-256 of the operators' bearer credential, in hexadecimal.
  std::string CredentialDigest;
  /// What this instance believes about all instances; may be unset.
  std::function<SharedMembership()> Membership = nullptr;
};

/// POST /v1/tickets          accepts a change ticket (YAML or JSON)
/// GET  /v1/tickets/{number} where it is in force and where not
/// GET  /v1/status           what this instance knows
/// GET  /metrics             figures in the Prometheus text format
/// Thread-safe.
class OperatorApi {
public:
  OperatorApi(OperatorApiOptions Options,
              std::shared_ptr<ConfigurationController> Configuration,
              std::shared_ptr<UpstreamController> Upstreams,
              std::shared_ptr<PlatformClient> Platform,
              std::shared_ptr<ConfigurationSync> Sync);

  Awaitable<HttpReply> handle(HttpRequest Request);

private:
  Awaitable<HttpReply> submitTicket(std::string Body);
  Awaitable<HttpReply> showTicket(std::string_view Number);
  HttpReply showStatus() const;

  OperatorApiOptions Options;
  std::shared_ptr<ConfigurationController> Configuration;
  std::shared_ptr<UpstreamController> Upstreams;
  std::shared_ptr<PlatformClient> Platform;
  std::shared_ptr<ConfigurationSync> Sync;
  std::atomic<std::uint64_t> NextSeed = 1;
};

} // namespace turmericpitch
