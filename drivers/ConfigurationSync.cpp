#include "drivers/ConfigurationSync.h"

#include "core/DecisionLog.h"
#include "drivers/ChangeSignal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace turmericpitch {

namespace asio = boost::asio;

namespace {

constexpr Duration MinPause = std::chrono::milliseconds(1);
/// Number of peers that a survey queries before it pauses for
/// SurveyPagePause.
constexpr std::size_t SurveyPage = 200;
constexpr Duration SurveyPagePause = std::chrono::milliseconds(20);
constexpr Duration SurveyPoll = std::chrono::milliseconds(5);
constexpr Duration SurveyTimeout = std::chrono::seconds(1);

} // namespace

ConfigurationSync::ConfigurationSync(
    Executor Exec, ConfigurationSyncOptions Options,
    std::shared_ptr<PlatformClient> Platform,
    std::shared_ptr<ConfigurationController> Controller,
    std::shared_ptr<PeerTransport> Transport, std::function<void()> OnApplied)
    : Exec(asio::make_strand(Exec)), Platform(std::move(Platform)),
      Controller(std::move(Controller)), Transport(std::move(Transport)),
      OnApplied(std::move(OnApplied)),
      Authenticator(std::make_shared<const CopyAuthenticator>(
          std::move(Options.PeerKeys))),
      Copies(std::make_shared<ConfigurationCopyApi>(this->Authenticator,
                                                    this->Controller)),
      Logic(std::move(Options.Dissemination), *this->Controller) {}

template <typename Event> void ConfigurationSync::post(Event Handle) {
  asio::post(this->Exec,
             [Self = this->shared_from_this(), Handle = std::move(Handle)] {
               if (!Self->Stopped)
                 Self->perform(Handle(Self->Logic, Self->Time.now()));
             });
}

void ConfigurationSync::attach() {
  std::weak_ptr<ConfigurationSync> Weak = this->shared_from_this();
  this->Transport->onTopic(PeerTopic::Configuration,
                           [Weak](const PeerArrival &Arrival) {
                             if (auto Self = Weak.lock())
                               Self->onArrival(Arrival);
                           });
}

void ConfigurationSync::start() {
  auto Self = this->shared_from_this();
  asio::co_spawn(
      this->Exec, [Self]() -> Awaitable<void> { co_await Self->run(); },
      asio::detached);
}

Awaitable<void> ConfigurationSync::run() {
  while (!this->Stopped) {
    TimePoint Now = this->Time.now();
    this->perform(this->Logic.onTick(Now));
    Duration Wait = this->Logic.nextTick() - Now;
    co_await sleepFor(std::max(Wait, MinPause));
  }
}

void ConfigurationSync::onPeers(std::vector<ConfigurationPeer> Peers) {
  auto Directory = std::make_shared<const PeerDirectory>(std::move(Peers));
  this->post([Directory](Dissemination &Logic, TimePoint) {
    Logic.onPeers(Directory);
    return DisseminationActions{};
  });
}

void ConfigurationSync::onAccepted(ConfigurationChange Change) {
  this->post([Change = std::move(Change)](Dissemination &Logic, TimePoint Now) {
    return Logic.onAccepted(Change, Now);
  });
}

void ConfigurationSync::onArrival(const PeerArrival &Arrival) {
  auto Message =
      toOutcome([&] { return decodeMessage(Arrival.Frame.Payload); });
  if (!Message) {
    ++this->Dropped;
    return;
  }
  this->post([From = Arrival.Frame.From, Where = Arrival.Source,
              Message = std::move(Message.value())](Dissemination &Logic,
                                                    TimePoint Now) {
    return Logic.onMessage(From, Where, Message, Now);
  });
}

void ConfigurationSync::perform(DisseminationActions Actions) {
  for (const DisseminationAction &Action : Actions)
    std::visit([this](const auto &Each) { this->execute(Each); }, Action);
}

