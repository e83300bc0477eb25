#ifndef CHIVERAIL_TESTS_LEDGER_SIM_H_
#define CHIVERAIL_TESTS_LEDGER_SIM_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ledger.h"
#include "ledger_settlement.h"
#include "ledger_sim_world.h"

namespace chiverail {

// Simulates a fleet of instances in front of a service, callers that resubmit their calls until
// they have an answer, and operators that settle in-doubt calls. `Call` has the interface of
// LedgerCall.
template <typename Call>
class LedgerSim : private LedgerSimWorld {
 public:
  explicit LedgerSim(std::uint64_t seed) : LedgerSimWorld(seed) {
    for (int key = 0; key < kKeys; ++key) {
      events_.At(At(random_.UpTo(seconds(25))), [this, key] { FirstSubmission(key); });
    }
    events_.After(seconds(2), [this] { SettleInDoubtCalls(); });
  }

  void Run() { events_.RunUntil(At(kEnd)); }

  using LedgerSimWorld::DuplicateRuns;
  using LedgerSimWorld::FalseNotRun;
  using LedgerSimWorld::refusals;
  using LedgerSimWorld::refusals_by_ran;
  using LedgerSimWorld::settlements;
  using LedgerSimWorld::Unanswered;
  using LedgerSimWorld::WrongAnswers;

 private:
  // A call in the memory of an instance.
  struct Active {
    std::unique_ptr<Call> call;
    std::shared_ptr<SimSubmission> submission;
    int instance = 0;
    std::uint64_t generation = 0;
    bool aborted = false;
    TimePoint next_tick = TimePoint::max();
  };
  using ActivePtr = std::shared_ptr<Active>;

  // ---- callers ----

  void FirstSubmission(int key) {
    const bool twice = Chance(40);
    Submit(key, !twice && Chance(50));
    if (twice) {
      events_.After(random_.UpTo(milliseconds(Chance(50) ? 10 : 3000)),
                    [this, key] { Submit(key, false); });
    }
  }

  void Submit(int key, bool first) {
    auto submission = std::make_shared<SimSubmission>();
    submission->key = "k" + std::to_string(key);
    if (answered_.count(submission->key) > 0 || events_.now() > At(kEnd - seconds(20))) {
      return;
    }
    submission->instance = static_cast<int>(random_.Below(kInstances));
    submission->submitted = events_.now();
    if (!IsUp(submission->instance)) {
      events_.After(seconds(1), [this, key, first] { Submit(key, first); });
      return;
    }
    submissions_.push_back(submission);
    submission->request = "r" + std::to_string(submissions_.size());
    CallSubmission call;
    call.workspace = "w";
    call.key = submission->key;
    call.request_hash = "h" + submission->key;
    call.request = submission->request;
    call.upstream = "service";
    call.nonce = submission->request;
    call.deadline = events_.now() + seconds(10);
    call.answer_timeout = seconds(4);
    call.first_submission = first;
    const Instance& instance = instances_[submission->instance];
    const std::string self = "i" + std::to_string(submission->instance);
    auto active = std::make_shared<Active>();
    active->call = std::make_unique<Call>(CallHolder{self, instance.generation}, call);
    active->submission = submission;
    active->instance = submission->instance;
    active->generation = instance.generation;
    Deliver(active, [this](Call& target) { return target.Start(events_.now()); });
    events_.After(kCallerTimeout, [this, active, key] { OnCallerTimeout(active, key); });
  }

  void OnCallerTimeout(const ActivePtr& active, int key) {
    if (!active->submission->replied) {
      Deliver(active, [this](Call& target) { return target.OnCallerDisconnected(events_.now()); });
      Submit(key, false);
    }
  }

