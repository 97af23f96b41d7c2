#include "drivers/LineConnection.h"

#include <array>
#include <boost/asio/post.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace turmericpitch {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t ReadChunk = 16 * 1024;
constexpr int KeepAliveProbes = 3;

void setOption(int Socket, int Level, int Name, int Value) {
  // Some systems don't support the option; request timeouts still apply there.
  static_cast<void>(setsockopt(Socket, Level, Name, &Value, sizeof(Value)));
}

} // namespace

void prepareSocket(asio::ip::tcp::socket &Connected, Duration PeerTimeout) {
  int Handle = Connected.native_handle();
  auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(PeerTimeout)
          .count();
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Milliseconds));
}

LineConnection::LineConnection(Socket Connected, LineConnectionOptions Options)
    : Stream(std::move(Connected)), Options(std::move(Options)) {}

LineConnection::~LineConnection() = default;

void LineConnection::start(LineHandler OnLine, EndHandler OnEnd) {
  this->OnLine = std::move(OnLine);
  this->OnEnd = std::move(OnEnd);
  ErrorCode Ignored;
  prepareSocket(this->Stream, this->Options.PeerTimeout);
  this->Stream.non_blocking(true, Ignored);
  this->waitForBytes();
}

bool LineConnection::mayBuffer(SessionMemory Kind, std::size_t Bytes) {
  return !this->Options.Memory || this->Options.Memory->hold(Kind, Bytes);
}

void LineConnection::waitForBytes() {
  if (this->WaitingForBytes || this->ReadingPaused)
    return;
  this->WaitingForBytes = true;
  this->Stream.async_wait(Socket::wait_read, [Self = this->shared_from_this()](
                                                 const ErrorCode &Failure) {
    Self->WaitingForBytes = false;
    if (Failure)
      return Self->end(Failure.message());
    if (!Self->ReadingPaused)
      Self->readBytes();
  });
}

void LineConnection::resumeReading() {
  this->ReadingPaused = false;
  if (this->Stream.is_open())
    this->waitForBytes();
}

void LineConnection::readBytes() {
  std::array<char, ReadChunk> Chunk; // NOLINT: filled before it is read
  ErrorCode Failure;
  std::size_t Count = this->Stream.read_some(asio::buffer(Chunk), Failure);
  if (Failure == asio::error::would_block)
    return this->waitForBytes();
  if (Failure)
    return this->end(Failure == asio::error::eof
                         ? "connection closed by the peer"
                         : Failure.message());
  this->deliverLines(std::string_view(Chunk.data(), Count));
  if (this->Stream.is_open())
    this->waitForBytes();
}

void LineConnection::deliverLines(std::string_view Bytes) {
  while (!Bytes.empty() && this->Stream.is_open()) {
    std::size_t End = Bytes.find('\n');
    if (End == std::string_view::npos) {
      if (!this->mayBuffer(SessionMemory::Input,
                           this->Partial.size() + Bytes.size()))
        return this->end("no memory for a line of this size");
      this->Partial.append(Bytes);
      if (this->Partial.size() > this->Options.MaxLineSize)
        this->end("line exceeds the size limit");
      return;
    }
    std::string_view Line = Bytes.substr(0, End + 1);
    std::string Joined;
    if (!this->Partial.empty()) {
      Joined = std::move(this->Partial);
      this->Partial = std::string();
      if (this->Options.Memory)
        this->Options.Memory->shrink(SessionMemory::Input, 0);
      Joined.append(Line);
      Line = Joined;
    }
    if (Line.ends_with("\r\n"))
      Line.remove_suffix(2);
    Bytes.remove_prefix(End + 1);
    this->OnLine(Line);
  }
}

void LineConnection::send(const ProtocolLines &Lines) {
  if (!this->Stream.is_open() || this->Finishing)
    return;
  this->Unsent += Lines.bytes();
  if (!this->Writing)
    this->writeUnsent();
}

void LineConnection::writeUnsent() {
  ErrorCode Failure;
  std::size_t Count =
      this->Stream.write_some(asio::buffer(this->Unsent), Failure);
  if (Failure && Failure != asio::error::would_block)
    return this->postEnd(Failure.message());
  this->Unsent.erase(0, Count);
  if (!this->mayBuffer(SessionMemory::Output, this->Unsent.size()))
    return this->postEnd(
        "no memory for the replies that the peer doesn't take");
  if (this->Unsent.empty()) {
    this->Unsent.shrink_to_fit();
    if (this->Finishing)
      this->close();
    return;
  }
  this->Writing = true;
  this->Stream.async_wait(Socket::wait_write, [Self = this->shared_from_this()](
                                                  const ErrorCode &Waited) {
    Self->Writing = false;
    if (Waited)
      return Self->end(Waited.message());
    Self->writeUnsent();
    if (Self->Unsent.empty() && Self->Stream.is_open() && Self->Drained)
      Self->Drained();
  });
}

void LineConnection::postEnd(std::string Reason) {
  asio::post(this->Stream.get_executor(),
             [Self = this->shared_from_this(), Reason = std::move(Reason)] {
               Self->end(Reason);
             });
}

void LineConnection::finish() {
  this->Finishing = true;
  if (this->Unsent.empty())
    this->close();
}

void LineConnection::end(const std::string &Reason) {
  if (!this->Stream.is_open())
    return;
  EndHandler Handle = std::move(this->OnEnd);
  this->close();
  if (Handle)
    Handle(Reason);
}

void LineConnection::close() {
  if (!this->Stream.is_open())
    return;
  ErrorCode Ignored;
  this->Stream.shutdown(Socket::shutdown_both, Ignored);
  this->Stream.close(Ignored);
  // The handlers may own this connection, so they are destroyed later, when
  // none of its functions is running.
  asio::post(this->Stream.get_executor(), [Self = this->shared_from_this()] {
    Self->OnLine = nullptr;
    Self->OnEnd = nullptr;
    Self->Drained = nullptr;
  });
}

} // namespace turmericpitch
