#include "review/lab/Lab.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

Session::Session(Lab &Owner, std::string Name)
    : Owner(Owner), Name(std::move(Name)), Stream(Owner.Loop),
      Timer(Owner.Loop) {}

Session::~Session() { this->close(); }

void Session::close() {
  boost::system::error_code Ignored;
  this->Timer.cancel();
  this->Stream.close(Ignored);
}

Awaitable<bool> Session::open(std::string Address, std::uint16_t Port,
                              std::string Host) {
  boost::system::error_code Failure;
  this->Buffer.clear();
  this->Stream = tcp::socket(this->Owner.Loop);
  co_await this->Stream.async_connect(
      tcp::endpoint(asio::ip::make_address(Address), Port),
      asio::redirect_error(asio::use_awaitable, Failure));
  if (Failure) {
    this->close();
    co_return false;
  }
  this->Stream.set_option(tcp::no_delay(true), Failure);
  std::string Startup = "STARTUP " + Host + " " + this->Name + "\r\n";
  bool Sent = co_await this->send(Startup);
  if (!Sent)
    co_return false;
  auto Reply = co_await this->readReply(Milliseconds(2000));
  bool Opened = Reply.size() == 1 && Reply.front().starts_with("READY I");
  if (!Opened)
    this->close();
  co_return Opened;
}

Awaitable<bool> Session::send(std::string Bytes) {
  boost::system::error_code Failure;
  co_await asio::async_write(
      this->Stream, asio::buffer(Bytes),
      asio::redirect_error(asio::use_awaitable, Failure));
  if (Failure)
    this->close();
  co_return !Failure;
}

Awaitable<std::optional<std::string>> Session::readLine() {
  boost::system::error_code Failure;
  std::size_t Length = co_await asio::async_read_until(
      this->Stream, asio::dynamic_buffer(this->Buffer), "\r\n",
      asio::redirect_error(asio::use_awaitable, Failure));
  if (Failure) {
    this->close();
    co_return std::nullopt;
  }
  std::string Line = this->Buffer.substr(0, Length - 2);
  this->Buffer.erase(0, Length);
  co_return Line;
}

Awaitable<std::vector<std::string>> Session::readReply(Milliseconds Timeout) {
  std::vector<std::string> Lines;
  // The session may end before the timer's handler runs.
  auto Waits = std::make_shared<bool>(true);
  this->Timer.expires_after(Timeout);
  this->Timer.async_wait([this, Waits](const boost::system::error_code &Ended) {
    boost::system::error_code Ignored;
    if (!Ended && *Waits)
      this->Stream.close(Ignored);
  });
  while (true) {
    auto Line = co_await this->readLine();
    if (!Line)
      break;
    Lines.push_back(*Line);
    // A refused startup has no READY.
    if (Line->starts_with("READY"))
      break;
  }
  *Waits = false;
  this->Timer.cancel();
  co_return Lines;
}

Awaitable<std::vector<std::string>> Session::query(std::string Id,
                                                   std::string Text) {
  std::string Line = "QUERY " + Id + " " + Text + "\r\n";
  bool Sent = co_await this->send(Line);
  if (!Sent)
    co_return std::vector<std::string>();
  co_return co_await this->readReply(Milliseconds(5000));
}

