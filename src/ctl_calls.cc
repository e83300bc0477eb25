#include "ctl_calls.h"

#include <ctime>
#include <deque>
#include <iterator>
#include <set>

#include "ctl_platform.h"
#include "json_fields.h"
#include "ledger_settlement.h"

namespace chiverail {
namespace {

using nlohmann::json;

// Longer than the time for which a row in state sent is polled before it is marked in doubt when
// its holder is no longer a member.
constexpr Duration kSettleDeadline = seconds(15);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// Returns the ids and generations of all members.
std::set<std::pair<InstanceId, std::uint64_t>> ReadMemberGenerations(const CtlContext& context) {
  std::set<std::pair<InstanceId, std::uint64_t>> members;
  for (const Member& member : ReadMembers(context)) {
    members.emplace(member.id, member.generation);
  }
  return members;
}

// Answer returned to repeats of a call that the operator settles as ran.
CallAnswer SettledAnswer(const CtlContext& context) {
  if (!context.options.answer_file.empty()) {
    return {200, "application/json", ReadFile(context.options.answer_file)};
  }
  return {200, "application/json",
          json{{"settled", "ran"}, {"settled_by", context.Author()}}.dump()};
}

CallResolution ResolutionOf(const CtlContext& context) {
  CallResolution resolution;
  resolution.operator_name = context.Author();
  if (context.options.settle_as == "ran") {
    resolution.answer = SettledAnswer(context);
  } else if (context.options.settle_as != "not-run") {
    throw CtlError(ExitCode::kUsage, "calls settle requires --as ran or --as not-run");
  }
  return resolution;
}

// Executes the actions of one settlement.
class SettlementRun {
 public:
  SettlementRun(const CtlContext& context, const std::string& key)
      : context_(context),
        platform_(context.Platform()),
        settlement_("call/" + key, ResolutionOf(context), Now() + kSettleDeadline) {}

  SettlementResult Run() {
    Append(settlement_.Start(Now()));
    while (settlement_.result() == SettlementResult::kPending) {
      if (pending_.empty()) {
        const auto wake = settlement_.NextDeadline();
        context_.Sleep(wake ? *wake - Now() : Duration::zero());
        Append(settlement_.Tick(Now()));
        continue;
      }
      const LedgerAction action = std::move(pending_.front());
      pending_.pop_front();
      std::visit([this](const auto& step) { Execute(step); }, action);
    }
    return settlement_.result();
  }

  const CallRow& row() const { return settlement_.row(); }

 private:
  void Append(LedgerActions actions) {
    std::move(actions.begin(), actions.end(), std::back_inserter(pending_));
  }

  void Execute(const ReadRow& read) {
    const TableReadResult result = platform_.ReadRow(read.key, context_.yield);
    Append(settlement_.OnRead(read.op, result, Now()));
  }

  void Execute(const WriteRows& write) {
    const TableWriteResult result = platform_.Write(write.transaction, context_.yield);
    Append(settlement_.OnWrite(write.op, result, Now()));
  }

  void Execute(const PutCallObject& put) {
    const bool stored = platform_.PutObject(put.name, put.body, context_.yield);
    Append(settlement_.OnObjectPut(put.op, stored ? TableStatus::kOk : TableStatus::kUnavailable,
                                   Now()));
  }

  void Execute(const QueryHolderState& query) {
    const auto members = ReadMemberGenerations(context_);
    const bool live = members.count({query.holder.instance, query.holder.generation}) > 0;
    Append(settlement_.OnHolderState(live ? HolderState::kLive : HolderState::kGone, Now()));
  }

  // A settlement produces no other actions.
  template <typename Other>
  void Execute(const Other&) {}

