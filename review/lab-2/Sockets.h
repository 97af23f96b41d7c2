// Blocking sockets on loopback addresses for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace lab {

inline sockaddr_in socketAddress(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Where.sin_addr);
  return Where;
}

/// Binds a socket of Type; returns -1 if the address is taken.
inline int boundSocket(const std::string &Ip, std::uint16_t Port,
                       int Type = SOCK_STREAM) {
  int Handle = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Handle, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Where = socketAddress(Ip, Port);
  if (::bind(Handle, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) == 0)
    return Handle;
  ::close(Handle);
  return -1;
}

/// Listens on a free port if Port is 0; returns -1 on failure.
inline int listenAt(const std::string &Ip, std::uint16_t Port) {
  constexpr int Backlog = 128;
  int Handle = boundSocket(Ip, Port);
  if (Handle >= 0)
    ::listen(Handle, Backlog);
  return Handle;
}

inline std::uint16_t portOf(int Handle) {
  sockaddr_in Where{};
  socklen_t Size = sizeof(Where);
  ::getsockname(Handle, reinterpret_cast<sockaddr *>(&Where), &Size);
  return ntohs(Where.sin_port);
}

/// ReceiveBuffer: its size in bytes, for a client whose packets have the size
/// of those of a real link; 0 for a client on loopback.
inline int connectTo(const std::string &Ip, std::uint16_t Port,
                     int ReceiveBuffer = 0) {
  int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  if (ReceiveBuffer > 0) {
    int SegmentSize = 1460;
    setsockopt(Handle, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof(ReceiveBuffer));
    setsockopt(Handle, IPPROTO_TCP, TCP_MAXSEG, &SegmentSize,
               sizeof(SegmentSize));
  }
  setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  sockaddr_in Where = socketAddress(Ip, Port);
  if (::connect(Handle, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) ==
      0)
    return Handle;
  ::close(Handle);
  return -1;
}

inline bool sendAll(int Handle, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(Handle, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

/// Reads lines and bodies from one socket.
class Reader {
public:
  explicit Reader(int Handle) : Handle(Handle) {}

  void setTimeout(std::chrono::milliseconds Timeout) const {
    constexpr int PerSecond = 1000;
    timeval Limit{.tv_sec = Timeout.count() / PerSecond,
                  .tv_usec = (Timeout.count() % PerSecond) * PerSecond};
    setsockopt(this->Handle, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  }
  /// The next line without its end; nothing if the connection ended.
  std::optional<std::string> line() {
    std::size_t End = 0;
    while ((End = this->Unread.find("\r\n")) == std::string::npos)
      if (!this->more())
        return std::nullopt;
    std::string Line = this->Unread.substr(0, End);
    this->Unread.erase(0, End + 2);
    return Line;
  }
  std::optional<std::string> bytes(std::size_t Count) {
    while (this->Unread.size() < Count)
      if (!this->more())
        return std::nullopt;
    std::string Bytes = this->Unread.substr(0, Count);
    this->Unread.erase(0, Count);
    return Bytes;
  }

private:
  bool more() {
    constexpr std::size_t Chunk = 4096;
    char Bytes[Chunk]; // NOLINT: filled before it is read
    ssize_t Count = ::recv(this->Handle, Bytes, Chunk, 0);
    if (Count > 0)
      this->Unread.append(Bytes, static_cast<std::size_t>(Count));
    return Count > 0;
  }

  int Handle;
  std::string Unread;
};

} // namespace lab
