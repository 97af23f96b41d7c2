// Whole copies of the configuration between instances, over HTTP.
#pragma once

#include "configuration/ConfigurationController.h"
#include "configuration/ConfigurationMessages.h"
#include "drivers/Http.h"
#include "membership/PeerFrame.h"

#include <mutex>

namespace turmericpitch {

/// Signs requests for copies and the copies themselves with the peers' keys:
/// the first key signs, all are accepted. A copy is bound to its request by
/// a nonce. Immutable; thread-safe.
class CopyAuthenticator {
public:
  /// Precondition: Keys are not empty.
  explicit CopyAuthenticator(std::vector<PeerKey> Keys)
      : Keys(std::move(Keys)) {}

  /// The request for all changes after a ticket.
  [[nodiscard]] HttpRequest makeRequest(TicketNumber After,
                                        const std::string &Nonce) const;
  /// Errors: Forbidden if not signed by a known key, BadRequest if
  /// malformed.
  [[nodiscard]] Outcome<TicketNumber>
  checkRequest(const HttpRequest &Request) const;
  /// The reply to a request that was checked.
  [[nodiscard]] HttpReply makeReply(const HttpRequest &Request,
                                    const ConfigurationChange &Copy) const;
  /// Errors: as checkRequest(), and Overloaded as the peer reports it.
  [[nodiscard]] Outcome<ConfigurationChange>
  checkReply(const HttpRequest &Request, const HttpReply &Reply) const;

private:
  [[nodiscard]] std::string sign(std::string_view Data) const;
  [[nodiscard]] bool verifySignature(std::string_view Data,
                                     std::string_view Signature) const;

  std::vector<PeerKey> Keys;
};

/// Serves copies to peers, within a budget of bytes a second. Thread-safe.
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

/// Fetches a copy from a peer. Errors: Unavailable or as checkReply().
Awaitable<Outcome<ConfigurationChange>>
fetchCopy(Executor Exec, std::shared_ptr<const CopyAuthenticator> Authenticator,
          Endpoint From, TicketNumber After);

} // namespace turmericpitch
