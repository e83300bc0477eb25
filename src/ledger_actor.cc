#include "ledger_actor.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

#include "log.h"

namespace chiverail {
namespace {

using boost::asio::yield_context;

constexpr Duration kTickInterval = milliseconds(20);

HttpRequest UpstreamRequest(const CallRequest& caller_request, const SendCall& action) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/" + PercentEncode(caller_request.operation);
  request.body = caller_request.body;
  request.headers = {{"X-Request", action.request},
                     {"X-Attempt", std::to_string(action.attempt)},
                     {"X-Workspace", caller_request.submission.workspace},
                     {"Idempotency-Key", caller_request.submission.key}};
  if (!caller_request.content_type.empty()) {
    request.headers.emplace_back("Content-Type", caller_request.content_type);
  }
  return request;
}

// The upstream's answer, with the request and attempt that its headers name.
CallEvent AnswerEvent(std::uint64_t number, const HttpResponse& response) {
  CallAnswered answered;
  answered.request = response.Header("X-Request");
  const std::string attempt = response.Header("X-Attempt");
  answered.attempt = static_cast<std::uint32_t>(std::strtoul(attempt.c_str(), nullptr, 10));
  answered.answer = {response.status, response.Header("Content-Type"), response.body};
  return {number, std::move(answered)};
}

}  // namespace

LedgerActor::LedgerActor(caf::actor_config& config, Runtime& runtime)
    : caf::event_based_actor(config), runtime_(runtime) {}

caf::behavior LedgerActor::make_behavior() {
  return {
      [this](const TickMessage&) {
        delayed_send(this, kTickInterval, TickMessage{});
        OnTick();
      },
      [this](const CallRequest& caller_request) { OnCallRequest(caller_request); },
      [this](const CallEvent& event) { OnEvent(event); },
  };
}

void LedgerActor::OnCallRequest(CallRequest caller_request) {
  const CallNumber number = ++runtime_.last_call_number;
  const CallHolder self{runtime_.settings.instance_id, runtime_.generation};
  OpenCall& open = calls_[number];
  open.ledger = std::make_unique<LedgerCall>(self, caller_request.submission);
  open.caller_request = std::move(caller_request);
  open.started = Now();
  Handle(number, open.ledger->Start(open.started));
}

void LedgerActor::OnTick() {
  const TimePoint now = Now();
  std::vector<CallNumber> due;
  for (const auto& [number, open] : calls_) {
    const auto deadline = open.ledger->NextDeadline();
    if (deadline && *deadline <= now) {
      due.push_back(number);
    }
  }
  for (const CallNumber number : due) {
    const auto found = calls_.find(number);
    if (found != calls_.end()) {
      Handle(number, found->second.ledger->Tick(now));
    }
  }
}

void LedgerActor::OnEvent(const CallEvent& event) {
  const auto found = calls_.find(event.number);
  if (found == calls_.end()) {
    return;
  }
  LedgerCall& ledger = *found->second.ledger;
  const TimePoint now = Now();
  struct Visitor {
    LedgerCall& ledger;
    TimePoint now;
    LedgerActions operator()(const CallRowRead& read) const {
      return ledger.OnRead(read.op, read.result, now);
    }
    LedgerActions operator()(const CallRowsWritten& written) const {
      return ledger.OnWrite(written.op, written.result, now);
    }
    LedgerActions operator()(const CallObjectPut& put) const {
      return ledger.OnObjectPut(put.op, put.status, now);
    }
    LedgerActions operator()(const CallObjectRead& read) const {
      return ledger.OnObjectRead(read.op, read.status, read.body, now);
    }
    LedgerActions operator()(const CallNotSent&) const { return ledger.OnNotSent(now); }
    LedgerActions operator()(const CallConnectionLost&) const {
      return ledger.OnConnectionLost(now);
    }
    LedgerActions operator()(const CallAnswered& answered) const {
      return ledger.OnAnswer(answered.request, answered.attempt, answered.answer, now);
    }
    LedgerActions operator()(const CallerDisconnected&) const {
      return ledger.OnCallerDisconnected(now);
    }
  };
  Handle(event.number, std::visit(Visitor{ledger, now}, event.what));
}

// Executes actions in order. Removes the call once its row is settled and its caller has a reply.
void LedgerActor::Handle(CallNumber number, const LedgerActions& actions) {
  for (const LedgerAction& action : actions) {
    std::visit([this, number](const auto& typed) { Do(number, typed); }, action);
  }
  const auto found = calls_.find(number);
  if (found != calls_.end() && found->second.ledger->finished()) {
    calls_.erase(found);
  }
}

void LedgerActor::Do(CallNumber number, const ReadRow& action) {
  runtime_.metrics.Add(Counter::kTableReads);
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_, number, action](yield_context yield) {
        CallRowRead read{action.op, runtime.platform.ReadRow(action.key, yield)};
        runtime.CountTableResult(read.result.status);
        runtime.actors.Send(Component::kLedger, CallEvent{number, std::move(read)});
      },
      boost::asio::detached);
}

