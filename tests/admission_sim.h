#ifndef CHIVERAIL_TESTS_ADMISSION_SIM_H_
#define CHIVERAIL_TESTS_ADMISSION_SIM_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "admission.h"
#include "admission_fixture.h"
#include "fake_engine.h"
#include "load_total.h"

namespace chiverail::admission_sim {

// Cold limit of every simulated engine.
inline constexpr int kSimColdLimit = 2;

// How a simulated fleet decides whether an engine takes a request.
enum class SimPolicy : std::uint8_t {
  kAdmission,   // by its admission owner
  kReportOnly,  // by each router alone, from lagged load reports; a cold limit per router
};

// Options of one simulated run.
struct SimOptions {
  int load_floor = 1;
  SimPolicy policy = SimPolicy::kAdmission;
  int engines = 10;
  int instances = 5;
  double requests_per_s = 8;   // at the base rate
  double surge = 3;            // times the base rate, from 20 s to 35 s
  std::uint64_t tokens = 500;  // mean length of an answer; 20 ms each
  Duration length = seconds(80);
  bool membership_faults = true;  // kills, pauses, restarts, joins and planned departures
  bool engine_faults = true;      // restarts, engines that turn cold, drained engines
  int message_loss = 20;          // lost messages per 1,000; as many are duplicated
};

// Result of one run. "Load" is the true number of requests that run at an engine or hold a granted
// slot there; the mean is taken over the engines that accept work.
struct SimResult {
  std::uint64_t grants = 0;
  // Grants above ceil(multiple x (total + 1) / engines). For `bound_violations` the total counts
  // the requests that held a slot at some time in the last 7.5 s, for `above_current_bound` those
  // that hold one at the time of the grant.
  std::uint64_t bound_violations = 0;
  std::uint64_t above_current_bound = 0;
  std::uint64_t cold_violations = 0;  // grants above the cold limit once a sign could be detected
  std::uint64_t cold_undetected_excess = 0;  // the same before a sign could be detected
  std::uint64_t cold_grants = 0;             // grants to engines that were cold
  std::uint64_t unknown_load = 0;            // grants at engines with load unknown to their owner
  std::uint64_t arrived = 0;
  std::uint64_t completed = 0;
  std::uint64_t owner_changes = 0;
  double worst_at_grant = 0;              // load / mean, when the mean is at least 4
  std::uint64_t samples = 0;              // engine samples every 500 ms
  std::uint64_t samples_above_bound = 0;  // samples above ceil(multiple x mean)
  double worst_at_sample = 0;             // load / mean over these samples, mean at least 4
  double worst_excess = 0;                // load - multiple x mean over these samples, any mean
  double load_sum = 0;                    // of all samples
};

// Simulates a fleet in one data centre in virtual time: instances with their own views, leases,
// digests and admission, which exchange messages that are delayed, lost or duplicated.
class FleetSim {
 public:
  FleetSim(const SimOptions& options, std::uint64_t seed);
  SimResult Run();

 private:
  using Event = std::function<void()>;
  struct Scheduled {
    TimePoint time;
    std::uint64_t order;
    std::shared_ptr<Event> event;
    bool operator>(const Scheduled& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  struct Request {
    RequestId id;
    ChatId chat;
    WorkspaceId workspace;
    std::uint64_t tokens = 0;
    std::array<int, 3> engines{};  // home engine first
    std::uint32_t attempt = 0;
    bool awaiting_slot = false;
    bool running = false;
    int engine = 0;
    TimePoint use_by{};  // latest time at which a grant may be used
  };
  struct Instance {
    InstanceId id;
    std::uint64_t generation = 0;
    std::unique_ptr<AdmissionController> admission;
    std::unique_ptr<LoadTotal> total;
    std::shared_ptr<const FleetView> view;
    bool alive = true;
    bool stopping = false;  // planned departure
    TimePoint paused_until{};
    std::vector<Event> backlog;  // events that became due during a pause
    TimePoint renewed{};         // last renewal of the lease
    std::uint64_t digest_sequence = 0;
    std::map<RequestId, Request> requests;
    std::vector<LoadReport> reports;
    std::vector<TimePoint> owner_since;  // time at which it became the owner, by engine
  };

  void Schedule(TimePoint time, Event event);
  void ScheduleOn(int instance, TimePoint time, std::function<void(Instance&)> event);
  void Send(int from, int to, std::function<void(Instance&)> event);
  int Random(int bound) { return static_cast<int>(random_() % static_cast<std::uint64_t>(bound)); }
  Duration RandomMs(int low, int high) { return milliseconds(low + Random(high - low)); }

  void AddInstance(const InstanceId& id, std::uint64_t generation, bool join);
  void SchedulePoll(int instance);
  void ApplyView(int instance);
  void ScheduleDigest(int instance);
  void ScheduleReportPoll(int instance);
  void ScheduleTick(int instance);
  void Evict(const InstanceId& id, std::uint64_t generation);
  void ScheduleFault();
  void Kill(int instance);
  void ScheduleArrival();
  void Attempt(int instance, const RequestId& id);
  void AttemptByReport(Instance& holder, Request& request);
  void AbandonAttempt(int instance, const RequestId& id, std::uint32_t attempt);
  void Perform(int instance, const AdmissionActions& actions);
  void OnAnswer(int instance, const SlotAnswer& answer);
  void StartRun(int instance, Request& request);
  void EndRun(int instance,
              const RequestId& id,
              std::uint32_t attempt,
              bool completed,
              std::uint32_t first_token_ms);
  void SendRelease(int instance, const SlotRelease& release);
  void RestartEngine(int engine);
  void ScheduleSample();

  int OwnerIndex(const Instance& viewer, const UpstreamId& engine) const;
  int IndexOf(const InstanceId& id) const;
  int EngineIndex(const UpstreamId& id) const { return std::stoi(id.substr(1)); }
  static UpstreamId EngineId(int index) { return "e" + std::to_string(index); }
  bool Accepts(int engine) const {
    return site_.state().draining_upstreams.count(EngineId(engine)) == 0;
  }
  std::pair<int, std::uint64_t> AcceptingLoad() const;
  void CheckGrant(const Instance& granting, int engine);
  void EraseTrueLoad(int engine, const RequestId& id, std::uint32_t attempt);

  SimOptions options_;
  mutable OneDataCentre site_;
  std::mt19937_64 random_;
  TimePoint now_{seconds(1000)};
  TimePoint end_;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  std::shared_ptr<const FleetView> latest_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<FakeEngine> engines_;
  std::vector<std::map<std::pair<RequestId, std::uint32_t>, int>> true_load_;  // holders of slots
  std::deque<TimePoint> recent_ends_;  // end times of the slots of the last seconds
  std::set<std::pair<RequestId, std::uint32_t>> granted_;  // every slot that was ever granted
  std::uint64_t next_request_ = 0;
  int next_instance_ = 0;
  SimResult result_;
};

}  // namespace chiverail::admission_sim

#endif  // CHIVERAIL_TESTS_ADMISSION_SIM_H_
