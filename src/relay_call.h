#ifndef CHIVERAIL_RELAY_CALL_H_
#define CHIVERAIL_RELAY_CALL_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/steady_timer.hpp>

#include "caller_connection.h"
#include "event_splitter.h"
#include "relay.h"
#include "send_rules.h"
#include "upstream_request.h"

namespace chiverail {

// One request of a caller on its way: checked, placed, sent to one upstream or several in turn, and
// answered. Kept alive by the connections and the timer that call it.
class RelayCall : public std::enable_shared_from_this<RelayCall> {
 public:
  RelayCall(Relay& relay, std::shared_ptr<CallerConnection> caller, CallerRequest request);

  // Checks the request and starts to place it.
  void Start();

  // The request waits in the queue of its service no longer: a place may be free, or it has waited
  // for as long as it may.
  void OnPlaceFree();
  void OnWaitOver();

 private:
  // Where the request stands.
  enum class Phase : std::uint8_t { kPlacing, kAwaitingHead, kBuffering, kRelaying, kDone };

  bool Check(TimePoint now);
  bool CheckKey(TimePoint now);
  void ReadDeadline();

  void Place();
  void WaitForPlace(ChoiceOutcome outcome, TimePoint now);
  JoinOutcome JoinQueue(TimePoint now);
  void LeaveQueue();
  void Send(KnownUpstream& upstream, const std::vector<std::uint32_t>& holders, TimePoint now);
  UpstreamFields FieldsFor(const KnownUpstream& upstream, TimePoint now) const;

  void OnEvent(AnswerEvent event);
  void OnHead(AnswerHead head);
  void OnBody(AnswerBody body);
  void OnEnd();
  void StartRelaying(BodyFraming framing);
  void RelayBody(std::string_view bytes);

  // Ends the attempt and either sends the request again or answers the caller.
  void EndAttempt(AttemptEnd end, const std::string& reason);
  // `runs` counts the attempt that has ended, if it may have run.
  bool MaySendAgain(AttemptEnd end, int runs, TimePoint now) const;
  void ReleaseUpstream(bool failed);
  bool Repeatable() const;

  // Silence after which a resumable stream goes on elsewhere.
  Duration EventPatience() const;

  void AnswerUpstreamFailure(AttemptEnd end);
  void Refuse(int status, std::string_view reason, Duration retry_after);
  void Finish(std::string_view outcome, int status);
  // Time that it waited for a place, until its send or now.
  Duration Waited(TimePoint now) const;

  // Counts the end of the request in the metrics.
  void Count(std::string_view outcome, int status, TimePoint now);
  void OnCallerGone();

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
  RequestClass class_ = RequestClass::kInteractive;  // in which it waits for a place
  std::uint64_t affinity_ = 0;
  std::string parts_from_;  // address of the engine whose copy of the parts is to be fetched
  TimePoint give_up_at_{};

  Phase phase_ = Phase::kPlacing;
  std::shared_ptr<UpstreamConnection> connection_;
  UpstreamId upstream_id_;
  std::set<UpstreamId> tried_;
  int sends_ = 0;  // requests that may have reached an upstream
  int runs_ = 0;   // of these, those that may have run
  bool may_have_run_ = false;
  TimePoint sent_at_{};
  TimePoint patient_until_{};  // the attempt is given up at this time; none when zero
  TimePoint first_byte_at_{};
  std::optional<MessageHead> head_;
  std::string buffer_;
  EventSplitter events_;
  bool events_relayed_ = false;
  int load_at_send_ = 0;
  PlacementCause placed_by_ = PlacementCause::kLoad;
  std::size_t usable_ = 0;  // upstreams among which it was placed last
  std::string last_fault_;
  std::uint32_t ticket_ = 0;  // tells requests with the same id apart in the queue
  bool waits_in_queue_ = false;
  TimePoint waits_since_{};   // when it first had to wait for a place; zero when it never had to
  bool no_upstream_ = false;  // the last look for a place found no upstream at all

  boost::asio::steady_timer timer_;
  TimePoint timer_at_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_RELAY_CALL_H_
