#include "tests/failover/PromotionModel.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericpitch {

namespace {

constexpr std::array<const char *, 3> Names{"a", "b", "c"};

std::size_t indexOf(const UpstreamId &Id) {
  return static_cast<std::size_t>(Id.Value[0] - 'a');
}

std::string text(const TermPosition &Entry) {
  return std::to_string(Entry.WrittenIn.Value) + "." +
         std::to_string(Entry.Position.Value);
}

std::string text(const MemberRequest &Request) {
  if (const auto *Fence = std::get_if<FenceRequest>(&Request))
    return "seal " + std::to_string(Fence->NextTerm.Value) + Fence->Attempt;
  if (const auto *Promote = std::get_if<PromoteRequest>(&Request))
    return "promote " + std::to_string(Promote->NextTerm.Value) +
           Promote->Attempt + "@" + text(Promote->ExpectedEntry);
  const auto &Follow = std::get<FollowRequest>(Request);
  return "follow " + std::to_string(Follow.NextTerm.Value) +
         Follow.Primary.Value;
}

std::vector<Term> termsOf(const std::vector<LogEntry> &Log) {
  std::vector<Term> Terms;
  for (const LogEntry &Entry : Log)
    Terms.push_back(Entry.WrittenIn);
  return Terms;
}

std::string text(const std::vector<LogEntry> &Log) {
  std::string Text;
  for (const LogEntry &Entry : Log)
    Text += std::to_string(Entry.WrittenIn.Value) + Entry.Key.Value + ",";
  return Text;
}

std::string text(const MemberStandIn &Member) {
  auto Replication = Member.replicationRequest();
  return text(Member.log()) + "/" + Member.fencedBy() + "/" +
         (Replication ? Replication->Primary.Value : "");
}

bool isPrefix(const std::vector<Term> &Of, const std::vector<Term> &Whole) {
  return Of.size() <= Whole.size() &&
         std::equal(Of.begin(), Of.end(), Whole.begin());
}

Database threeMembers(bool FirstLeaves) {
  Database Target;
  for (const char *Name : Names) {
    DatabaseMember Member;
    Member.Id = UpstreamId{Name};
    Member.Leaving = FirstLeaves && Target.Members.empty();
    Target.Members.push_back(Member);
  }
  return Target;
}

/// Whether the member will always refuse the call, or the call would change
/// nothing.
bool isIneffective(const MemberStandIn &Member, const MemberRequest &Request) {
  Term AcceptedTerm = Member.lastStatus().AcceptedTerm;
  if (const auto *Fence = std::get_if<FenceRequest>(&Request))
    return Fence->NextTerm < AcceptedTerm ||
           (Fence->NextTerm == AcceptedTerm &&
            Fence->Attempt != Member.fencedBy());
  if (const auto *Promote = std::get_if<PromoteRequest>(&Request))
    return Promote->NextTerm < AcceptedTerm;
  const auto &Follow = std::get<FollowRequest>(Request);
  auto Current = Member.replicationRequest();
  return Follow.NextTerm < AcceptedTerm ||
         (Follow.NextTerm == AcceptedTerm && Current &&
          Current->Primary == Follow.Primary);
}

} // namespace

PromotionModel::PromotionModel(ModelOptions Options)
    : Options(std::move(Options)) {}

PromotionModel::State PromotionModel::initialState() const {
  State First;
  for (std::size_t Index = 0; Index < MemberCount; ++Index) {
    MemberOptions Member;
    Member.Id = UpstreamId{Names[Index]};
    MemberStandIn Created(Member);
    Created.bootstrap(UpstreamId{"a"});
    First.MemberAt[Index] = snapshot(std::move(Created));
  }
  First.Primaries[Term{1}] = {};
  First.WritesLeft = this->Options.Writes;
  First.DuplicatesLeft = this->Options.Duplicates;
  for (Term Next : this->Options.Attempts) {
    std::size_t Index = First.Attempts.size();
    bool Shared = this->Options.Broken == BrokenRule::FenceWithoutAttempt;
    std::string Name(1, static_cast<char>(Shared ? 'X' : 'P' + Index));
    Promotion Running(threeMembers(this->Options.FirstPrimaryLeaves), Next,
                      Name);
    std::vector<MemberCall> Calls = Running.begin();
    First.Attempts.push_back(std::make_shared<const AttemptState>(
        AttemptState{.Running = std::move(Running), .ProcessedOutcomes = {}}));
    this->sendCalls(First, Index, Calls);
  }
  if (!this->Options.FirstWriteExecuted)
    return First;
  State Written = *this->afterWrite(First, Term{1}, 0);
  Written.Primaries[Term{1}].Log = termsOf(Written.MemberAt[0]->Member.log());
  return Written;
}

