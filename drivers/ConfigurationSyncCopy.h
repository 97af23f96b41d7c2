// Transfer of configuration copies between instances over HTTP.
#pragma once

#include "configuration/ConfigurationController.h"
#include "configuration/ConfigurationMessages.h"
#include "drivers/Http.h"
#include "membership/PeerFrame.h"

#include <mutex>

namespace turmericpitch {

/// Signs and verifies copies and the requests for them with the peer keys. The
/// first key signs; signatures of all keys are accepted. A nonce binds a copy
/// to its request. Immutable; thread-safe.
class CopyAuthenticator {
public:
  /// Precondition: Keys is not empty.
  explicit CopyAuthenticator(std::vector<PeerKey> Keys)
      : Keys(std::move(Keys)) {}

  /// Creates a signed request for all changes after a ticket.
  [[nodiscard]] HttpRequest makeRequest(TicketNumber After,
                                        const std::string &Nonce) const;
  /// Verifies a request and returns the ticket after which changes are
  /// requested. Errors: Forbidden if the request is not signed with a known
  /// key, BadRequest if it is malformed.
  [[nodiscard]] Outcome<TicketNumber>
  checkRequest(const HttpRequest &Request) const;
  /// Creates the signed reply to a request that checkRequest() accepted.
  [[nodiscard]] HttpReply makeReply(const HttpRequest &Request,
                                    const ConfigurationChange &Copy) const;
  /// Verifies and decodes a reply. Errors: see checkRequest(), and Unavailable
  /// if the peer replied with an error.
  [[nodiscard]] Outcome<ConfigurationChange>
  checkReply(const HttpRequest &Request, const HttpReply &Reply) const;

private:
  [[nodiscard]] std::string sign(std::string_view Data) const;
  [[nodiscard]] bool verifySignature(std::string_view Data,
                                     std::string_view Signature) const;

  std::vector<PeerKey> Keys;
};

/// Serves copies to peers and limits the bytes sent per second. Thread-safe.
class ConfigurationCopyApi {
public:
  ConfigurationCopyApi(std::shared_ptr<const CopyAuthenticator> Authenticator,
                       std::shared_ptr<ConfigurationController> Controller)
      : Authenticator(std::move(Authenticator)),
        Controller(std::move(Controller)) {}

  Awaitable<HttpReply> handle(HttpRequest Request);

private:
  bool admit(std::size_t Bytes);

  std::shared_ptr<const CopyAuthenticator> Authenticator;
  std::shared_ptr<ConfigurationController> Controller;
  MonotonicClock Time;
  std::mutex Mutex;
  TimePoint WindowBegan;
  std::size_t WindowBytes = 0;
};

/// Fetches a copy from a peer. Errors: Unavailable if the connection fails, the
/// errors of HttpConnection::exchange() and those of checkReply().
Awaitable<Outcome<ConfigurationChange>>
fetchCopy(Executor Exec, std::shared_ptr<const CopyAuthenticator> Authenticator,
          Endpoint From, TicketNumber After);

} // namespace turmericpitch
