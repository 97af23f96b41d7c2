// Stand-in for the platform's key-value store and promotion service on
// loopback.
#pragma once

#include "core/Endpoint.h"
#include "drivers/HttpServer.h"
#include "tests/platform/SessionGroup.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>

namespace turmericpitch {

/// Keys with revisions and conditional writes; leases never expire. Must be
/// used on one thread's executor only.
class RevisionStore {
public:
  /// Also serves promotions of the members of Group.
  RevisionStore(Executor Exec, Endpoint Listen, SessionGroup &Group);

  /// Errors: Unavailable if the address can't be bound.
  Status start();
  /// Replies to one request, as to those that arrive at the own address.
  Awaitable<HttpReply> handle(HttpRequest Request);
  /// Writes a key as the operator or a member would.
  void put(const std::string &Key, const std::string &Value);
  /// Deletes a key as another writer would.
  void erase(const std::string &Key) {
    this->Items.erase(Key);
    ++this->Revision;
  }
  /// The value of a key, or "".
  [[nodiscard]] std::string value(const std::string &Key) const {
    auto Found = this->Items.find(Key);
    return Found == this->Items.end() ? "" : Found->second.Value;
  }
  /// Calls Handler with each value that an instance writes, before the reply.
  void onWrite(std::function<void(const std::string &Value)> Handler) {
    this->WriteHandler = std::move(Handler);
  }
  /// While unavailable, replies to each request with status 503.
  void setUnavailable(bool Unavailable) { this->Unavailable = Unavailable; }
  [[nodiscard]] std::uint16_t port() const { return this->Server.port(); }
  /// Keeps a copy of all keys, for restore().
  void takeCopy() { this->Copy = {this->Items, this->Revision}; }
  /// Goes back to the copy: later writes are gone, revisions are given out
  /// again, and the era rises.
  void restore();
  /// Compacts the history. Watches from earlier revisions fail with status 410.
  void compactHistory() { this->HistoryFrom = this->Revision; }
  /// Number of reads of single keys since the start.
  [[nodiscard]] std::uint64_t keyReads() const { return this->KeyReads; }
  [[nodiscard]] std::uint64_t promotions() const { return this->Promotions; }
  /// While set, requests for promotions wait.
  void setPromotionsHeld(bool Held) {
    this->PromotionsHeld = Held;
    this->PromotionsReleased.cancel();
  }
  /// Number of requests for promotions that have arrived, waiting ones
  /// included.
  [[nodiscard]] std::uint64_t promotionRequests() const {
    return this->PromotionRequests;
  }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Lease = 0;
  };

  struct Contents {
    std::map<std::string, Item> Items;
    std::uint64_t Revision = 1;
  };

  HttpReply answer(const HttpRequest &Request);
  [[nodiscard]] boost::json::object encodeItem(const std::string &Key,
                                               const Item &Each) const;
  HttpReply range(const std::string &Prefix) const;
  HttpReply key(const std::string &Key) const;
  HttpReply changes(const std::string &Prefix, std::uint64_t After) const;
  HttpReply commit(const std::string &Body);

  Executor Exec;
  SessionGroup &Group;
  HttpServer Server;
  std::map<std::string, Item> Items;
  std::uint64_t Revision = 1;
  std::uint64_t Era = 1;
  Contents Copy;
  std::uint64_t Leases = 0;
  std::uint64_t Promotions = 0;
  std::uint64_t PromotionRequests = 0;
  bool PromotionsHeld = false;
  boost::asio::steady_timer PromotionsReleased;
  std::uint64_t HistoryFrom = 0;
  std::uint64_t KeyReads = 0;
  bool Unavailable = false;
  std::function<void(const std::string &Value)> WriteHandler;
};

} // namespace turmericpitch
