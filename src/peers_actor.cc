#include "peers_actor.h"

#include "log.h"
#include "peer_codec.h"

namespace chiverail {
namespace {

// Maps each message type to its traffic budget class.
struct TrafficClassOf {
  TrafficClass operator()(const DigestBatch&) const { return TrafficClass::kDigest; }
  TrafficClass operator()(const SlotRequest&) const { return TrafficClass::kSlot; }
  TrafficClass operator()(const SlotAnswer&) const { return TrafficClass::kSlot; }
  TrafficClass operator()(const SlotRelease&) const { return TrafficClass::kSlot; }
  TrafficClass operator()(const AdmissionHandover&) const { return TrafficClass::kHandover; }
  TrafficClass operator()(const TableProbe&) const { return TrafficClass::kProbe; }
  TrafficClass operator()(const TableProbeAnswer&) const { return TrafficClass::kProbe; }
};

// Maps each message type to the actor that handles it.
struct ReceivingComponent {
  Component operator()(const TableProbe&) const { return Component::kFleet; }
  Component operator()(const TableProbeAnswer&) const { return Component::kFleet; }
  template <typename Message>
  Component operator()(const Message&) const {
    return Component::kRouter;
  }
};

}  // namespace

PeersActor::PeersActor(caf::actor_config& config, Runtime& runtime, PeerLink& link)
    : caf::event_based_actor(config),
      runtime_(runtime),
      link_(link),
      budget_(clock().now(),
              ScaledTrafficLimits(
                  static_cast<std::uint32_t>(runtime.settings.control_bytes_per_second))) {}

caf::behavior PeersActor::make_behavior() {
  return {
      [this](const PeerSend& message) { OnSend(message); },
      [this](const PeerBytes& message) { OnBytes(message.bytes); },
      [this](const PeerAddresses& message) { listed_instances_ = message.instances; },
  };
}

// A message over the budget is dropped as if lost in transit. Slot messages are exempt: their rate
// is bounded by the request rate, a lost slot request may cost its chat request the full queue
// timeout, and a lost release leaves a slot occupied.
void PeersActor::OnSend(const PeerSend& message) {
  const std::string address = AddressOf(message.to);
  if (address.empty()) {
    return;
  }
  const std::string bytes = EncodePeerMessage(message.message);
  const TrafficClass traffic = std::visit(TrafficClassOf{}, message.message);
  const auto size = static_cast<std::uint32_t>(bytes.size());
  const bool within_budget = budget_.TrySpend(traffic, size, clock().now());
  if (!within_budget && traffic != TrafficClass::kSlot) {
    runtime_.metrics.Add(Counter::kControlBytesDropped, size);
    return;
  }
  if (link_.Send(address, bytes)) {
    runtime_.metrics.Add(Counter::kControlBytesSent, size + kPeerMessageOverheadBytes,
                         std::string(NameOf(kTrafficClassNames, traffic)));
  }
}

void PeersActor::OnBytes(const std::string& bytes) {
  auto message = DecodePeerMessage(bytes);
  if (!message) {
    ComponentLogger("peers")->warn("Dropped a malformed peer message of {} bytes.", bytes.size());
    return;
  }
  const Component component = std::visit(ReceivingComponent{}, *message);
  runtime_.actors.Send(component, PeerReceived{std::move(*message)});
}

std::string PeersActor::AddressOf(const InstanceId& instance) const {
  const auto view = runtime_.shared.view();
  if (const Member* member = view->FindMember(instance)) {
    return member->peer_address;
  }
  const auto listed = listed_instances_.find(instance);
  return listed == listed_instances_.end() ? "" : listed->second.peer_address;
}

}  // namespace chiverail
