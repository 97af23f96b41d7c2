#include "limits/MemoryBudget.h"

#include <algorithm>
#include <numeric>

namespace turmericpitch {

namespace {

/// Fractions of the memory limit for the allowances and for the shared bytes.
/// Statements and replies are copied on their way, and the configuration and
/// the connections need memory as well.
constexpr std::size_t AllowanceDivisor = 4;
constexpr std::size_t SharedDivisor = 4;
constexpr std::size_t MaxAllowance = std::size_t{8} * 1024;
constexpr std::size_t MaxSessions = 5000;
/// Descriptors that are left for files: a part of them, up to a maximum.
constexpr std::size_t FileDescriptorDivisor = 4;
constexpr std::size_t MaxFileDescriptors = 200;
/// The part of the sockets that is left for the members, the store and the
/// other instances.
constexpr std::size_t OtherSocketDivisor = 4;

} // namespace

std::string_view toString(SessionMemory Kind) {
  switch (Kind) {
  case SessionMemory::Input:
    return "input";
  case SessionMemory::Queue:
    return "queue";
  case SessionMemory::Statement:
    return "statement";
  case SessionMemory::Output:
    return "output";
  case SessionMemory::State:
    break;
  }
  return "state";
}

bool MemoryBudget::makeRoom(const MemoryShare &Asker, std::size_t Excess) {
  auto Fits = [&] {
    return this->SharedInUse - Asker.Excess + Excess <= this->Options.Shared;
  };
  while (!Fits()) {
    if (this->Holders.empty() || this->Holders.rbegin()->first <= Excess)
      return false;
    // Larger than the asker's share, so not the asker's.
    this->Holders.rbegin()->second->reclaim();
  }
  return true;
}

MemoryShare::~MemoryShare() {
  for (std::size_t Kind = 0; Kind < SessionMemoryKinds; ++Kind)
    this->set(static_cast<SessionMemory>(Kind), 0);
}

std::size_t MemoryShare::total() const {
  return std::accumulate(this->Held.begin(), this->Held.end(), std::size_t{0});
}

bool MemoryShare::hold(SessionMemory Kind, std::size_t Bytes) {
  std::size_t Before = this->held(Kind);
  if (Bytes > Before) {
    std::size_t Total = this->total() - Before + Bytes;
    std::size_t Allowance = this->Budget->Options.Allowance;
    std::size_t NewExcess = Total > Allowance ? Total - Allowance : 0;
    if (this->WasReclaimed || (NewExcess > this->Excess &&
                               !this->Budget->makeRoom(*this, NewExcess))) {
      this->Refused = true;
      return false;
    }
  }
  this->set(Kind, Bytes);
  return true;
}

void MemoryShare::shrink(SessionMemory Kind, std::size_t Bytes) {
  this->set(Kind, std::min(Bytes, this->held(Kind)));
}

void MemoryShare::set(SessionMemory Kind, std::size_t Bytes) {
  std::size_t &Own = this->Held.at(static_cast<std::size_t>(Kind));
  std::size_t &All = this->Budget->Held.at(static_cast<std::size_t>(Kind));
  All = All - Own + Bytes;
  Own = Bytes;
  std::size_t Total = this->total();
  std::size_t Allowance = this->Budget->Options.Allowance;
  // The shared bytes of a reclaimed share were given to others.
  if (!this->WasReclaimed)
    this->setExcess(Total > Allowance ? Total - Allowance : 0);
}

void MemoryShare::setExcess(std::size_t Bytes) {
  if (Bytes == this->Excess)
    return;
  if (this->Excess > 0)
    this->Budget->Holders.erase({this->Excess, this});
  this->Budget->SharedInUse = this->Budget->SharedInUse - this->Excess + Bytes;
  this->Excess = Bytes;
  if (Bytes > 0)
    this->Budget->Holders.insert({Bytes, this});
}

void MemoryShare::reclaim() {
  this->setExcess(0);
  this->WasReclaimed = true;
  ++this->Budget->Reclaimed;
  auto Handle = std::exchange(this->ReclaimHandler, nullptr);
  if (Handle)
    Handle();
}

SessionCapacity sessionCapacity(std::size_t MemoryLimit,
                                std::size_t DescriptorLimit) {
  std::size_t Sockets =
      DescriptorLimit -
      std::min(MaxFileDescriptors, DescriptorLimit / FileDescriptorDivisor);
  SessionCapacity Capacity;
  Capacity.MaximumSessions = std::clamp<std::size_t>(
      Sockets - Sockets / OtherSocketDivisor, 1, MaxSessions);
  Capacity.Memory = {.Shared = MemoryLimit / SharedDivisor,
                     .Allowance =
                         std::min(MaxAllowance, MemoryLimit / AllowanceDivisor /
                                                    Capacity.MaximumSessions)};
  return Capacity;
}

} // namespace turmericpitch
