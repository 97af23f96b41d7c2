#include "configuration/ConfigurationController.h"

namespace turmericpitch {

namespace {

Error refused(ErrorKind Kind, const ConfigurationChange &Change,
              std::string Message, std::string Remedy) {
  return {.Kind = Kind,
          .Message = "ticket " + std::to_string(Change.Head.Newest.Value) +
                     ": " + std::move(Message),
          .Remedy = std::move(Remedy)};
}

/// Whether the change may be applied to what is in force.
Result<void> checkOrder(const ConfigurationSnapshot &Present,
                        const ConfigurationChange &Change) {
  TicketNumber InForce = Present.newestTicket();
  if (Change.Head.Newest < InForce)
    return boost::leaf::new_error(refused(
        ErrorKind::Superseded, Change,
        "older than ticket " + std::to_string(InForce.Value) + " in force",
        "restore the platform's newest state"));
  if (Change.Head.Newest == InForce &&
      Change.Head.Digest != Present.head().Digest)
    return boost::leaf::new_error(refused(
        ErrorKind::BadRequest, Change, "in force here with other content",
        "submit the wanted state under a higher number"));
  if (Change.After > InForce)
    return boost::leaf::new_error(refused(ErrorKind::Unavailable, Change,
                                          "earlier tickets are missing here",
                                          "wait for a whole copy"));
  return {};
}

} // namespace

Result<bool> ConfigurationController::apply(const ConfigurationChange &Change) {
  std::lock_guard OneAtATime(this->Applying);
  SharedConfiguration Present = this->current();
  if (!Present)
    Present = std::make_shared<const ConfigurationSnapshot>();
  BOOST_LEAF_CHECK(checkOrder(*Present, Change));
  bool Later = Change.Head.Newest > Present->newestTicket();
  if (!Later && Change.HeadModified <= Present->revision())
    return false;
  ConfigurationSnapshot Next =
      Present->withHead(Change.Head, Change.HeadModified);
  if (Later) {
    BOOST_LEAF_ASSIGN(Next, Present->changedBy(Change));
  }
  std::lock_guard Lock(this->Guard);
  this->Current =
      std::make_shared<const ConfigurationSnapshot>(std::move(Next));
  return Later;
}

SharedConfiguration ConfigurationController::current() const {
  std::lock_guard Lock(this->Guard);
  return this->Current;
}

} // namespace turmericpitch
