#ifndef CHIVERAIL_RELAY_CALL_H_
#define CHIVERAIL_RELAY_CALL_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "caller_connection.h"
#include "event_splitter.h"
#include "relay.h"
#include "retry_rules.h"
#include "upstream_request.h"

namespace chiverail {

// A second attempt of a request, made while the first one is silent.
struct HedgeAttempt {
  std::shared_ptr<UpstreamConnection> connection;
  UpstreamId upstream;
  std::string version;
  bool cold = false;  // the upstream was, when the request was sent
  TimePoint sent_at{};
};

// State machine of one caller's request: it is checked, placed, sent to one or several upstreams in
// turn, and answered. Kept alive by the callbacks of its connections and its timer.
class RelayCall : public std::enable_shared_from_this<RelayCall> {
 public:
  RelayCall(Relay& relay, std::shared_ptr<CallerConnection> caller, CallerRequest request);

  // Checks the request and places it at an upstream.
  void Start();

  // Called after the request was removed from its service's queue: a slot may be free, or the
  // request has reached its maximum queue time.
  void OnSlotFree();
  void OnQueueTimeout();

  // Called when the configuration is known, for which this request was held.
  void OnConfigured();

  // Records how long this request has taken so far.
  void RecordTime(TimePoint now) const;

  // Refuses the request if it waits to be placed and this instance stops too soon for it.
  void RefuseIfStopping(TimePoint now);

  // Refuses the request, whose body is still arriving, if this instance stops too soon for it.
  // Returns whether it has.
  bool RefuseEarly();

  // Goes on reading an answer that was paused because its caller is slow.
  void ReadOn();

  // Ends the request because this instance ends.
  void EndAtStop();

 private:
  // Maximum idle time of a connection that is reused for work that may be repeated.
  static constexpr Duration kMaxIdleIdempotent = seconds(10);

  // Retry-After value if this instance can't serve the request but others may.
  static constexpr Duration kRetryElsewhere = milliseconds(50);

  enum class Phase : std::uint8_t { kPlacing, kAwaitingHead, kBuffering, kRelaying, kDone };

  bool Check(TimePoint now);
  bool CheckKey(TimePoint now);
  void ReadDeadline();
  // Time for which the caller says that it waits, from the arrival of the request.
  std::optional<Duration> StatedTimeLeft() const;
  // Holds the request if it arrives before the configuration is known. Returns whether it does.
  bool HoldsUntilConfigured(TimePoint now);

  void Place();
  // Query for the choice of this request's next upstream, and that choice.
  ChoiceQuery NextQuery(TimePoint now);
  Choice ChooseNext(const ChoiceQuery& query, TimePoint now);
  // The choice if the service is being moved to another version.
  Choice ChooseByVersion(ChoiceQuery query, const ChoiceLimits& limits, TimePoint now);
  // Records the end of an attempt for the roll-out of its service.
  void RecordForRollout(bool failed, bool broken, TimePoint now);
  // Whether the request would be sent to another upstream at once if the current attempt ended now.
  bool CanBeSentElsewhere(AttemptFailure failure, TimePoint now);
  // Whether the current attempt should go on although its time is over: its upstream does work on
  // the request, or another one has too little time left or may lose what the caller has received.
  bool KeepsSilentAttempt(TimePoint now) const;
  // Refuses the request if its prompt is in quarantine.
  bool PassesQuarantine(TimePoint now);
  // Whether a stop of this instance leaves time for a further attempt.
  bool StopAllows(TimePoint now) const;
  // Refuses the request if this instance stops before its answer would have ended.
  bool PassesStop(TimePoint now);
  void WaitForSlot(ChoiceOutcome outcome, TimePoint now);
  EnqueueResult Enqueue(TimePoint now);
  void Dequeue();
  void Send(UpstreamState& upstream, const std::vector<std::uint32_t>& holders, TimePoint now);
  UpstreamFields FieldsFor(const UpstreamState& upstream, TimePoint now) const;

  // Sets the time at which a second attempt is due, if there may be one.
  void PlanHedge(TimePoint now);
  void StartHedge(TimePoint now);
  void OnHedgeEvent(const UpstreamConnection* connection, ResponseEvent event);
  void AdoptHedge();
  // Gives up the second attempt, if there is one, and that which is planned. `not_run` tells that
  // its upstream has not run the request.
  void EndHedge(HedgeOutcome outcome, bool not_run = false);
  void CountHedge(HedgeOutcome outcome);

  void OnEvent(ResponseEvent event);
  void OnHead(ResponseHead head);
  void OnBody(ResponseBody body);
  void OnEnd();
  // Ends an answer without a length if its upstream has taken the request, of which it had not
  // taken `unread` bytes before, and accepts a new connection, of which at most `checks` are tried.
  // A connection also ends regularly if its process is killed, or just before it is reset.
  void ConfirmEnd(int checks, std::size_t unread);
  void OnEndConfirmed(ConnectResult result, std::size_t unread);
  // Handles a whole answer.
  void CompleteAnswer();
  BodyFraming StreamFraming() const;
  void StartRelaying(BodyFraming framing);
  void RelayBody(std::string_view bytes);

