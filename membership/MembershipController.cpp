#include "membership/MembershipController.h"

namespace turmericpitch {

MembershipController::MembershipController(MembershipOptions Options,
                                           std::uint64_t Seed)
    : Protocol(std::move(Options), Seed) {
  this->publish(TimePoint{});
}

void MembershipController::publish(TimePoint Now) {
  if (this->Published && this->Protocol.version() == this->PublishedVersion)
    return;
  this->PublishedVersion = this->Protocol.version();
  auto Next =
      std::make_shared<const MembershipSnapshot>(this->Protocol.snapshot(Now));
  std::lock_guard Lock(this->PublishedMutex);
  this->Published = std::move(Next);
}

OutgoingMembershipMessages MembershipController::onTick(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  OutgoingMembershipMessages Out = this->Protocol.onTick(Now);
  this->publish(Now);
  return Out;
}

OutgoingMembershipMessages
MembershipController::onPayload(const InstanceId &From,
                                std::string_view Payload, TimePoint Now) {
  auto Read = toOutcome([&] { return decodeMembership(Payload); });
  std::lock_guard Lock(this->Mutex);
  if (!Read) {
    this->Protocol.noteMalformed();
    return {};
  }
  this->Protocol.noteUnknownSections(Read.value().UnknownSections);
  return this->Protocol.onMessage(From, Read.value().Message, Now);
}

void MembershipController::onPlatformList(
    const std::vector<PlatformInstance> &List, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->Protocol.onPlatformList(List, Now);
  this->publish(Now);
}

OutgoingMembershipMessages MembershipController::beginLeaving(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  OutgoingMembershipMessages Out = this->Protocol.beginLeaving(Now);
  this->publish(Now);
  return Out;
}

OutgoingMembershipMessages MembershipController::depart(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  OutgoingMembershipMessages Out = this->Protocol.depart(Now);
  this->publish(Now);
  return Out;
}

SharedMembership MembershipController::current() const {
  std::lock_guard Lock(this->PublishedMutex);
  return this->Published;
}

bool MembershipController::leaving() const {
  std::lock_guard Lock(this->Mutex);
  return this->Protocol.leaving();
}

TimePoint MembershipController::nextTick() const {
  std::lock_guard Lock(this->Mutex);
  return this->Protocol.nextTick();
}

MembershipCounters MembershipController::counters() const {
  std::lock_guard Lock(this->Mutex);
  return this->Protocol.counters();
}

} // namespace turmericpitch
