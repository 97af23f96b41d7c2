#include "drivers/PeerTransport.h"

#include "core/DecisionLog.h"
#include "core/RandomSource.h"

#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>

namespace turmericpitch {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t ReceiveBufferSize = 2048;
constexpr std::uint64_t DropSeed = 1;

} // namespace

struct PeerTransport::State : std::enable_shared_from_this<State> {
  State(const Executor &Exec, Endpoint Listen, InstanceId Self,
        std::vector<PeerKey> Keys)
      : Socket(asio::make_strand(Exec)), Listen(std::move(Listen)),
        Self(std::move(Self)), Codec(std::move(Keys)) {}

  void receiveNext();
  void onReceived(std::size_t Length);

  udp::socket Socket;
  Endpoint Listen;
  InstanceId Self;
  PeerFrameCodec Codec;
  std::map<PeerTopic, Handler> Handlers;
  std::array<char, ReceiveBufferSize> Buffer{};
  udp::endpoint Sender;
  mutable std::mutex Mutex;
  PeerTransportCounters Counters;
  double DropShare = 0;
  RandomSource DropRandom{DropSeed};
};

PeerTransport::PeerTransport(Executor Exec, Endpoint Listen, InstanceId Self,
                             std::vector<PeerKey> Keys)
    : Shared(std::make_shared<State>(Exec, std::move(Listen), std::move(Self),
                                     std::move(Keys))) {}

PeerTransport::~PeerTransport() { this->close(); }

void PeerTransport::onTopic(PeerTopic Topic, Handler Handle) {
  this->Shared->Handlers[Topic] = std::move(Handle);
}

Status PeerTransport::start() {
  State &S = *this->Shared;
  boost::system::error_code Failure;
  udp::endpoint Where(asio::ip::make_address(S.Listen.Address, Failure),
                      S.Listen.Port);
  if (!Failure)
    S.Socket.open(Where.protocol(), Failure);
  if (!Failure)
    S.Socket.bind(Where, Failure);
  if (Failure)
    return Error{.Kind = ErrorKind::Unavailable,
                 .Message = "can't listen for peers on " + toString(S.Listen) +
                            ": " + Failure.message(),
                 .Remedy = "free the address or set another one"};
  asio::dispatch(S.Socket.get_executor(),
                 [Self = this->Shared] { Self->receiveNext(); });
  return std::monostate{};
}

void PeerTransport::send(const Endpoint &To, PeerTopic Topic,
                         std::string Payload) {
  PeerFrame Frame{.From = this->Shared->Self,
                  .Topic = Topic,
                  .Payload = std::move(Payload)};
  auto Bytes = toOutcome([&] { return this->Shared->Codec.encode(Frame); });
  if (!Bytes) {
    writeWarning("peer frame not sent: " + Bytes.error().Message);
    return;
  }
  {
    std::lock_guard Lock(this->Shared->Mutex);
    if (this->Shared->DropRandom.chance(this->Shared->DropShare))
      return;
    ++this->Shared->Counters.FramesSent;
    this->Shared->Counters.BytesSent += Bytes.value().size();
  }
  auto Sent = std::make_shared<std::string>(std::move(Bytes.value()));
  asio::dispatch(this->Shared->Socket.get_executor(), [Self = this->Shared,
                                                       Sent, To] {
    boost::system::error_code Failure;
    udp::endpoint Where(asio::ip::make_address(To.Address, Failure), To.Port);
    if (!Failure && Self->Socket.is_open())
      Self->Socket.send_to(asio::buffer(*Sent), Where, 0, Failure);
  });
}

void PeerTransport::close() {
  asio::dispatch(this->Shared->Socket.get_executor(), [Self = this->Shared] {
    boost::system::error_code Ignored;
    Self->Socket.close(Ignored);
  });
}

void PeerTransport::setDropShare(double Share) {
  std::lock_guard Lock(this->Shared->Mutex);
  this->Shared->DropShare = Share;
}

PeerTransportCounters PeerTransport::counters() const {
  std::lock_guard Lock(this->Shared->Mutex);
  return this->Shared->Counters;
}

void PeerTransport::State::receiveNext() {
  auto Self = this->shared_from_this();
  this->Socket.async_receive_from(
      asio::buffer(this->Buffer), this->Sender,
      [Self](const boost::system::error_code &Failure, std::size_t Length) {
        if (!Self->Socket.is_open())
          return;
        if (!Failure)
          Self->onReceived(Length);
        Self->receiveNext();
      });
}

void PeerTransport::State::onReceived(std::size_t Length) {
  auto Frame = toOutcome([&] {
    return this->Codec.decode(std::string_view(this->Buffer.data(), Length));
  });
  {
    std::lock_guard Lock(this->Mutex);
    ++this->Counters.FramesReceived;
    this->Counters.BytesReceived += Length;
    if (!Frame)
      ++this->Counters.FramesDropped;
  }
  if (!Frame)
    return;
  auto Handler = this->Handlers.find(Frame.value().Topic);
  if (Handler == this->Handlers.end())
    return;
  PeerArrival Arrival;
  Arrival.Frame = std::move(Frame.value());
  Arrival.Source = {.Address = this->Sender.address().to_string(),
                    .Port = this->Sender.port()};
  Handler->second(Arrival);
}

} // namespace turmericpitch
