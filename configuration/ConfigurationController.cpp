#include "configuration/ConfigurationController.h"

namespace turmericpitch {

namespace {

Error applyError(ErrorKind Kind, const ConfigurationChange &Change,
                 std::string Message, std::string Remedy) {
  return {.Kind = Kind,
          .Message = "ticket " + std::to_string(Change.Head.Newest.Value) +
                     ": " + std::move(Message),
          .Remedy = std::move(Remedy)};
}

/// Checks that the change may be applied to the active configuration.
Result<void> checkOrder(const ConfigurationSnapshot &Current,
                        const ConfigurationChange &Change) {
  TicketNumber Active = Current.newestTicket();
  if (Change.Head.Newest < Active)
    return boost::leaf::new_error(applyError(
        ErrorKind::Superseded, Change,
        "older than ticket " + std::to_string(Active.Value) + " in force",
        "restore the newest state of the platform"));
  if (Change.Head.Newest == Active &&
      Change.Head.Digest != Current.head().Digest)
    return boost::leaf::new_error(applyError(
        ErrorKind::BadRequest, Change, "already active with different content",
        "submit the intended state under a higher number"));
  if (Change.After > Active)
    return boost::leaf::new_error(
        applyError(ErrorKind::Unavailable, Change,
                   "earlier tickets have not been applied here",
                   "wait until a full copy arrives"));
  return {};
}

} // namespace

Result<bool> ConfigurationController::apply(const ConfigurationChange &Change) {
  std::lock_guard ApplyLock(this->ApplyMutex);
  SharedConfiguration Previous = this->current();
  if (!Previous)
    Previous = std::make_shared<const ConfigurationSnapshot>();
  BOOST_LEAF_CHECK(checkOrder(*Previous, Change));
  bool Newer = Change.Head.Newest > Previous->newestTicket();
  if (!Newer && Change.HeadRevision <= Previous->revision())
    return false;
  ConfigurationSnapshot Updated =
      Previous->withHead(Change.Head, Change.HeadRevision);
  if (Newer) {
    BOOST_LEAF_ASSIGN(Updated, Previous->withChange(Change));
  }
  std::lock_guard Lock(this->Mutex);
  this->Current =
      std::make_shared<const ConfigurationSnapshot>(std::move(Updated));
  return Newer;
}

SharedConfiguration ConfigurationController::current() const {
  std::lock_guard Lock(this->Mutex);
  return this->Current;
}

} // namespace turmericpitch
