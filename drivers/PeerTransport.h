// UDP transport between instances.
#pragma once

#include "core/Endpoint.h"
#include "drivers/Http.h"
#include "membership/PeerFrame.h"

#include <functional>

namespace turmericpitch {

/// Counts since the start.
struct PeerTransportCounters {
  std::uint64_t FramesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesReceived = 0;
  /// Malformed, of another version, or not signed by a known key.
  std::uint64_t FramesDropped = 0;
};

/// A received frame and its source address, for replies.
struct PeerArrival {
  PeerFrame Frame;
  Endpoint Source;
};

/// Sends and receives authenticated frames over UDP. Thread-safe.
class PeerTransport {
public:
  using Handler = std::function<void(const PeerArrival &)>;

  PeerTransport(Executor Exec, Endpoint Listen, InstanceId Self,
                std::vector<PeerKey> Keys);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Sets the handler of a topic. It is called on the transport's executor, for
  /// one frame at a time. Call before start().
  void onTopic(PeerTopic Topic, Handler Handle);
  /// Errors: Unavailable if the address can't be bound.
  Status start();
  /// Sends without waiting; a frame may be lost. A frame that is too large is
  /// dropped and logged as a warning.
  void send(const Endpoint &To, PeerTopic Topic, std::string Payload);
  void close();
  /// For tests: drops this share of outgoing frames, from 0 to 1.
  void setDropShare(double Share);

  [[nodiscard]] PeerTransportCounters counters() const;

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace turmericpitch