  const CtlContext& context_;
  PlatformClient platform_;
  CallSettlement settlement_;
  std::deque<LedgerAction> pending_;
};

// Throws unless the call has been settled.
void CheckSettled(SettlementResult result, const CallRow& row, const std::string& key) {
  switch (result) {
    case SettlementResult::kSettled:
      return;
    case SettlementResult::kMarkedInDoubt:
      throw CtlError(ExitCode::kConflict,
                     "the call has only now been marked as in doubt; check the upstream, then "
                     "settle it again");
    case SettlementResult::kNotFound:
      throw CtlError(ExitCode::kFailed, "no such call: " + key);
    case SettlementResult::kNotInDoubt:
      throw CtlError(ExitCode::kConflict, "the call is not in doubt; its state is " +
                                              std::string(NameOf(kCallStateNames, row.state)));
    case SettlementResult::kStillHeld:
      throw CtlError(ExitCode::kConflict,
                     "instance " + row.holder.instance + " is still processing the call");
    case SettlementResult::kUnknown:
      throw CtlError(ExitCode::kOutcomeUnknown, "the outcome is unknown; list the calls again");
    case SettlementResult::kUnavailable:
    case SettlementResult::kPending:
      break;
  }
  throw CtlError(ExitCode::kStoreUnavailable, "the store is unavailable; nothing was settled");
}

}  // namespace

// Lists calls in doubt and calls whose holder is no longer a member. The row of the latter changes
// to in_doubt only when the caller repeats the call or an operator settles it.
void ShowCalls(const CtlContext& context, const std::vector<std::string>&) {
  const auto members = ReadMemberGenerations(context);
  std::vector<std::vector<std::string>> rows = {
      {"call", "state", "upstream", "request", "attempt", "holder"}};
  json list = json::array();
  for (const auto& [key, call] : ReadCalls(context)) {
    const bool holder_gone = call.state == CallState::kSent &&
                             members.count({call.holder.instance, call.holder.generation}) == 0;
    if (call.state != CallState::kInDoubt && !holder_gone) {
      continue;
    }
    const std::string state = holder_gone ? "sent, holder no longer a member" : "in doubt";
    rows.push_back({key, state, call.upstream, call.request, std::to_string(call.attempt),
                    call.holder.instance});
    list.push_back({{"call", key},
                    {"state", NameOf(kCallStateNames, call.state)},
                    {"upstream", call.upstream},
                    {"request", call.request},
                    {"attempt", call.attempt},
                    {"holder", call.holder.instance},
                    {"holder_gone", holder_gone}});
  }
  const std::string text = list.empty() ? "no calls in doubt\n" : FormatColumns(rows);
  context.Print(text, {{"calls", std::move(list)}});
}

void SettleCall(const CtlContext& context, const std::vector<std::string>& arguments) {
  const std::string& key = arguments[0];
  if (key.find('/') == std::string::npos) {
    throw CtlError(ExitCode::kUsage, "the call must be given as WORKSPACE/KEY");
  }
  SettlementRun run(context, key);
  const SettlementResult result = run.Run();
  CheckSettled(result, run.row(), key);
  context.Print("call " + key + " settled as " + context.options.settle_as + "\n",
                {{"call", key}, {"settled", context.options.settle_as}});
}

void ShowAudit(const CtlContext& context, const std::vector<std::string>&) {
  std::vector<std::vector<std::string>> rows = {
      {"revision", "from", "time", "author", "subject", "outcome", "change"}};
  json list = json::array();
  for (const AuditRow& entry : ReadAudit(context, context.options.since)) {
    if (!context.options.author.empty() && entry.author != context.options.author) {
      continue;
    }
    rows.push_back({std::to_string(entry.to), std::to_string(entry.from),
                    FormatTime(entry.at_unix_ms), entry.author, entry.subject, entry.outcome,
                    entry.change});
    list.push_back(AuditToJson(entry));
  }
  context.Print(FormatColumns(rows), {{"audit", std::move(list)}});
}

json AuditToJson(const AuditRow& entry) {
  return {{"revision", entry.to},
          {"from", entry.from},
          {"at_unix_ms", entry.at_unix_ms},
          {"author", entry.author},
          {"subject", entry.subject},
          {"change", entry.change},
          {"manifest", entry.manifest_hash},
          {"outcome", entry.outcome}};
}

std::string FormatTime(std::uint64_t unix_ms) {
  const auto seconds_since_1970 = static_cast<std::time_t>(unix_ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds_since_1970, &parts);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%SZ", &parts);
  return text;
}

}  // namespace chiverail
