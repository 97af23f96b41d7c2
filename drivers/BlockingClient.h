// Blocking one-shot HTTP calls for command-line tools and demos.
#pragma once

#include "drivers/ByteStream.h"
#include "drivers/Http.h"

namespace turmericpitch {

/// Sends one request on a new connection, with TLS if a context is given, and
/// blocks the calling thread until the reply arrives. Timeout applies to
/// connecting and to the exchange separately. Thread-safe. Errors:
/// Unavailable, NotRun or OutcomeUnknown.
Outcome<HttpReply> callAndWait(const Endpoint &To, HttpRequest Request,
                               Duration Timeout = std::chrono::seconds(10),
                               const TlsContext &Tls = nullptr);

} // namespace turmericpitch