SearchResult PromotionModel::search() {
  this->Frontier.push_back(this->initialState());
  while (!this->Frontier.empty() && this->Result.Violation.empty()) {
    State Next = std::move(this->Frontier.back());
    this->Frontier.pop_back();
    this->visit(Next);
  }
  this->Result.States = this->Visited.size();
  return this->Result;
}

void PromotionModel::visit(const State &From) {
  this->write(From);
  this->replicate(From);
  for (std::size_t Index = 0; Index < From.InFlight.size(); ++Index) {
    const Message &Msg = *From.InFlight[Index];
    this->deliver(From, Index, false, true);
    // The reply to a fencing request may be lost. Losing the reply to another
    // call equals losing the messages that follow from it.
    bool Fence =
        Msg.Attempt && std::holds_alternative<FenceRequest>(Msg.Request);
    if (Fence && this->Options.RepliesMayBeLost)
      this->deliver(From, Index, false, false);
    if (Fence && this->Options.FencingMayFail)
      this->failFencing(From, Msg);
    if (From.DuplicatesLeft > 0)
      this->deliver(From, Index, true, true);
  }
}

void PromotionModel::write(const State &From) {
  if (From.WritesLeft == 0)
    return;
  for (const auto &[WriteTerm, Primary] : From.Primaries)
    if (auto To = this->afterWrite(From, WriteTerm, Primary.Member))
      this->enqueue(From, std::move(*To));
}

std::optional<PromotionModel::State>
PromotionModel::afterWrite(const State &From, Term WriteTerm,
                           std::size_t Member) const {
  State To = From;
  ExecuteRequest Write;
  Write.Statement = "put booking 1";
  Write.Write = true;
  Write.Key = IdempotencyKey{
      this->Options.OneKey ? "k" : "k" + std::to_string(From.WritesLeft)};
  Write.ExpectedTerm = WriteTerm;
  auto Answer = call(To, Member, Write);
  if (!Answer)
    return std::nullopt;
  --To.WritesLeft;
  To.Written.insert(this->unconfirmedWrite(Answer.value(), Member));
  recordStep(To, "write " + Write.Key->Value + " at " + Names[Member] +
                     " under " + std::to_string(WriteTerm.Value));
  return To;
}

void PromotionModel::replicate(const State &From) {
  for (std::size_t Index = 0; Index < MemberCount; ++Index) {
    auto Request = From.MemberAt[Index]->Member.replicationRequest();
    if (!Request)
      continue;
    auto Batch =
        From.MemberAt[indexOf(Request->Primary)]->Member.replicate(*Request);
    if (Batch && this->Options.ShortBatches && !Batch.value().Entries.empty())
      Batch.value().Entries.resize(1);
    bool HasNewEntries = Batch && (!Batch.value().Entries.empty() ||
                                   Batch.value().History != Request->History);
    if (!HasNewEntries)
      continue;
    State To = From;
    if (this->Options.BatchesInFlight == 0) {
      applyBatch(To, Index, Batch.value());
      recordStep(To, std::string("replicate to ") + Names[Index]);
      this->enqueue(From, std::move(To));
      continue;
    }
    auto InFlight = std::count_if(From.InFlight.begin(), From.InFlight.end(),
                                  [&](const SharedMessage &Each) {
                                    return Each->Batch && Each->Target == Index;
                                  });
    if (InFlight >= this->Options.BatchesInFlight)
      continue;
    this->send(To, {.Target = Index, .Batch = Batch.value()});
    recordStep(To, std::string("serve a batch for ") + Names[Index]);
    this->enqueue(From, std::move(To));
  }
}

