#ifndef CHIVERAIL_PEER_MESSAGES_H_
#define CHIVERAIL_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "types.h"

namespace chiverail {

// Number of requests that one instance has outstanding at the engines of one pool.
struct PoolLoad {
  std::uint64_t pool = 0;         // hash of the pool's name
  std::uint32_t outstanding = 0;  // number of requests
};

// Outstanding requests of one instance. Gossiped: sent to a few random peers every second, which
// relay it.
struct LoadDigest {
  InstanceId instance;
  std::uint64_t generation = 0;
  std::uint64_t sequence = 0;
  Revision revision = 0;    // revision in force at the sender; hint to poll the head row
  std::uint64_t epoch = 0;  // epoch of the sender's members row; hint to read the row
  std::vector<PoolLoad> pools;
};

// Digests of several instances, sent as one message.
struct DigestBatch {
  std::vector<LoadDigest> digests;
};

// Share of an engine's free slots that a request may use. The last slots below the load bound are
// reserved for requests whose prefix the engine has cached: granting them to other requests would
// displace the cached ones to engines that lack their prefix, which displaces further requests.
enum class SlotClaim : std::uint8_t { kUncached, kCached, kLastResort };
inline constexpr std::array<EnumName<SlotClaim>, 3> kSlotClaimNames{{
    {SlotClaim::kUncached, "uncached"},
    {SlotClaim::kCached, "cached"},
    {SlotClaim::kLastResort, "last_resort"},
}};

// Requests a slot from the owner of an engine.
struct SlotRequest {
  RequestId request;
  std::uint32_t attempt = 0;
  InstanceId holder;  // instance that will send the request to the engine
  UpstreamId engine;
  WorkspaceId workspace;
  RequestClass request_class = RequestClass::kInteractive;
  std::uint32_t wait_ms = 0;  // maximum time in the owner's queue; 0 for an immediate answer
  std::uint64_t epoch = 0;    // members epoch from which the sender determined the owner
  SlotClaim claim = SlotClaim::kCached;
};

// The owner's answer to a slot request.
struct SlotAnswer {
  RequestId request;
  std::uint32_t attempt = 0;
  UpstreamId engine;
  bool granted = false;
  std::uint64_t epoch = 0;  // members epoch of the owner
};

// Returns a slot to the owner.
struct SlotRelease {
  RequestId request;
  std::uint32_t attempt = 0;
  InstanceId holder;
  UpstreamId engine;
  bool completed = false;            // true if the engine sent the end mark
  std::uint32_t first_token_ms = 0;  // 0 if no token arrived
};

// A granted slot, as listed in a handover.
struct HeldSlot {
  RequestId request;
  std::uint32_t attempt = 0;
  InstanceId holder;
  WorkspaceId workspace;
};

// Transfers an engine's slots and concurrency limit from its previous owner to the new one.
struct AdmissionHandover {
  InstanceId from;
  UpstreamId engine;
  std::uint64_t epoch = 0;  // members epoch that changed the owner
  Revision revision = 0;    // configuration revision that changed the owner
  std::uint32_t concurrency_limit = 0;
  std::vector<HeldSlot> slots;
};

// Queries whether a peer has reached the table recently.
struct TableProbe {
  InstanceId from;
  std::uint64_t nonce = 0;
  Revision revision = 0;  // highest revision that the sender has seen
};

// Answer to a TableProbe.
struct TableProbeAnswer {
  InstanceId from;
  std::uint64_t nonce = 0;
  bool reached_table = false;        // the peer has read the table since it started
  std::uint32_t reached_ms_ago = 0;  // valid if reached_table is set
  Revision revision = 0;             // highest revision that the peer has seen
  bool requester_evicted = false;    // the peer's members row no longer lists the requester
  Revision in_force = 0;             // revision in force at the peer
  std::string head;                  // the peer's head row (JSON) if newer than the requester's
};

using PeerMessage = std::variant<DigestBatch,
                                 SlotRequest,
                                 SlotAnswer,
                                 SlotRelease,
                                 AdmissionHandover,
                                 TableProbe,
                                 TableProbeAnswer>;

}  // namespace chiverail

#endif  // CHIVERAIL_PEER_MESSAGES_H_
