#ifndef CHIVERAIL_ACTOR_MESSAGES_H_
#define CHIVERAIL_ACTOR_MESSAGES_H_

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <caf/allowed_unsafe_message_type.hpp>

#include "engine_orders.h"
#include "fleet_view.h"
#include "ledger.h"
#include "peer_messages.h"
#include "placement.h"
#include "platform_client.h"
#include "reply.h"
#include "table_types.h"

namespace chiverail {

// Messages between the actors of one process; they are never sent over the network.

// Periodic timer tick of an actor.
struct TickMessage {};

// A new view of the fleet.
struct ViewMessage {
  std::shared_ptr<const FleetView> view;
};

// Times until which this instance may act for the engines it owns.
struct GrantsMessage {
  TimePoint until{};        // slots may be granted
  TimePoint lease_until{};  // the lease itself is valid, not only the frozen view
};

// A message from a peer.
struct PeerReceived {
  PeerMessage message;
};

// A message to send to a peer, addressed by instance id.
struct PeerSend {
  InstanceId to;
  PeerMessage message;
};

// State machine of the fleet actor that requested a table read.
enum class TableReadOrigin : std::uint8_t { kMembership, kFollower };

// Result of a table read or write that an actor requested.
struct RowRead {
  TableReadOrigin origin = TableReadOrigin::kMembership;
  std::uint64_t op = 0;
  TableReadResult result;
};
struct RowsWritten {
  std::uint64_t op = 0;
  TableWriteResult result;
};

// Result of fetching a manifest; the pointer is null when the fetch failed.
struct ManifestFetched {
  std::string hash;
  std::shared_ptr<const Manifest> manifest;
};

// Result of reading the platform's list.
struct ListRead {
  PlatformList list;
};

// Peer addresses from the platform's list, used until the members rows have been read.
struct PeerAddresses {
  std::map<InstanceId, ListedInstance> instances;
};

// A peer has this revision in force.
struct RevisionHint {
  Revision revision = 0;
};

// A peer has read this epoch of a data centre's members row.
struct EpochHint {
  DataCentreId data_centre;
  std::uint64_t epoch = 0;
};

// This instance has joined as a member under this generation.
struct GenerationMessage {
  std::uint64_t generation = 0;
};

// Requests that the HTTP server stop accepting connections.
struct StopAcceptingMessage {};

// Requests that the process end with this exit code.
struct ExitMessage {
  int code = 0;
};

// Result of routing: a slot at an engine for one attempt of a request.
struct RouteResult {
  UpstreamId engine;
  std::string address;
  std::uint32_t slot_attempt = 0;  // identifies the slot at the engine's owner
  std::uint32_t cached_turn = 0;
};
using RouteReply = std::variant<RouteResult, RequestError>;

// Requests an engine with a slot for one attempt.
struct RouteRequest {
  ChatRequest request;
  std::uint32_t attempt = 0;
  bool retry = false;
  std::vector<UpstreamId> avoid;
  Reply<RouteReply> reply;
};

// Releases the slot of a finished attempt.
struct RouteRelease {
  ChatRequest request;
  UpstreamId engine;
  std::uint32_t slot_attempt = 0;
  bool completed = false;
  Duration first_token{0};
};

// Load report of an engine.
struct LoadReportMessage {
  UpstreamId engine;
  std::string start_id;
  std::uint32_t running = 0;
  bool cold = false;
  TimePoint sampled{};
};

// Model, version and adapters that an engine reports as loaded.
struct EngineReport {
  ModelId model;
  std::string version;
  std::vector<std::string> adapters;
};
struct EngineReportMessage {
  UpstreamId engine;
  EngineReport report;
};

// Result of one send of an order.
struct OrderAnswered {
  UpstreamId engine;
  std::string order_id;
  OrderAnswer answer = OrderAnswer::kNoAnswer;
};

// Cache events of an engine.
struct CacheEventsMessage {
  std::vector<CacheEvent> events;
};

// Bytes received from a peer.
struct PeerBytes {
  std::string bytes;
};

// Answer of a non-idempotent call; `stored` if it was answered from the ledger.
struct CallResult {
  CallAnswer answer;
  bool stored = false;
};
using CallReply = std::variant<CallResult, RequestError>;

// Requests that the ledger execute a non-idempotent call.
struct CallRequest {
  CallSubmission submission;
  std::string address;  // of the upstream, "ip:port"
  std::string operation;
  std::string body;
  std::string content_type;
  Reply<CallReply> reply;
};

// Events of an open call.
struct CallRowRead {
  std::uint64_t op = 0;
  TableReadResult result;
};
struct CallRowsWritten {
  std::uint64_t op = 0;
  TableWriteResult result;
};
struct CallObjectPut {
  std::uint64_t op = 0;
  TableStatus status = TableStatus::kUnknown;
};
struct CallObjectRead {
  std::uint64_t op = 0;
  TableStatus status = TableStatus::kUnavailable;
  std::string body;
};
struct CallNotSent {};
struct CallConnectionLost {};
struct CallAnswered {
  RequestId request;
  std::uint32_t attempt = 0;
  CallAnswer answer;
};
struct CallerDisconnected {};

// Envelope of a call event: the ledger actor's number of the call, and the event.
struct CallEvent {
  std::uint64_t number = 0;
  std::variant<CallRowRead,
               CallRowsWritten,
               CallObjectPut,
               CallObjectRead,
               CallNotSent,
               CallConnectionLost,
               CallAnswered,
               CallerDisconnected>
      what;
};

// Requests the state of the router's engines as JSON.
struct EngineStatusRequest {
  Reply<std::string> reply;
};

// Requests the state of the fleet actor as JSON.
struct FleetStatusRequest {
  Reply<std::string> reply;
};

// Requests a graceful shutdown (SIGTERM or SIGINT); a second one aborts the open requests.
struct ShutdownRequest {};

}  // namespace chiverail

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::TickMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::ViewMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::GrantsMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::PeerReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::PeerSend)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::RowRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::RowsWritten)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::PeerBytes)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::CallRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::CallEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::ManifestFetched)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::ListRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::PeerAddresses)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::RevisionHint)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::EpochHint)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::GenerationMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::StopAcceptingMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::ExitMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::RouteRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::RouteRelease)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::LoadReportMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::EngineReportMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::OrderAnswered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::CacheEventsMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::EngineStatusRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::FleetStatusRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chiverail::ShutdownRequest)

#endif  // CHIVERAIL_ACTOR_MESSAGES_H_