void PromotionModel::send(State &Next, Message Msg) const {
  if (Msg.Batch)
    Msg.Text = "batch " + std::to_string(Msg.Batch->AcceptedTerm.Value) + "+" +
               std::to_string(Msg.Batch->After.Value) + ":" +
               text(Msg.Batch->Entries);
  else
    Msg.Text = text(Msg.Request);
  Msg.Text += std::string(" to ") + Names[Msg.Target];
  if (Msg.Attempt)
    Msg.Text += " of attempt " + std::to_string(*Msg.Attempt);
  auto Created = std::make_shared<const Message>(std::move(Msg));
  auto Position = std::lower_bound(
      Next.InFlight.begin(), Next.InFlight.end(), Created,
      [](const auto &L, const auto &R) { return L->Text < R->Text; });
  Next.InFlight.insert(Position, Created);
}

void PromotionModel::sendCalls(State &Next, std::size_t Attempt,
                               const std::vector<MemberCall> &Calls) const {
  for (const MemberCall &Call : Calls) {
    Message Msg{.Target = indexOf(Call.Target), .Attempt = Attempt};
    Msg.Request = Call.Request;
    auto *Promote = std::get_if<PromoteRequest>(&Msg.Request);
    if (Promote && this->Options.Broken == BrokenRule::ChooseByPosition)
      Promote->ExpectedEntry = Next.MemberAt[Msg.Target]->Status.LastEntry;
    this->send(Next, std::move(Msg));
  }
}

std::shared_ptr<const PromotionModel::Snapshot>
PromotionModel::snapshot(MemberStandIn Member) {
  MemberStatus Status = Member.lastStatus();
  std::string Text = std::string(toString(Status.Role)) +
                     std::to_string(Status.AcceptedTerm.Value) + "|" +
                     text(Member) + "|";
  for (const TermStart &Start : Status.History.starts())
    Text += std::to_string(Start.NewTerm.Value) + ">" +
            std::to_string(Start.PrecedingPosition.Value) + ";";
  return std::make_shared<const Snapshot>(Snapshot{.Member = std::move(Member),
                                                   .Status = std::move(Status),
                                                   .Text = std::move(Text)});
}

Outcome<MemberAnswer> PromotionModel::call(State &Next, std::size_t Member,
                                           const MemberRequest &Request) {
  return change(Next, Member, [&](MemberStandIn &Copy) {
    return Copy.handle(ConnectionId{}, Request, TimePoint{});
  });
}

void PromotionModel::applyBatch(State &Next, std::size_t Member,
                                const ReplicationBatch &Batch) {
  change(Next, Member, [&](MemberStandIn &Copy) {
    Copy.onReplicated(Batch, TimePoint{});
    return true;
  });
}

void PromotionModel::recordStep(State &Next, std::string Text) {
  Next.Steps = std::make_shared<const Step>(
      Step{.Text = std::move(Text), .Before = Next.Steps});
}

void PromotionModel::failFencing(const State &From, const Message &Msg) {
  AttemptState Attempt = *From.Attempts[*Msg.Attempt];
  std::string Mark = std::string("!") + Names[Msg.Target];
  bool New = Attempt.Running.step() == PromotionStep::Fencing &&
             Attempt.ProcessedOutcomes.insert(Mark).second;
  if (!New)
    return;
  State To = From;
  recordStep(To, Msg.Text + " assumed to have failed");
  Error Failure{.Kind = ErrorKind::Unavailable, .Message = "", .Remedy = ""};
  auto Calls =
      Attempt.Running.onOutcome(UpstreamId{Names[Msg.Target]}, Failure);
  if (Attempt.Running.step() != PromotionStep::Fencing)
    Attempt.ProcessedOutcomes.clear();
  To.Attempts[*Msg.Attempt] =
      std::make_shared<const AttemptState>(std::move(Attempt));
  this->sendCalls(To, *Msg.Attempt, Calls);
  this->enqueue(From, std::move(To));
}