  // Has it checked whether the upstream of an attempt that broke has ended, if the attempt's
  // request may be the cause: it has a prompt, and its answer had not shown it to be sound.
  void CheckEnd(AttemptFailure failure);

  // Ends a failed attempt, then either retries the request or responds to the caller.
  void FailAttempt(AttemptFailure failure, const std::string& reason);
  void EndAttempt(AttemptFailure failure, const std::string& reason, TimePoint now);
  void RetryOrRespond(AttemptFailure failure, TimePoint now);
  // `runs` includes the attempt that has ended, if it may have run.
  bool MayRetry(AttemptFailure failure, int runs, TimePoint now) const;
  // Called with each part of a successful answer. One that goes on after its begin shows that its
  // prompt does not end upstreams; an upstream may end right after the first event.
  void OnAnswerGoesOn();
  // Called with the end of a successful answer.
  void OnAnswerEnded();
  void RecordResponseEnd();
  // Why a response that ended regularly is not complete; empty if it is.
  std::string_view IncompleteReason() const;
  void ReleaseUpstream(bool failed);
  void FreeSlot(bool failed);
  bool IsRetryable() const;

  // Time without an event after which a resumable stream is retried at another upstream.
  Duration EventTimeout() const;

  void RespondWithFailure(AttemptFailure failure);
  void Refuse(int status, std::string reason, Duration retry_after);
  void Finish(std::string_view outcome, int status);
  // Time from the first wait for a slot until the last attempt, or until `now` if there was none.
  Duration QueueTime(TimePoint now) const;

  // Records the end of the request in the metrics.
  void RecordMetrics(std::string_view outcome, int status, TimePoint now);
  void OnCallerDisconnected();

  void ArmTimer(TimePoint at);
  void OnTimer();

  Relay& relay_;
  std::shared_ptr<CallerConnection> caller_;
  CallerRequest request_;
  std::shared_ptr<const RouteTable> table_;
  const Route* route_ = nullptr;
  const ServiceConfig* service_ = nullptr;
  std::string service_name_;
  std::string id_;
  WorkspaceId workspace_;
  bool keyed_ = false;
  RequestClass class_ = RequestClass::kInteractive;  // class in the queue for slots
  std::uint64_t affinity_ = 0;
  std::vector<PromptSegment> segments_;       // of the prompt, in their order
  std::vector<SegmentHash> shared_segments_;  // hashes of all but the last one
  bool quarantine_trial_ = false;             // sent to find out whether a held segment is sound
  // Address of the cache holder from which the upstream fetches prompt segments; may be empty.
  std::string segment_source_;
  TimePoint deadline_{};

  Phase phase_ = Phase::kPlacing;
  std::shared_ptr<UpstreamConnection> connection_;
  UpstreamId upstream_id_;
  std::string upstream_version_;
  bool upstream_cold_ = false;    // when the request was sent
  double rollout_draw_ = 1;       // decides which version gets the request
  std::uint32_t deliveries_ = 0;  // of events from the upstream of the current attempt
  std::set<UpstreamId> tried_;
  DataCentreId avoided_data_centre_;  // of an upstream that was gone or another one
  int attempts_made_ = 0;             // attempts that may have reached an upstream
  int runs_ = 0;                      // attempts that may have run
  bool may_have_run_ = false;
  TimePoint sent_at_{};
  std::optional<HedgeAttempt> hedge_;
  TimePoint hedge_at_{};          // when a second attempt is due; zero if none is
  TimePoint attempt_deadline_{};  // when the attempt times out; zero for no timeout
  TimePoint first_byte_at_{};
  TimePoint heard_at_{};  // last byte of a response from the upstream of the current attempt
  std::optional<MessageHead> head_;
  std::string buffer_;
  EventSplitter events_;
  bool events_relayed_ = false;
  TimePoint answer_begun_at_{};       // by the upstream of the current attempt; zero if not
  bool prompt_sound_ = false;         // shown by that answer
  std::uint64_t received_bytes_ = 0;  // body of the last response of an upstream
  std::uint64_t relayed_bytes_ = 0;   // body sent to the caller, from all attempts
  std::size_t unsent_bytes_ = 0;      // of a response that was cut, not taken by the connection
  // What a new connection showed after the last response, if that ended with its connection.
  std::optional<ConnectResult> new_connection_;
  bool upstream_lives_ = true;           // false if it has ended with such a response
  std::size_t partial_event_bytes_ = 0;  // of the last response, after its last complete event
  int load_at_send_ = 0;
  std::optional<Duration> load_age_;  // of the other instances' part of it
  PlacementCause placed_by_ = PlacementCause::kLoad;
  std::size_t usable_ = 0;  // number of candidate upstreams in the last placement
  std::string last_error_;
  std::uint32_t ticket_ = 0;  // distinguishes requests with the same id in the queue
  bool queued_ = false;
  bool passed_gate_ = false;
  bool held_ = false;         // until the configuration is known
  TimePoint queued_since_{};  // when the request was first enqueued; zero if never
  bool no_upstream_ = false;  // the last placement found no upstream of the service

  boost::asio::steady_timer timer_;
  TimePoint timer_at_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_RELAY_CALL_H_