  void Reply(const ActivePtr& active) {
    SimSubmission& submission = *active->submission;
    submission.replied = events_.now();
    if (submission.answer) {
      answered_.insert(submission.key);
      return;
    }
    ++refusals_;
    ++refusals_by_ran_[static_cast<std::size_t>(submission.error->ran)];
    const int key = std::stoi(submission.key.substr(1));
    events_.After(milliseconds(100) + random_.UpTo(seconds(4)),
                  [this, key] { Submit(key, false); });
  }

  // ---- instances ----

  // Runs an event on an instance after its pause, unless the instance has crashed since.
  template <typename Event>
  void OnInstance(const ActivePtr& active, Event event) {
    const Instance& instance = instances_[active->instance];
    if (instance.generation != active->generation) {
      return;
    }
    if (instance.paused_until > events_.now()) {
      events_.At(instance.paused_until, [=] { OnInstance(active, event); });
      return;
    }
    event();
  }

  template <typename Input>
  void Deliver(const ActivePtr& active, Input input) {
    OnInstance(active, [=] {
      const LedgerActions actions = input(*active->call);
      for (const LedgerAction& action : actions) {
        Instance& instance = instances_[active->instance];
        if (instance.steps_to_crash > 0 && --instance.steps_to_crash == 0) {
          Crash(active->instance);
        }
        if (instance.generation != active->generation) {
          return;
        }
        if (instance.steps_to_pause > 0 && --instance.steps_to_pause == 0) {
          instance.paused_since = events_.now();
          instance.paused_until = events_.now() + instance.pause;
        }
        std::visit([&](const auto& typed) { Do(active, typed); }, action);
      }
      ScheduleTick(active);
    });
  }

  void ScheduleTick(const ActivePtr& active) {
    const auto next = active->call->NextDeadline();
    if (!next || *next >= active->next_tick) {
      return;
    }
    active->next_tick = *next;
    events_.At(*next, [this, active] {
      active->next_tick = TimePoint::max();
      Deliver(active, [this](Call& target) { return target.Tick(events_.now()); });
    });
  }

  // ---- actions of a call ----

  using LedgerSimWorld::Do;
  template <typename Action>
  void Do(const ActivePtr& active, const Action& action) {
    Do(action, [this, active](auto input) { Deliver(active, input); });
  }
  void Do(const ActivePtr& active, const GetCallObject& get) {
    Store(
        [=] {
          const std::string* found = objects_.Get(get.name);
          return found ? std::optional<std::string>(*found) : std::nullopt;
        },
        [=](const std::optional<std::string>& body) {
          const auto status = body ? TableStatus::kOk : TableStatus::kUnavailable;
          Deliver(active, [=](Call& target) {
            return target.OnObjectRead(get.op, status, body.value_or(""), events_.now());
          });
        });
  }
  void Do(const ActivePtr& active, const AnswerCaller& answer) {
    active->submission->answer = answer.answer;
    Reply(active);
  }
  void Do(const ActivePtr& active, const RefuseCaller& refusal) {
    active->submission->error = refusal.error;
    Reply(active);
  }
  // A reset does not recall bytes that are already in the network.
  void Do(const ActivePtr& active, const AbortCall&) { active->aborted = true; }

  // ---- service ----

  void Do(const ActivePtr& active, const SendCall& send) {
    active->aborted = false;
    const Duration connect = random_.UpTo(milliseconds(Chance(10) ? 2500 : 5));
    const bool refused = IsActive(CallFault::kRefusedService);
    events_.After(connect, [=] {
      OnInstance(active, [=] {
        if (refused || active->aborted || events_.now() >= send.send_before) {
          Deliver(active, [this](Call& target) { return target.OnNotSent(events_.now()); });
          return;
        }
        Transmit(active, send);
      });
    });
  }

