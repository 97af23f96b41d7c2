#include "main/Demo.h"

#include "drivers/BlockingClient.h"
#include "drivers/Json.h"
#include "tools/EmbeddedFleet.h"

#include <thread>

namespace turmericpitch {

namespace {

constexpr unsigned HttpOk = 200;
constexpr Duration StepTimeout = std::chrono::seconds(20);
constexpr Duration PollInterval = std::chrono::milliseconds(5);
constexpr MemberLocation FirstPrimary{.Database = 0, .Member = 0};

/// The parts of a statement's reply that the demo checks.
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
  auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
  return std::to_string(Count) + " ms";
}

/// Runs the demo's steps on an embedded fleet.
class DemoRunner {
public:
  DemoRunner(std::uint16_t BasePort, std::ostream &Output)
      : Fleet(demoFleet(BasePort)), Output(Output) {}

  bool runAll();

private:
  bool runStart();
  bool runWrite();
  bool runReadAtOtherInstance();
  bool runPrimaryLoss();
  bool runTicket();
  DemoAnswer statement(std::size_t Instance, const std::string &Statement,
                       bool Write, const std::string &SessionToken);
  bool step(bool Succeeded, const std::string &Text);

  EmbeddedFleet Fleet;
  std::ostream &Output;
  std::string Token;
  MonotonicClock Time;
};

bool DemoRunner::step(bool Succeeded, const std::string &Text) {
  this->Output << (Succeeded ? "ok    " : "FAILED ") << Text << std::endl;
  return Succeeded;
}

DemoAnswer DemoRunner::statement(std::size_t Instance,
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
  auto Reply =
      callAndWait(this->Fleet.callerEndpoint(Instance), std::move(Request));
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

bool DemoRunner::runStart() {
  Status Started = this->Fleet.start();
  if (!Started)
    return this->step(false, Started.error().Message +
                                 "; remedy: " + Started.error().Remedy);
  this->step(true, "platform, 3 members and 2 instances are running");
  bool Active = this->Fleet.submitTicket(1).hasValue() &&
                this->Fleet.waitForTicket(1, StepTimeout);
  return this->step(Active, "ticket 1 active at both instances");
}

bool DemoRunner::runWrite() {
  TimePoint StartedAt = this->Time.now();
  DemoAnswer Booked = this->statement(0, "put job-17 six end mills", true, "");
  Duration Elapsed = this->Time.now() - StartedAt;
  this->Token = Booked.Token;
  bool Succeeded = Booked.Status == HttpOk;
  return this->step(Succeeded, "booking written through entry-1 in " +
                                   milliseconds(Elapsed) +
                                   (Succeeded ? "" : Booked.Body));
}

bool DemoRunner::runReadAtOtherInstance() {
  DemoAnswer Read = this->statement(1, "get job-17", false, this->Token);
  return this->step(
      Read.FirstRow == "six end mills",
      "the session reads its booking through entry-2, served by a " +
          Read.ServedBy);
}

bool DemoRunner::runPrimaryLoss() {
  std::size_t Primary = this->Fleet.primaryOf(0).value_or(0);
  this->Fleet.crashMember({.Database = 0, .Member = Primary});
  TimePoint LostAt = this->Time.now();
  DemoAnswer Written;
  while (Written.Status != HttpOk && this->Time.now() < LostAt + StepTimeout)
    Written = this->statement(0, "put job-18 one hob", true, this->Token);
  Duration Outage = this->Time.now() - LostAt;
  bool Succeeded = Written.Status == HttpOk;
  bool Promoted = this->step(
      Succeeded, "primary lost; next write succeeded after " +
                     milliseconds(Outage) + (Succeeded ? "" : Written.Body));
  DemoAnswer Read = this->statement(1, "get job-17", false, Written.Token);
  return this->step(Read.FirstRow == "six end mills",
                    "the earlier booking is still readable") &&
         Promoted;
}

bool DemoRunner::runTicket() {
  TimePoint StartedAt = this->Time.now();
  bool Active = this->Fleet.submitTicket(2, {FirstPrimary}).hasValue() &&
                this->Fleet.waitForTicket(2, StepTimeout);
  if (!this->step(Active, "ticket 2 active at both instances after " +
                              milliseconds(this->Time.now() - StartedAt)))
    return false;
  auto HandedOver = [this] {
    return this->Fleet.primaryOf(0).value_or(FirstPrimary.Member) !=
           FirstPrimary.Member;
  };
  while (!HandedOver() && this->Time.now() < StartedAt + StepTimeout)
    std::this_thread::sleep_for(PollInterval);
  return this->step(HandedOver(),
                    "the primary marked as leaving has handed over after " +
                        milliseconds(this->Time.now() - StartedAt));
}

bool DemoRunner::runAll() {
  if (!this->runStart())
    return false;
  bool Booked = this->runWrite();
  bool Read = this->runReadAtOtherInstance();
  bool Changed = this->runTicket();
  bool Survived = this->runPrimaryLoss();
  return Booked && Read && Survived && Changed;
}

} // namespace

bool runDemo(std::uint16_t BasePort, std::ostream &Output) {
  DemoRunner Runner(BasePort, Output);
  return Runner.runAll();
}

} // namespace turmericpitch