void PromotionModel::deliver(const State &From, std::size_t Index, bool Keep,
                             bool Answered) {
  State To = From;
  SharedMessage Msg = From.InFlight[Index];
  recordStep(To, Msg->Text + (Answered ? "" : ", reply lost") +
                     (Keep ? ", duplicated" : ""));
  if (Keep)
    --To.DuplicatesLeft;
  else
    To.InFlight.erase(To.InFlight.begin() + static_cast<std::ptrdiff_t>(Index));
  if (Msg->Batch)
    applyBatch(To, Msg->Target, *Msg->Batch);
  else
    this->deliverCall(To, *Msg, Answered);
  this->enqueue(From, std::move(To));
}

void PromotionModel::deliverCall(State &Next, const Message &Msg,
                                 bool Answered) const {
  auto Answer = call(Next, Msg.Target, Msg.Request);
  if (!Answer)
    return;
  // The first entry of the new term confirms all entries before it.
  if (Answer.value().Written)
    Next.Written.insert(this->unconfirmedWrite(Answer.value(), Msg.Target));
  if (!Answered)
    return;
  AttemptState Attempt = *Next.Attempts[*Msg.Attempt];
  if (Attempt.Running.step() == PromotionStep::Fencing)
    Attempt.ProcessedOutcomes.insert(Names[Msg.Target] +
                                     text(Answer.value().Status.LastEntry));
  if (this->Options.Broken == BrokenRule::ChooseByPosition)
    Answer.value().Status.LastEntry.WrittenIn = {};
  auto Calls = Attempt.Running.onOutcome(UpstreamId{Names[Msg.Target]}, Answer);
  if (Attempt.Running.step() != PromotionStep::Fencing)
    Attempt.ProcessedOutcomes.clear();
  Next.Attempts[*Msg.Attempt] =
      std::make_shared<const AttemptState>(std::move(Attempt));
  this->sendCalls(Next, *Msg.Attempt, Calls);
}

void PromotionModel::fail(const State &Next, const std::string &Rule) {
  if (!this->Result.Violation.empty())
    return;
  std::vector<std::string> Steps;
  for (const Step *Each = Next.Steps.get(); Each; Each = Each->Before.get())
    Steps.push_back(Each->Text);
  this->Result.Violation = Rule;
  for (auto Each = Steps.rbegin(); Each != Steps.rend(); ++Each)
    this->Result.Violation += "\n" + *Each;
}

void PromotionModel::enqueue(const State &Before, State Next) {
  for (std::size_t Index = 0; Index < MemberCount; ++Index)
    if (Next.MemberAt[Index] != Before.MemberAt[Index])
      this->checkMember(Before, Next, Index);
  this->acknowledge(Next);
  this->checkAcknowledged(Next);
  this->dropIneffective(Next);
  if (this->Visited.insert(stateHash(Next)).second)
    this->Frontier.push_back(std::move(Next));
}

void PromotionModel::checkMember(const State &Before, State &Next,
                                 std::size_t Index) {
  const MemberStandIn &Member = Next.MemberAt[Index]->Member;
  const MemberStatus &Now = Next.MemberAt[Index]->Status;
  if (Now.AcceptedTerm < Before.MemberAt[Index]->Status.AcceptedTerm)
    this->fail(Next, "a member's accepted term decreased");
  if (Now.Role != MemberRole::Primary)
    return;
  auto [Found, New] = Next.Primaries.try_emplace(Now.AcceptedTerm,
                                                 TermPrimary{.Member = Index});
  if (Found->second.Member != Index)
    this->fail(Next, "two primaries in one term");
  if (New)
    ++this->Result.Promoted;
  Found->second.Log = termsOf(Member.log());
  std::set<IdempotencyKey> Keys;
  for (const LogEntry &Entry : Member.log())
    if (!Entry.Key.Value.empty() && !Keys.insert(Entry.Key).second)
      this->fail(Next, "two log entries have the same idempotency key");
}

