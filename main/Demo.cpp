#include "main/Demo.h"

#include "drivers/BlockingClient.h"
#include "drivers/Json.h"
#include "tools/EmbeddedFleet.h"

#include <thread>

namespace turmericpitch {

namespace {

constexpr unsigned HttpOk = 200;
constexpr Duration StepLimit = std::chrono::seconds(20);
constexpr Duration PollStep = std::chrono::milliseconds(5);
constexpr MemberPlace FirstPrimary{.Database = 0, .Member = 0};

/// What a statement answered, as the demo looks at it.
struct DemoAnswer {
  unsigned Status = 0;
  std::string FirstRow;
  std::string Token;
  std::string ServedBy;
  std::string Body;
};

FleetOptions demoFleet(std::uint16_t BasePort) {
  FleetOptions Options;
  Options.BasePort = BasePort;
  return Options;
}

std::string milliseconds(Duration Length) {
  auto Whole =
      std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
  return std::to_string(Whole) + " ms";
}

/// Plays the demo's steps on an embedded fleet.
class DemoPlayer {
public:
  DemoPlayer(std::uint16_t BasePort, std::ostream &Print)
      : Fleet(demoFleet(BasePort)), Print(Print) {}

  bool play();

private:
  bool playStart();
  bool playBooking();
  bool playRoamingRead();
  bool playPrimaryLoss();
  bool playTicket();
  DemoAnswer statement(std::size_t Instance, const std::string &Statement,
                       bool Write, const std::string &SessionToken);
  bool step(bool Succeeded, const std::string &Text);

  EmbeddedFleet Fleet;
  std::ostream &Print;
  std::string Token;
  MonotonicClock Time;
};

bool DemoPlayer::step(bool Succeeded, const std::string &Text) {
  this->Print << (Succeeded ? "ok    " : "FAILED ") << Text << std::endl;
  return Succeeded;
}

DemoAnswer DemoPlayer::statement(std::size_t Instance,
                                 const std::string &Statement, bool Write,
                                 const std::string &SessionToken) {
  boost::json::object Json;
  Json["statement"] = Statement;
  Json["write"] = Write;
  Json["session_token"] = SessionToken;
  HttpRequest Request;
  Request.Target = "/v1/services/order-desk/databases/bookings-1/statements";
  Request.Host = this->Fleet.options().BrandHost;
  Request.Authorization =
      std::string("Bearer ") + EmbeddedFleet::CallerCredential;
  Request.Body = boost::json::serialize(Json);
  auto Reply = callAndWait(this->Fleet.callersOf(Instance), std::move(Request));
  DemoAnswer Answer;
  if (!Reply)
    return Answer;
  Answer.Status = Reply.value().Status;
  Answer.Body = Reply.value().Body;
  auto Parsed = toOutcome([&] { return parseJsonObject(Answer.Body); });
  if (!Parsed)
    return Answer;
  JsonReader Reader(Parsed.value());
  Answer.Token = Reader.text("session_token", "");
  Answer.ServedBy = Reader.text("served_by", "");
  auto Rows = Reader.texts("rows");
  Answer.FirstRow = Rows.empty() ? "" : Rows.front();
  return Answer;
}

bool DemoPlayer::playStart() {
  Status Started = this->Fleet.start();
  if (!Started)
    return this->step(false, Started.error().Message +
                                 "; remedy: " + Started.error().Remedy);
  this->step(true, "platform, 3 members and 2 instances run");
  bool InForce = this->Fleet.submitTicket(1).hasValue() &&
                 this->Fleet.awaitTicket(1, StepLimit);
  return this->step(InForce, "ticket 1 in force at both instances");
}

bool DemoPlayer::playBooking() {
  TimePoint Before = this->Time.now();
  DemoAnswer Booked = this->statement(0, "put job-17 six end mills", true, "");
  Duration Took = this->Time.now() - Before;
  this->Token = Booked.Token;
  bool Ran = Booked.Status == HttpOk;
  return this->step(Ran, "booking written at entry-1 in " + milliseconds(Took) +
                             (Ran ? "" : Booked.Body));
}

bool DemoPlayer::playRoamingRead() {
  DemoAnswer Read = this->statement(1, "get job-17", false, this->Token);
  return this->step(Read.FirstRow == "six end mills",
                    "the session reads its booking at entry-2, served by a " +
                        Read.ServedBy);
}

bool DemoPlayer::playPrimaryLoss() {
  std::size_t Primary = this->Fleet.primaryOf(0).value_or(0);
  this->Fleet.crashMember({.Database = 0, .Member = Primary});
  TimePoint Lost = this->Time.now();
  DemoAnswer Written;
  while (Written.Status != HttpOk && this->Time.now() < Lost + StepLimit)
    Written = this->statement(0, "put job-18 one hob", true, this->Token);
  Duration Gap = this->Time.now() - Lost;
  bool Ran = Written.Status == HttpOk;
  bool Promoted =
      this->step(Ran, "primary lost; next booking accepted after " +
                          milliseconds(Gap) + (Ran ? "" : Written.Body));
  DemoAnswer Read = this->statement(1, "get job-17", false, Written.Token);
  return this->step(Read.FirstRow == "six end mills",
                    "the earlier booking is still there") &&
         Promoted;
}

bool DemoPlayer::playTicket() {
  TimePoint Before = this->Time.now();
  bool InForce = this->Fleet.submitTicket(2, {FirstPrimary}).hasValue() &&
                 this->Fleet.awaitTicket(2, StepLimit);
  if (!this->step(InForce, "ticket 2 in force at both instances after " +
                               milliseconds(this->Time.now() - Before)))
    return false;
  auto Left = [this] {
    return this->Fleet.primaryOf(0).value_or(FirstPrimary.Member) !=
           FirstPrimary.Member;
  };
  while (!Left() && this->Time.now() < Before + StepLimit)
    std::this_thread::sleep_for(PollStep);
  return this->step(Left(), "the primary that it marks as leaving has handed "
                            "over after " +
                                milliseconds(this->Time.now() - Before));
}

bool DemoPlayer::play() {
  if (!this->playStart())
    return false;
  bool Booked = this->playBooking();
  bool Read = this->playRoamingRead();
  bool Changed = this->playTicket();
  bool Survived = this->playPrimaryLoss();
  return Booked && Read && Survived && Changed;
}

} // namespace

bool runDemo(std::uint16_t BasePort, std::ostream &Print) {
  DemoPlayer Player(BasePort, Print);
  return Player.play();
}

} // namespace turmericpitch
