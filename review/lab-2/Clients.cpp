#include "Clients.h"

#include "Sockets.h"

#include <thread>

namespace lab {

namespace {

constexpr std::chrono::milliseconds Pause(40);
constexpr std::chrono::milliseconds ReplyTimeout(2500);

} // namespace

Clients::Clients(Record &Log, std::vector<Front> Fronts, std::string Database)
    : Log(Log), Fronts(std::move(Fronts)), Database(std::move(Database)) {}

void Clients::start(int Count) {
  for (int Client = 0; Client < Count; ++Client)
    std::thread([this, Client] { this->run(Client); }).detach();
}

std::vector<std::string> Clients::acknowledged() {
  std::lock_guard Lock(this->Mutex);
  return this->Acknowledged;
}

std::size_t Clients::count() {
  std::lock_guard Lock(this->Mutex);
  return this->Acknowledged.size();
}

void Clients::run(int Client) {
  auto Turn = static_cast<std::size_t>(Client);
  while (!this->Stopping) {
    this->session(Client, this->Fronts[Turn++ % this->Fronts.size()]);
    std::this_thread::sleep_for(Pause);
  }
}

void Clients::session(int Client, const Front &At) {
  int Handle = connectTo(At.Ip, At.Port);
  if (Handle < 0)
    return;
  Reader From(Handle);
  From.setTimeout(ReplyTimeout);
  bool Open = sendAll(Handle, "STARTUP " + this->Database + " key\r\n");
  auto Line = From.line();
  Open = Open && Line && Line->starts_with("READY");
  while (Open && !this->Stopping) {
    std::string Id = "w" + std::to_string(this->NextId++);
    Open = sendAll(Handle, "QUERY " + Id + " WRITE item" +
                               std::to_string(Client) + " " + Id + "\r\n");
    std::string Result = "no answer";
    Line = From.line();
    while (Line && !Line->starts_with("READY")) {
      Result = *Line;
      Line = From.line();
    }
    bool Done =
        Line && Result.starts_with("COMPLETE ") && Result != "COMPLETE -";
    Open = Open && Done;
    this->Log.write(Id + " at " + At.Ip + ": " + Result);
    if (Done) {
      std::lock_guard Lock(this->Mutex);
      this->Acknowledged.push_back(Id);
    }
    std::this_thread::sleep_for(Pause);
  }
  ::close(Handle);
}

} // namespace lab