  void Transmit(const ActivePtr& active, const SendCall& send) {
    const TimePoint sent = events_.now();
    const std::string key = active->submission->key;
    const bool broken = IsActive(CallFault::kBrokenService) && Chance(60);
    const bool lost = broken && Chance(50);
    const bool late = (IsActive(CallFault::kSilentService) || broken) && Chance(50);
    ++in_flight_[key];
    events_.After(random_.UpTo(late ? seconds(9) : milliseconds(5)), [=] {
      --in_flight_[key];
      if (lost) {
        return;
      }
      runs_[key].push_back({send.request, sent});
      Answer(active, send);
    });
    if (broken) {
      events_.After(random_.UpTo(milliseconds(300)), [=] {
        DeliverFromService(active,
                           [this](Call& target) { return target.OnConnectionLost(events_.now()); });
      });
    }
  }

  void Answer(const ActivePtr& active, const SendCall& send) {
    if (IsActive(CallFault::kSilentService) && Chance(60)) {
      return;
    }
    const bool crossed = IsActive(CallFault::kCrossedAnswers) && Chance(60);
    const RequestId request = crossed ? "r0" : send.request;
    const CallAnswer answer{200, "text/plain",
                            crossed ? "crossed" : ExpectedAnswer(active->submission->key)};
    const Duration work = Chance(5) ? seconds(3) + random_.UpTo(seconds(3)) : milliseconds(60);
    events_.After(random_.UpTo(work), [=] {
      DeliverFromService(active, [=](Call& target) {
        return target.OnAnswer(request, send.attempt, answer, events_.now());
      });
    });
  }

  template <typename Input>
  void DeliverFromService(const ActivePtr& active, Input input) {
    if (!active->aborted) {
      Deliver(active, input);
    }
  }

  // ---- operators ----

  // Settles the calls in doubt by the service's record of runs at that moment. Skips a call that
  // may still reach the service.
  void SettleInDoubtCalls() {
    for (const auto& [row_key, row] : table_.rows()) {
      const CallRow call = ParseCallRow(row.value);
      const std::string key = row_key.substr(row_key.rfind('/') + 1);
      const bool sent = call.state == CallState::kSent && Chance(20);
      if (sent || (call.state == CallState::kInDoubt && in_flight_[key] == 0)) {
        const int operators = Chance(30) ? 2 : 1;
        for (int i = 0; i < operators; ++i) {
          Settle(row_key, key, call.nonce);
        }
      }
    }
    if (events_.now() < At(kEnd)) {
      events_.After(seconds(1) + random_.UpTo(seconds(4)), [this] { SettleInDoubtCalls(); });
    }
  }

  void Settle(const std::string& row_key, const std::string& key, const std::string& nonce) {
    CallResolution resolution{"operator", nonce, std::nullopt};
    if (!runs_[key].empty()) {
      resolution.answer = CallAnswer{200, "text/plain", ExpectedAnswer(key)};
    }
    auto settlement =
        std::make_shared<CallSettlement>(row_key, resolution, events_.now() + seconds(20));
    Execute(settlement, settlement->Start(events_.now()));
  }

  void Execute(const std::shared_ptr<CallSettlement>& settlement, const LedgerActions& actions) {
    const auto callback = [this, settlement](auto input) {
      Execute(settlement, input(*settlement));
    };
    for (const LedgerAction& action : actions) {
      if (const auto* read = std::get_if<ReadRow>(&action)) {
        Do(*read, callback);
      } else if (const auto* write = std::get_if<WriteRows>(&action)) {
        Do(*write, callback);
      } else if (const auto* put = std::get_if<PutCallObject>(&action)) {
        Do(*put, callback);
      } else if (const auto* check = std::get_if<QueryHolderState>(&action)) {
        Do(*check, callback);
      }
    }
    if (const auto next = settlement->NextDeadline()) {
      events_.At(*next, [=] {
        if (settlement->NextDeadline() == next) {
          Execute(settlement, settlement->Tick(events_.now()));
        }
      });
    } else if (settlement->result() == SettlementResult::kSettled) {
      ++settlements_;
    }
  }
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_LEDGER_SIM_H_
