// Brings accepted tickets into force here and hands them on to peers.
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

/// What an instance other than this one said that it runs, if it answered.
struct SurveyedPeer {
  ConfigurationPeer Peer;
  std::optional<PeerReport> Report;
};

/// Carries out what Dissemination decides. Thread-safe: everything runs on
/// one strand.
class ConfigurationSync
    : public std::enable_shared_from_this<ConfigurationSync> {
public:
  /// OnApplied is called after each change that came into force, one call at
  /// a time.
  ConfigurationSync(Executor Exec, ConfigurationSyncOptions Options,
                    std::shared_ptr<PlatformClient> Platform,
                    std::shared_ptr<ConfigurationController> Controller,
                    std::shared_ptr<PeerTransport> Transport,
                    std::function<void()> OnApplied);

  /// Takes the transport's topic. Call once, before the transport starts.
  void attach();
  /// Begins to keep the configuration in force, until stop().
  void start();
  void stop() { this->Stopped = true; }
  /// The other instances believed live.
  void onPeers(std::vector<ConfigurationPeer> Peers);
  /// A ticket was accepted through this instance.
  void onAccepted(ConfigurationChange Change);
  /// Asks all peers on what they run; takes about a second. Surveys in quick
  /// succession share their answers.
  Awaitable<std::vector<SurveyedPeer>> survey();
  /// What serves copies to peers; listens where the peers' datagrams go, but
  /// on TCP.
  [[nodiscard]] std::shared_ptr<ConfigurationCopyApi> copies() const {
    return this->Copies;
  }
  /// Payloads that could not be read.
  [[nodiscard]] std::uint64_t droppedPayloads() const { return this->Dropped; }

private:
  using Strand = boost::asio::strand<Executor>;

  Awaitable<void> run();
  Awaitable<std::vector<SurveyedPeer>> surveyOnStrand();
  [[nodiscard]] std::vector<SurveyedPeer> surveyResults() const;
  void onArrival(const PeerArrival &Arrival);
  /// Runs an event on the strand and carries out what it decides.
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
