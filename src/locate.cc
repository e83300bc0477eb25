#include "locate.h"

#include <algorithm>

#include "hash.h"
#include "placement.h"

namespace chiverail {
namespace {

constexpr std::size_t kMaxAddresses = 3;

bool Contains(const LocateAnswer& answer, const Member* member) {
  return std::find(answer.members.begin(), answer.members.end(), member) != answer.members.end();
}

// The platform's list may mark an instance as leaving before its members row does. Admission
// ownership depends on the members rows only, but callers should not be sent to an instance that is
// about to stop.
bool IsLocatable(const FleetView& view, const Member& member) {
  return member.state == MemberState::kLive && view.state().leaving_instances.count(member.id) == 0;
}

// Ranks a member as a fallback: best in the caller's nearest data centre, then in any other data
// centre that is in service, then in the others, whose instances can still forward requests.
int FallbackRank(const FleetView& view, const Member& member, const DataCentreId& nearest) {
  if (view.IsOutOfService(member.data_centre)) {
    return 0;
  }
  return member.data_centre == nearest ? 2 : 1;
}

// Picks by rendezvous hashing on the chat id among the best-ranked members, so that the chats of a
// failed owner spread over the remaining instances.
const Member* PickFallback(const FleetView& view,
                           const LocateQuery& query,
                           const LocateAnswer& answer) {
  const std::uint64_t key = HashText(query.chat);
  const Member* best = nullptr;
  int best_rank = -1;
  std::uint64_t best_hash = 0;
  for (const Member& member : view.members()) {
    if (!IsLocatable(view, member) || Contains(answer, &member)) {
      continue;
    }
    const int rank = FallbackRank(view, member, query.data_centre);
    if (rank < best_rank) {
      continue;
    }
    const std::uint64_t hash = CombineHashes(key, HashText(member.id));
    if (rank > best_rank || (rank == best_rank && hash > best_hash)) {
      best = &member;
      best_rank = rank;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace

// Skips engines without an owner (no live instance in their data centre) and further engines of the
// same owner: the caller needs a different address as an alternative.
LocateAnswer Locate(const FleetView& view, const LocateQuery& query) {
  LocateAnswer answer;
  answer.members.reserve(kMaxAddresses);
  for (const Candidate& candidate :
       RendezvousOrder(view, query.model, query.adapter, query.region, query.chat)) {
    const Member* owner = view.AdmissionOwner(view.engines()[candidate.engine]);
    const bool usable = owner != nullptr && IsLocatable(view, *owner) && !Contains(answer, owner);
    if (usable && answer.members.size() < kMaxAddresses - 1) {
      answer.members.push_back(owner);
    }
  }
  while (answer.members.size() < kMaxAddresses) {
    const Member* fallback = PickFallback(view, query, answer);
    if (fallback == nullptr) {
      break;
    }
    answer.members.push_back(fallback);
  }
  return answer;
}

}  // namespace chiverail