PromotionModel::Unconfirmed
PromotionModel::unconfirmedWrite(const MemberAnswer &Answer,
                                 std::size_t Member) const {
  ConfirmWrite Wanted = requiredConfirmation(Answer, UpstreamId{Names[Member]},
                                             DatabaseView{}, Duration{0});
  if (this->Options.Broken == BrokenRule::ConfirmOldEntry)
    Wanted.Written = *Answer.Written;
  return {.Entry = Wanted.Written, .WriteTerm = Wanted.WriteTerm};
}

void PromotionModel::acknowledge(State &Next) {
  for (auto Write = Next.Written.begin(); Write != Next.Written.end();) {
    ConfirmWrite Wanted;
    Wanted.Written = Write->Entry;
    Wanted.WriteTerm = Write->WriteTerm;
    std::size_t Writer = Next.Primaries.at(Write->WriteTerm).Member;
    std::optional<std::size_t> Holder;
    for (std::size_t Index = 0; Index < MemberCount; ++Index) {
      MemberStatus Status = Next.MemberAt[Index]->Status;
      if (this->Options.Broken == BrokenRule::ConfirmInAnyTerm)
        Status.AcceptedTerm = Write->WriteTerm;
      if (Index != Writer && confirms(Wanted, Status))
        Holder = Index;
    }
    if (!Holder) {
      ++Write;
      continue;
    }
    std::vector<Term> Prefix = termsOf(Next.MemberAt[*Holder]->Member.log());
    Prefix.resize(Write->Entry.Position.Value);
    Next.Acks.insert({.Entry = Write->Entry,
                      .WriteTerm = Write->WriteTerm,
                      .Prefix = std::move(Prefix)});
    ++this->Result.Acknowledged;
    Write = Next.Written.erase(Write);
  }
}

void PromotionModel::checkAcknowledged(const State &Next) {
  for (const Acknowledged &Each : Next.Acks) {
    for (const auto &[PrimaryTerm, Primary] : Next.Primaries)
      if (PrimaryTerm >= Each.WriteTerm && !isPrefix(Each.Prefix, Primary.Log))
        this->fail(Next, "acknowledged entry " + text(Each.Entry) +
                             " is missing at the primary of term " +
                             std::to_string(PrimaryTerm.Value));
    for (const Acknowledged &Other : Next.Acks)
      if (!isPrefix(Each.Prefix, Other.Prefix) &&
          !isPrefix(Other.Prefix, Each.Prefix))
        this->fail(Next, "two acknowledged prefixes diverge");
  }
}

void PromotionModel::dropIneffective(State &Next) const {
  std::erase_if(Next.InFlight, [&](const SharedMessage &Each) {
    const Snapshot &Target = *Next.MemberAt[Each->Target];
    return Each->Batch ? Each->Batch->AcceptedTerm < Target.Status.AcceptedTerm
                       : isIneffective(Target.Member, Each->Request);
  });
}

std::string PromotionModel::stateHash(const State &S) {
  std::string Text;
  for (const auto &Each : S.MemberAt)
    Text += Each->Text + "\n";
  for (const auto &Attempt : S.Attempts) {
    Text += std::string(toString(Attempt->Running.step())) +
            Attempt->Running.successor().Value;
    for (const std::string &Each : Attempt->ProcessedOutcomes)
      Text += "&" + Each;
    Text += "\n";
  }
  for (const SharedMessage &Each : S.InFlight)
    Text += Each->Text + "\n";
  for (const Unconfirmed &Each : S.Written)
    Text += "?" + text(Each.Entry) + "u" + std::to_string(Each.WriteTerm.Value);
  for (const Acknowledged &Each : S.Acks)
    Text += "!" + text(Each.Entry) + "u" + std::to_string(Each.WriteTerm.Value);
  for (const auto &[PrimaryTerm, Primary] : S.Primaries) {
    Text += "#" + std::to_string(PrimaryTerm.Value) + Names[Primary.Member];
    for (const Term &Each : Primary.Log)
      Text += std::to_string(Each.Value) + ",";
  }
  Text += "w" + std::to_string(S.WritesLeft) + "d" +
          std::to_string(S.DuplicatesLeft);
  XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return {reinterpret_cast<const char *>(&Hash), sizeof(Hash)};
}

} // namespace turmericpitch
