#ifndef CHIVERAIL_LEDGER_ACTOR_H_
#define CHIVERAIL_LEDGER_ACTOR_H_

#include <map>
#include <memory>
#include <string>

#include <caf/event_based_actor.hpp>

#include "actor_messages.h"
#include "http_client.h"
#include "ledger.h"
#include "runtime.h"

namespace chiverail {

// Executes non-idempotent calls: runs a LedgerCall for each submission and performs its table and
// object operations and its single request to the upstream.
class LedgerActor : public caf::event_based_actor {
 public:
  LedgerActor(caf::actor_config& config, Runtime& runtime);

 protected:
  caf::behavior make_behavior() override;

 private:
  using CallNumber = std::uint64_t;

  // Connection of a call to its upstream. Used on the I/O thread only.
  struct UpstreamConnection {
    std::shared_ptr<HttpCall> call;
    bool aborted = false;
  };
  struct OpenCall {
    std::unique_ptr<LedgerCall> ledger;
    CallRequest caller_request;
    TimePoint started{};
    bool replied = false;
    std::shared_ptr<UpstreamConnection> connection = std::make_shared<UpstreamConnection>();
  };

  TimePoint Now() { return clock().now(); }
  void OnCallRequest(CallRequest caller_request);
  void OnEvent(const CallEvent& event);
  void OnTick();
  void Handle(CallNumber number, const LedgerActions& actions);
  void Do(CallNumber number, const ReadRow& action);
  void Do(CallNumber number, const WriteRows& action);
  void Do(CallNumber number, const PutCallObject& action);
  void Do(CallNumber number, const GetCallObject& action);
  void Do(CallNumber number, const QueryHolderState& action);
  void Do(CallNumber number, const SendCall& action);
  void Do(CallNumber number, const AbortCall& action);
  void Do(CallNumber number, const AnswerCaller& action);
  void Do(CallNumber number, const RefuseCaller& action);
  void SendReply(CallNumber number, CallReply reply);
  HolderState FindHolderState(CallNumber querying, const CallHolder& holder) const;

  Runtime& runtime_;
  std::map<CallNumber, OpenCall> calls_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_LEDGER_ACTOR_H_
