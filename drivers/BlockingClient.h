// One-off HTTP calls for command lines and demos.
#pragma once

#include "drivers/ByteStream.h"
#include "drivers/Http.h"

namespace turmericpitch {

/// Sends one request on a connection of its own, with TLS if its context is
/// given, and blocks the calling
/// thread. Thread-safe. Errors: Unavailable, NotRun or OutcomeUnknown.
Outcome<HttpReply> callAndWait(const Endpoint &To, HttpRequest Request,
                               Duration Timeout = std::chrono::seconds(10),
                               const TlsContext &Tls = nullptr);

} // namespace turmericpitch
