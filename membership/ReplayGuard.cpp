#include "membership/ReplayGuard.h"

namespace turmericpitch {

bool ReplayGuard::admit(Incarnation IncarnationNumber, std::uint64_t Sequence) {
  if (IncarnationNumber < this->IncarnationNumber)
    return false;
  if (IncarnationNumber > this->IncarnationNumber) {
    this->IncarnationNumber = IncarnationNumber;
    this->Highest = Sequence;
    this->ReceivedMask = 1;
    return true;
  }
  if (Sequence > this->Highest) {
    std::uint64_t Shift = Sequence - this->Highest;
    this->ReceivedMask = Shift < WindowSize ? this->ReceivedMask << Shift : 0;
    this->ReceivedMask |= 1;
    this->Highest = Sequence;
    return true;
  }
  std::uint64_t Behind = this->Highest - Sequence;
  if (Behind >= WindowSize || ((this->ReceivedMask >> Behind) & 1) != 0)
    return false;
  this->ReceivedMask |= std::uint64_t{1} << Behind;
  return true;
}

} // namespace turmericpitch
