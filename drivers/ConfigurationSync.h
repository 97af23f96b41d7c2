// Applies accepted tickets on this instance and disseminates them to peers.
#pragma once

#include "configuration/Dissemination.h"
#include "drivers/ConfigurationSyncCopy.h"
#include "drivers/PeerTransport.h"
#include "drivers/PlatformClient.h"

#include <boost/asio/strand.hpp>

namespace turmericpitch {

struct ConfigurationSyncOptions {
  DisseminationOptions Dissemination;
  std::vector<PeerKey> PeerKeys;
};

/// A peer and the configuration state that it reported, if it answered.
struct SurveyedPeer {
  ConfigurationPeer Peer;
  std::optional<PeerReport> Report;
};

/// Executes the actions that Dissemination decides on. Thread-safe: all work
/// runs on one strand.
class ConfigurationSync
    : public std::enable_shared_from_this<ConfigurationSync> {
public:
  /// OnApplied is called after each change of the active configuration, one
  /// call at a time.
  ConfigurationSync(Executor Exec, ConfigurationSyncOptions Options,
                    std::shared_ptr<PlatformClient> Platform,
                    std::shared_ptr<ConfigurationController> Controller,
                    std::shared_ptr<PeerTransport> Transport,
                    std::function<void()> OnApplied);

  /// Registers for the configuration topic of the transport. Call once, before
  /// the transport starts.
  void attach();
  /// Starts the periodic synchronization, which runs until stop().
  void start();
  void stop() { this->Stopped = true; }
  /// Sets the peers: the other instances that are considered live.
  void onPeers(std::vector<ConfigurationPeer> Peers);
  /// Applies and disseminates a ticket that was accepted through this instance.
  void onAccepted(ConfigurationChange Change);
  /// Queries the active configuration of all peers. Takes about a second; a
  /// survey soon after another one reuses its answers.
  Awaitable<std::vector<SurveyedPeer>> survey();
  /// The handler that serves configuration copies to peers, on the address of
  /// the peer transport but over TCP.
  [[nodiscard]] std::shared_ptr<ConfigurationCopyApi> copies() const {
    return this->Copies;
  }
  /// Number of payloads that could not be decoded.
  [[nodiscard]] std::uint64_t droppedPayloads() const { return this->Dropped; }

private:
  using Strand = boost::asio::strand<Executor>;

  Awaitable<void> run();
  Awaitable<std::vector<SurveyedPeer>> surveyOnStrand();
  [[nodiscard]] std::vector<SurveyedPeer> surveyResults() const;
  void onArrival(const PeerArrival &Arrival);
  /// Runs an event handler on the strand and executes the resulting actions.
  template <typename Event> void post(Event Handle);
  void perform(DisseminationActions Actions);
  void execute(const SendToPeer &Send);
  void execute(const ReadPlatform &Read);
  void execute(const FetchCopy &Fetch);
  void execute(const TicketApplied &Applied);
  void execute(const DisseminationWarning &Warning);

  Strand Exec;
  std::shared_ptr<PlatformClient> Platform;
  std::shared_ptr<ConfigurationController> Controller;
  std::shared_ptr<PeerTransport> Transport;
  std::function<void()> OnApplied;
  std::shared_ptr<const CopyAuthenticator> Authenticator;
  std::shared_ptr<ConfigurationCopyApi> Copies;
  MonotonicClock Time;
  Dissemination Logic;
  TimePoint SurveyedAt;
  std::atomic<std::uint64_t> Dropped = 0;
  std::atomic<bool> Stopped = false;
};

} // namespace turmericpitch
