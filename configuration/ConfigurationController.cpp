#include "configuration/ConfigurationController.h"

namespace turmericpitch {

Result<bool> ConfigurationController::onStored(const KeyValueAnswer &Answer) {
  BOOST_LEAF_AUTO(Stored, readStoredConfiguration(Answer));
  BOOST_LEAF_AUTO(Built,
                  ConfigurationSnapshot::build(Stored.AsOf, Stored.Head.Newest,
                                               std::move(Stored.Records)));
  std::lock_guard Lock(this->Guard);
  if (this->Current && Stored.AsOf <= this->Reached)
    return false;
  this->Reached = Stored.AsOf;
  this->Current = std::make_shared<ConfigurationSnapshot>(std::move(Built));
  return true;
}

Result<bool> ConfigurationController::onEvents(const WatchBatch &Batch) {
  std::lock_guard Lock(this->Guard);
  if (Batch.AsOf <= this->Reached)
    return false;
  KeyValueAnswer Changed;
  Changed.AsOf = Batch.AsOf;
  for (const WatchEvent &Event : Batch.Events)
    if (!Event.Deleted)
      Changed.Entries.push_back(Event.Entry);
  BOOST_LEAF_AUTO(News, readStoredConfiguration(Changed));
  auto Records = this->Current ? this->Current->records()
                               : std::map<ObjectKey, ObjectRecord>{};
  for (auto &[Key, Record] : News.Records)
    Records[Key] = std::move(Record);
  TicketNumber Newest =
      this->Current ? this->Current->newestTicket() : TicketNumber{};
  BOOST_LEAF_AUTO(Built, ConfigurationSnapshot::build(
                             Batch.AsOf, std::max(Newest, News.Head.Newest),
                             std::move(Records)));
  this->Reached = Batch.AsOf;
  this->Current = std::make_shared<ConfigurationSnapshot>(std::move(Built));
  return true;
}

SharedConfiguration ConfigurationController::current() const {
  std::lock_guard Lock(this->Guard);
  return this->Current;
}

Revision ConfigurationController::reached() const {
  std::lock_guard Lock(this->Guard);
  return this->Reached;
}

} // namespace turmericpitch