void Daemon::start() {
  const DaemonOptions &O = this->Options;
  std::string Path = O.Folder + "/" + O.Name + ".yaml";
  std::string At = O.Address + ":";
  std::ofstream Out(Path);
  Out << "node: \"" << O.Name << "\"\nrole: \"entry\"\n"
      << "machine_class: \"front\"\nserves:\n  - \"front\"\n"
      << "ip: \"" << O.Address << "\"\nzone: \"" << O.Zone << "\"\n"
      << "region: \"region-1\"\nzones:\n";
  for (const auto &[Zone, Region] : O.Zones)
    Out << "  " << Zone << ": \"" << Region << "\"\n";
  Out << "listen:\n  front: \"" << At << O.Front << "\"\n  ready: \"" << At
      << O.Ready << "\"\ninternal_ports:\n  - " << O.FirstPeerPort << "\n  - "
      << O.FirstPeerPort + 9 << "\nbootstrap: true\ncounts_as_loss: false\n"
      << "limits:\n  cpu_share: 0.5\n  cores: 1\n  memory_mb: 520\n"
      << "  max_fds: 8400\n  link_mbps: 2000.0\n  disk_mb: 0\n"
      << "data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n"
      << "heartbeat_ms: 1200\nfault_tolerance:\n  machines: 2\n  zones: 1\n"
      << "  regions: 0\nbounds:\n  contact_ms: 4000\n  ack_ms: 5000\n"
      << "  drain_ms: 7000\n  grace_s: 6\n  loss_slack_ms: 200\n"
      << "  config_apply_ms: 3000\n  revert_slack_ms: 250\n"
      << "  max_skew_ms: 12000\n  recovery_s: 12\n  require_fence: false\n"
      << "  thaw_ms: 300\nplatform:\n  addr: \"127.0.0.1:" << O.StorePort
      << "\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n"
      << "  history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n"
      << "cloud_api:\n  addr: \"127.0.0.1:" << O.CloudPort
      << "\"\n  rate_per_s: 50.0\n  duties:\n    - \"promotion\"\n"
      << "  duty_per_s: 50.0\n";
  Out.close();
  std::string Boot = "TURMERICPITCH_BOOT=" + Path;
  std::string LogPath = O.Folder + "/" + O.Name + ".log";
  this->Process = fork();
  if (this->Process != 0)
    return;
  int Log =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  for (int Each = STDERR_FILENO + 1; Each < 1024; ++Each)
    ::close(Each);
  // Ends with the lab, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::string Program = "target/turmericpitch-sessions";
  std::vector<char *> Arguments{Program.data(), nullptr};
  std::vector<char *> Environment{Boot.data(), nullptr};
  execve(Program.c_str(), Arguments.data(), Environment.data());
  _exit(127);
}

bool Daemon::running() {
  if (this->Process <= 0)
    return false;
  if (waitpid(this->Process, nullptr, WNOHANG) != this->Process)
    return true;
  this->Process = 0;
  return false;
}

double Daemon::memory() const {
  constexpr double KilobytesPerMegabyte = 1024;
  std::ifstream Status("/proc/" + std::to_string(this->Process) + "/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.starts_with("VmRSS:"))
      return std::stod(Line.substr(6)) / KilobytesPerMegabyte;
  return 0;
}

void Daemon::signal(int Signal) {
  if (!this->running())
    return;
  kill(this->Process, Signal);
  if (Signal != SIGKILL)
    return;
  waitpid(this->Process, nullptr, 0);
  this->Process = 0;
}

Awaitable<unsigned> askReady(Lab &Owner, const Daemon &Of) {
  boost::system::error_code Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  auto Stream = std::make_shared<tcp::socket>(Owner.Loop);
  asio::steady_timer Timer(Owner.Loop, Milliseconds(900));
  Timer.async_wait([Stream](const boost::system::error_code &Ended) {
    boost::system::error_code Ignored;
    if (!Ended)
      Stream->close(Ignored);
  });
  co_await Stream->async_connect(
      tcp::endpoint(asio::ip::make_address(Of.options().Address),
                    Of.options().Ready),
      Token);
  std::string Request = "GET /api/ready HTTP/1.1\r\nHost: x\r\n"
                        "Connection: close\r\n\r\n";
  if (!Failure)
    co_await asio::async_write(*Stream, asio::buffer(Request), Token);
  std::string Reply;
  if (!Failure)
    co_await asio::async_read_until(*Stream, asio::dynamic_buffer(Reply),
                                    "\r\n", Token);
  Timer.cancel();
  if (Failure || Reply.size() < 12)
    co_return 0;
  co_return static_cast<unsigned>(std::stoul(Reply.substr(9, 3)));
}

bool succeeded(const std::vector<std::string> &Reply) {
  bool Signed = false;
  for (const std::string &Line : Reply)
    Signed = Signed || (Line.starts_with("COMPLETE ") && Line != "COMPLETE -");
  return Signed && Reply.back().starts_with("READY");
}

std::string errorCode(const std::vector<std::string> &Reply) {
  for (const std::string &Line : Reply) {
    std::string Rest = Line;
    if (takeWord(Rest) == "ERROR")
      return takeWord(Rest);
  }
  return "";
}

std::string joined(const std::vector<std::string> &Lines) {
  std::string All;
  for (const std::string &Line : Lines)
    All += (All.empty() ? "" : " | ") + Line;
  return All.empty() ? "(no answer)" : All;
}

} // namespace review
