#include "product_policy.h"

#include <algorithm>
#include <utility>

#include "hash.h"
#include "locate.h"
#include "wire_size.h"

namespace chiverail::bench {
namespace {

// Instances poll the head and the members row every 2 s.
constexpr Duration kPollInterval = seconds(2);
constexpr std::size_t kPollBytes = 300;
constexpr Duration kSampleInterval = milliseconds(1500);
constexpr Duration kCacheEventInterval = seconds(1);
constexpr double kCacheEventLoss = 0.05;
constexpr Duration kProbeInterval = seconds(5);
constexpr Duration kConnectDelay = milliseconds(1);
constexpr Duration kLocateDelay = milliseconds(2);
// Delay before a caller connects to the next address, after a connection was refused or broke.
constexpr Duration kReconnectDelay = milliseconds(5);
constexpr int kMaxConnections = 6;
constexpr std::uint32_t kAttemptsPerConnection = 1000;

}  // namespace

ProductPolicy::ProductPolicy(World& world, std::uint64_t seed)
    : world_(world),
      random_(CombineHashes(seed, HashText("product"))),
      latest_view_(
          std::make_shared<const FleetView>(world.plan().initial, world.plan().initial.revision)),
      samples_(world.engine_count()),
      connection_counts_(world.turns().size()) {
  for (const TraceTurn& turn : world.turns()) {
    chats_[turn.chat_hash] = turn.chat;
  }
  SampleLoads();
  for (const Member& member : latest_view_->members()) {
    instance_ids_.push_back(member.id);
    data_centres_[member.id] = member.data_centre;
    StartInstance(member.id, member.generation);
  }
  CollectCacheEvents();
}

void ProductPolicy::StartInstance(const InstanceId& id, std::uint64_t generation) {
  auto instance =
      std::make_shared<ProductInstance>(*this, id, generation, data_centres_.at(id), latest_view_);
  instances_[id] = instance;
  // A random offset, so that the periodic work of the instances is not in phase.
  world_.loop().After(milliseconds(random_.Below(1000)), [instance] { instance->Run(); });
  Poll(id);
}

ProductInstance* ProductPolicy::FindLive(const InstanceId& id) {
  const auto found = instances_.find(id);
  return found == instances_.end() || !found->second || found->second->stopped()
             ? nullptr
             : found->second.get();
}

// Counts the bytes of an instance's polls of the head and the members row. The loop ends when the
// instance stops; StartInstance starts a new one.
void ProductPolicy::Poll(const InstanceId& id) {
  const std::shared_ptr<ProductInstance> instance = instances_[id];
  world_.loop().After(kPollInterval, [this, id, instance] {
    if (instances_[id] == instance && !instance->stopped()) {
      world_.AddControlBytes(2 * kPollBytes);
      Poll(id);
    }
  });
}

bool ProductPolicy::TableDown() const {
  return world_.plan().scenario == Scenario::kStoreOutage && world_.loop().now() >= kOutageFrom &&
         world_.loop().now() < kOutageTo;
}

// While the table is down, each instance sends probes to the peers in its data centre to learn
// whether they can reach the table.
void ProductPolicy::ProbeTables() {
  for (const InstanceId& id : instance_ids_) {
    const Member* self = latest_view_->FindMember(id);
    if (FindLive(id) == nullptr || self == nullptr) {
      continue;
    }
    for (const Member& peer : latest_view_->members()) {
      if (peer.data_centre == self->data_centre && peer.id != id) {
        TableProbeAnswer answer;
        answer.from = peer.id;
        Send(id, peer.id, TableProbe{id, 1, latest_view_->revision()});
        Send(peer.id, id, answer);
      }
    }
  }
  world_.loop().After(kProbeInterval, [this] {
    if (TableDown()) {
      ProbeTables();
    }
  });
}

void ProductPolicy::Send(const InstanceId& from, const InstanceId& to, const PeerMessage& message) {
  if (FindLive(from) == nullptr) {
    return;
  }
  world_.AddControlBytes(WireSize::Encoded(message) + kFramingBytes);
  const Duration delay = std::chrono::microseconds(500 + random_.Below(400));
  world_.loop().After(delay, [this, to, message] {
    if (ProductInstance* target = FindLive(to)) {
      target->Receive(message);
    }
  });
}

void ProductPolicy::RecordDecision(std::uint32_t turn,
                                   const InstanceId& instance,
                                   std::uint64_t outcome) {
  const auto time = static_cast<std::uint64_t>(world_.loop().now().time_since_epoch().count());
  decisions_hash_ = CombineHashes(decisions_hash_ ^ turn, outcome ^ HashText(instance));
  decisions_hash_ = CombineHashes(decisions_hash_, time);
}

void ProductPolicy::RecordSlot(bool remote) {
  ++slots_;
  remote_slots_ += remote ? 1 : 0;
}

void ProductPolicy::SampleLoads() {
  for (std::size_t i = 0; i < samples_.size(); ++i) {
    samples_[i] = world_.engine(i).Sample(world_.loop().now());
  }
  world_.loop().After(kSampleInterval, [this] { SampleLoads(); });
}

// Sends the cache events of each engine to the instance that owns it, with a delay and some loss.
void ProductPolicy::CollectCacheEvents() {
  for (const EngineEntry& entry : latest_view_->engines()) {
    const UpstreamId& id = entry.upstream->id;
    const Member* owner = latest_view_->AdmissionOwner(entry);
    for (const SimCacheEvent& event : world_.engine(world_.EngineIndex(id)).TakeEvents()) {
      if (owner == nullptr || random_.Unit() < kCacheEventLoss) {
        continue;
      }
      const auto kind = event.stored ? CacheEventKind::kStored : CacheEventKind::kEvicted;
      const CacheEvent hint{id, chats_.at(event.chat), kind, event.turn};
      world_.loop().After(milliseconds(500 + random_.Below(2500)), [this, hint, to = owner->id] {
        if (ProductInstance* target = FindLive(to)) {
          target->OnCacheEvent(hint);
        }
      });
    }
  }
  world_.loop().After(kCacheEventInterval, [this] { CollectCacheEvents(); });
}

void ProductPolicy::OnArrival(std::uint32_t turn) {
  CachedLocate& cached_locate = CacheEntryFor(turn);
  const bool cached = cached_locate.expires > world_.loop().now();
  if (!cached) {
    Locate(turn, cached_locate);
  }
  world_.loop().After(cached ? kConnectDelay : kLocateDelay + kConnectDelay,
                      [this, turn] { Connect(turn, 0, kMaxConnections); });
}

ProductPolicy::CachedLocate& ProductPolicy::CacheEntryFor(std::uint32_t turn) {
  return locate_cache_[world_.turn(turn).chat_hash];
}

// The caller sends the locate request to a random live instance, which answers from its own view.
void ProductPolicy::Locate(std::uint32_t turn, CachedLocate& cached_locate) {
  std::size_t position = random_.Below(static_cast<std::uint32_t>(instance_ids_.size()));
  while (FindLive(instance_ids_[position]) == nullptr) {
    position = (position + 1) % instance_ids_.size();
  }
  const FleetView& view = FindLive(instance_ids_[position])->view();
  const TraceTurn& request = world_.turn(turn);
  LocateQuery query;
  query.workspace = view.manifest().workspaces[request.workspace].id;
  query.model = view.manifest().models.front().id;
  query.chat = request.chat;
  query.region = "region";
  const auto& data_centres = view.manifest().data_centres;
  query.data_centre = data_centres[request.chat_hash % data_centres.size()].id;
  const LocateAnswer answer = chiverail::Locate(view, query);
  cached_locate.expires = world_.loop().now() + answer.ttl;
  cached_locate.instances.clear();
  for (const Member* member : answer.members) {
    cached_locate.instances.push_back(member->id);
  }
}

// Tries the addresses in order. After the last one, the caller sends a new locate request.
void ProductPolicy::Connect(std::uint32_t turn, std::size_t position, int attempts_left) {
  CachedLocate& cached_locate = CacheEntryFor(turn);
  if (attempts_left == 0) {
    world_.Refuse(turn);
    return;
  }
  if (position >= cached_locate.instances.size()) {
    Locate(turn, cached_locate);
    position = 0;
  }
  ProductInstance* instance = FindLive(cached_locate.instances[position]);
  if (instance == nullptr || !instance->IsListed()) {
    world_.loop().After(kReconnectDelay, [this, turn, position, attempts_left] {
      Connect(turn, position + 1, attempts_left - 1);
    });
    return;
  }
  const int connection = connection_counts_[turn]++;
  instance->OnRequest(turn, 1 + static_cast<std::uint32_t>(connection) * kAttemptsPerConnection);
}

// Callers retry the requests that were waiting for a slot at the stopped instance; these have not
// run.
void ProductPolicy::StopInstance(const InstanceId& id) {
  for (const std::uint32_t turn : instances_[id]->Stop()) {
    world_.loop().After(kReconnectDelay, [this, turn] { Connect(turn, 1, kMaxConnections); });
  }
}

void ProductPolicy::OnChange(const FleetChange& change) {
  switch (change.kind) {
    case FleetChange::Kind::kView:
      latest_view_ = std::make_shared<const FleetView>(change.state, change.state.revision);
      for (const InstanceId& id : instance_ids_) {
        const Duration lag = milliseconds(50) + milliseconds(random_.Below(2000));
        world_.loop().After(lag, [this, id, view = latest_view_] {
          if (ProductInstance* instance = FindLive(id)) {
            instance->SetView(view);
          }
        });
      }
      break;
    case FleetChange::Kind::kInstanceStops:
      instances_[change.subject]->CountCutSessions();
      StopInstance(change.subject);
      break;
    case FleetChange::Kind::kInstanceCrashes:
      StopInstance(change.subject);
      break;
    case FleetChange::Kind::kInstanceStarts:
      StartInstance(change.subject, change.generation);
      break;
    case FleetChange::Kind::kEngineCold:
    case FleetChange::Kind::kEngineStops:
      break;
    case FleetChange::Kind::kTableDown:
      ProbeTables();
      break;
  }
}

void ProductPolicy::Complete(RunResult& result) const {
  result.decisions_hash = decisions_hash_;
  result.remote_share =
      slots_ == 0 ? 0 : static_cast<double>(remote_slots_) / static_cast<double>(slots_);
}

}  // namespace chiverail::bench