void ConfigurationSync::execute(const SendToPeer &Send) {
  this->Transport->send(Send.To, PeerTopic::Configuration,
                        encodeMessage(Send.Message));
}

void ConfigurationSync::execute(const ReadPlatform &Read) {
  auto Self = this->shared_from_this();
  auto Call = [Self, Request = Read.Request]() -> Awaitable<void> {
    KeyValueRequest Sent = Request;
    auto Answer = co_await Self->Platform->call(std::move(Sent));
    Self->post(
        [Answer = std::move(Answer)](Dissemination &Logic, TimePoint Now) {
          return Logic.onPlatform(Answer, Now);
        });
  };
  asio::co_spawn(this->Exec, std::move(Call), asio::detached);
}

void ConfigurationSync::execute(const FetchCopy &Fetch) {
  auto Self = this->shared_from_this();
  auto Call = [Self, Fetch]() -> Awaitable<void> {
    auto Copy =
        co_await fetchCopy(Self->Exec.get_inner_executor(), Self->Authenticator,
                           Fetch.From, Fetch.After);
    if (!Copy)
      writeInfo("fetching the configuration copy from " + toString(Fetch.From) +
                " failed: " + Copy.error().Message);
    Self->post([Copy = std::move(Copy)](Dissemination &Logic, TimePoint Now) {
      return Logic.onCopy(Copy, Now);
    });
  };
  asio::co_spawn(this->Exec, std::move(Call), asio::detached);
}

void ConfigurationSync::execute(const TicketApplied &Applied) {
  SharedConfiguration Current = this->Controller->current();
  writeDecision(DecisionLine("apply_configuration")
                    .field("ticket", Applied.Newest.Value)
                    .field("revision", Current->revision().Value)
                    .field("objects", Current->objectCount()));
  this->OnApplied();
}

void ConfigurationSync::execute(const DisseminationWarning &Warning) {
  writeWarning("configuration change rejected: " + Warning.Details.Message +
               "; remedy: " + Warning.Details.Remedy);
}

Awaitable<std::vector<SurveyedPeer>> ConfigurationSync::survey() {
  auto Self = this->shared_from_this();
  auto Ask = [Self]() -> Awaitable<std::vector<SurveyedPeer>> {
    return Self->surveyOnStrand();
  };
  co_return co_await asio::co_spawn(this->Exec, std::move(Ask),
                                    asio::use_awaitable);
}

Awaitable<std::vector<SurveyedPeer>> ConfigurationSync::surveyOnStrand() {
  std::size_t Peers = this->Logic.peers()->all().size();
  TimePoint StartedAt = this->Time.now();
  auto Pages = static_cast<std::int64_t>(Peers / SurveyPage);
  bool Cached = StartedAt - this->SurveyedAt < SurveyTimeout * Pages;
  if (!Cached) {
    this->SurveyedAt = StartedAt;
    for (std::size_t First = 0; First < Peers; First += SurveyPage) {
      if (First > 0)
        co_await sleepFor(SurveyPagePause);
      this->perform(
          this->Logic.requestReports(First, SurveyPage, this->Time.now()));
    }
  }
  TimePoint Deadline = this->Time.now() + SurveyTimeout;
  while (this->Logic.reports().size() < this->Logic.peers()->all().size() &&
         this->Time.now() < Deadline)
    co_await sleepFor(SurveyPoll);
  co_return this->surveyResults();
}

std::vector<SurveyedPeer> ConfigurationSync::surveyResults() const {
  std::vector<SurveyedPeer> All;
  for (const ConfigurationPeer &Peer : this->Logic.peers()->all()) {
    auto Report = this->Logic.reports().find(Peer.Id);
    SurveyedPeer Entry{.Peer = Peer, .Report = std::nullopt};
    if (Report != this->Logic.reports().end())
      Entry.Report = Report->second;
    All.push_back(std::move(Entry));
  }
  return All;
}

} // namespace turmericpitch
