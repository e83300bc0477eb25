#include "caller_limits/caller_account.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "caller_connection.h"
#include "socket_io.h"

namespace chiverail {

void CallerAccount::Update(const std::shared_ptr<CallerConnection>& connection,
                           std::size_t bytes,
                           HolderState state,
                           bool progress,
                           TimePoint now) {
  connections_.try_emplace(connection.get(), connection);
  held_.Set(connection.get(), bytes, state, progress, now);
  // The caller of this function may be in the middle of an answer.
  if (held_.IsOver() && !std::exchange(closing_soon_, true)) {
    boost::asio::post(io_, [this] {
      closing_soon_ = false;
      CloseVictims();
    });
  }
}

void CallerAccount::Remove(const CallerConnection* connection) {
  held_.Remove(connection);
  connections_.erase(connection);
}

void CallerAccount::Close(const CallerConnection* holder) {
  const auto found = connections_.find(holder);
  const auto connection = found == connections_.end() ? nullptr : found->second.lock();
  if (connection) {
    connection->CloseForMemory();
    if (metrics_ != nullptr) {
      metrics_->Add(Counter::kCallersClosed, 1, "memory");
    }
  }
}

// What a connection holds for its caller becomes less as that reads, without notice.
void CallerAccount::CloseVictims() {
  const TimePoint now = BootTimeNow();
  for (const HeldBytes::Holder holder : held_.Victims(now)) {
    const auto found = connections_.find(holder);
    if (const auto connection = found == connections_.end() ? nullptr : found->second.lock()) {
      connection->UpdateHeld(false);
    }
  }
  if (!held_.IsOver()) {
    return;
  }
  for (const HeldBytes::Holder holder : held_.Victims(now)) {
    Close(static_cast<const CallerConnection*>(holder));
  }
}

bool CallerAccount::MakeRoomFor(std::size_t bytes,
                                const CallerConnection* connection,
                                TimePoint now) {
  if (bytes <= kSmallRequest || held_.HasRoomFor(bytes)) {
    return true;
  }
  for (const HeldBytes::Holder holder : held_.Victims(now, bytes)) {
    const auto found = connections_.find(holder);
    const auto victim = found == connections_.end() ? nullptr : found->second.lock();
    if (holder != connection && victim && victim->IsReceiving()) {
      Close(victim.get());
    }
  }
  return held_.HasRoomFor(bytes);
}

}  // namespace chiverail
