// Submits tickets to a platform stand-in in virtual time.
#pragma once

#include "configuration/TicketAcceptance.h"
#include "core/EventQueue.h"
#include "stand_ins/KeyValueStore.h"

#include <map>

namespace turmericpitch {

/// A ticket that sets the brand "shared" and Extra further brands.
Ticket brandTicket(std::uint64_t Number, const std::string &Host,
                   std::size_t Extra = 0);

/// Drives TicketAcceptance as the driver of the operator API does.
class AcceptanceFixture {
public:
  struct Submission {
    Ticket Subject;
    std::optional<TicketAcceptance> Acceptance;
    std::optional<Outcome<AcceptedTicket>> FinalOutcome;
    bool Paused = false;
    /// Platform replies that arrived while the submission was paused.
    std::vector<Outcome<KeyValueAnswer>> HeldReplies;
    std::size_t Calls = 0;
    std::size_t BytesRead = 0;
  };

  void submit(const std::string &Name, Ticket Subject,
              SharedConfiguration Base = nullptr);
  void pause(const std::string &Name) { this->Submissions[Name].Paused = true; }
  void resume(const std::string &Name);

  /// The configuration stored in the platform, read without injected faults.
  [[nodiscard]] ConfigurationSnapshot stored();
  /// All heads written to the platform, oldest first.
  [[nodiscard]] std::vector<TicketHead> writtenHeads() const;

  EventQueue Queue;
  KeyValueStore Store;
  std::map<std::string, Submission> Submissions;
  Duration OneWayLatency = std::chrono::milliseconds(1);

private:
  void perform(const std::string &Name, AcceptanceAction Action);
  void deliver(const std::string &Name, const Outcome<KeyValueAnswer> &Answer);
};

} // namespace turmericpitch
