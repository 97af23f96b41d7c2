// HTTP/JSON interface for operators.
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
  /// SHA-256 digest of the operators' bearer credential, in hexadecimal.
  std::string CredentialDigest;
  /// Returns this instance's view of the membership; may be unset.
  std::function<SharedMembership()> Membership = nullptr;
};

/// POST /v1/tickets          accepts a change ticket (YAML or JSON)
/// GET  /v1/tickets/{number} instances on which it is active and is not
/// GET  /v1/status           databases, members and instances as seen here
/// GET  /metrics             metrics in the Prometheus text format
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