void LedgerActor::Do(CallNumber number, const WriteRows& action) {
  runtime_.metrics.Add(Counter::kTableWrites);
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_, number, action](yield_context yield) {
        CallRowsWritten written{action.op, runtime.platform.Write(action.transaction, yield)};
        runtime.CountTableResult(written.result.status);
        runtime.actors.Send(Component::kLedger, CallEvent{number, std::move(written)});
      },
      boost::asio::detached);
}

void LedgerActor::Do(CallNumber number, const PutCallObject& action) {
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_, number, action](yield_context yield) {
        const bool stored = runtime.platform.PutObject(action.name, action.body, yield);
        const TableStatus status = stored ? TableStatus::kOk : TableStatus::kUnknown;
        runtime.actors.Send(Component::kLedger,
                            CallEvent{number, CallObjectPut{action.op, status}});
      },
      boost::asio::detached);
}

void LedgerActor::Do(CallNumber number, const GetCallObject& action) {
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_, number, action](yield_context yield) {
        const auto body = runtime.platform.GetObject(action.name, yield);
        CallObjectRead read{action.op, body ? TableStatus::kOk : TableStatus::kUnavailable,
                            body.value_or("")};
        runtime.actors.Send(Component::kLedger, CallEvent{number, std::move(read)});
      },
      boost::asio::detached);
}

void LedgerActor::Do(CallNumber number, const QueryHolderState& action) {
  const auto found = calls_.find(number);
  if (found != calls_.end()) {
    const HolderState state = FindHolderState(number, action.holder);
    Handle(number, found->second.ledger->OnHolderState(state, Now()));
  }
}

// A holder is gone when the members rows no longer list it under its generation: its lease has
// expired or was released before that. A row with this instance's own identity has lost its holder
// when no other call in memory has that row.
HolderState LedgerActor::FindHolderState(CallNumber querying, const CallHolder& holder) const {
  if (holder.instance == runtime_.settings.instance_id &&
      holder.generation == runtime_.generation) {
    const std::string& key = calls_.at(querying).ledger->row_key();
    for (const auto& [number, open] : calls_) {
      if (number != querying && open.ledger->row_key() == key) {
        return HolderState::kLive;
      }
    }
    return HolderState::kGone;
  }
  const Member* member = runtime_.shared.view()->FindMember(holder.instance);
  const bool listed = member != nullptr && member->generation == holder.generation;
  return listed ? HolderState::kLive : HolderState::kGone;
}

// Connects first, so that the check against the send window is the last step before the first byte
// is written.
void LedgerActor::Do(CallNumber number, const SendCall& action) {
  const OpenCall& open = calls_.at(number);
  boost::asio::spawn(
      runtime_.io,
      [&runtime = runtime_, number, action, caller_request = open.caller_request,
       connection = open.connection](yield_context yield) {
        CallEvent event{number, CallNotSent{}};
        try {
          connection->call = runtime.upstream_http.Prepare(caller_request.address, yield);
          if (!connection->aborted && runtime.Now() < action.send_before) {
            event = AnswerEvent(
                number, connection->call->Send(caller_request.address,
                                               UpstreamRequest(caller_request, action), yield));
          }
        } catch (const HttpError& error) {
          if (error.bytes_written()) {
            event.what = CallConnectionLost{};
          }
        }
        connection->call.reset();
        runtime.actors.Send(Component::kLedger, std::move(event));
      },
      boost::asio::detached);
}

void LedgerActor::Do(CallNumber number, const AbortCall&) {
  boost::asio::post(runtime_.io, [connection = calls_.at(number).connection] {
    connection->aborted = true;
    if (connection->call) {
      connection->call->Close();
    }
  });
}

void LedgerActor::Do(CallNumber number, const AnswerCaller& action) {
  runtime_.metrics.Add(Counter::kCalls, 1, action.stored ? "repeated" : "answered");
  SendReply(number, CallResult{action.answer, action.stored});
}

void LedgerActor::Do(CallNumber number, const RefuseCaller& action) {
  if (action.error.code == ErrorCode::kInDoubt) {
    runtime_.metrics.Add(Counter::kCallsInDoubt);
    const OpenCall& open = calls_.at(number);
    ComponentLogger("ledger")->warn("Call {} is in doubt: {}.", open.ledger->row_key(),
                                    action.error.message);
  }
  runtime_.metrics.Add(Counter::kCalls, 1, std::string(NameOf(kErrorCodeNames, action.error.code)));
  SendReply(number, action.error);
}

void LedgerActor::SendReply(CallNumber number, CallReply reply) {
  OpenCall& open = calls_.at(number);
  if (!open.replied) {
    open.replied = true;
    runtime_.metrics.Observe(Summary::kCallSeconds, Now() - open.started);
    open.caller_request.reply.Send(std::move(reply));
  }
}

}  // namespace chiverail
