#ifndef CHIVERAIL_CHAT_SESSION_H_
#define CHIVERAIL_CHAT_SESSION_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <variant>

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "actor_messages.h"
#include "exchange.h"
#include "http_server.h"
#include "runtime.h"
#include "upstream_client.h"

namespace chiverail {

// Executes one chat request: drives the Exchange, opens its connections to engines, requests slots
// from the router and writes the answer to the caller. Runs entirely on the I/O thread.
class ChatSession : public std::enable_shared_from_this<ChatSession> {
 public:
  ChatSession(Runtime& runtime,
              ChatRequest request,
              std::optional<ResumeToken> resume,
              std::uint64_t resume_offset);

  // Runs the request to completion. The caller may disconnect while it runs.
  void Run(HttpServerExchange& caller, boost::asio::yield_context yield);

 private:
  struct LineEvent {
    std::uint32_t link;
    StreamLine line;
  };
  struct RefusedEvent {
    std::uint32_t link;
    RequestError error;
    bool retryable;
  };
  struct ClosedEvent {
    std::uint32_t link;
    bool bytes_written;
  };
  struct RouteEvent {
    std::uint32_t attempt;
    std::optional<RouteReply> reply;  // empty if the router actor failed
  };
  using Event = std::variant<LineEvent, RefusedEvent, ClosedEvent, RouteEvent>;

  // The engine and slot assigned to an attempt. The slot must be returned.
  struct HeldRoute {
    RouteResult route;
    std::uint32_t attempt;
  };

  void Push(Event event);
  std::optional<Event> NextEvent(boost::asio::yield_context yield);
  ExchangeActions HandleEvent(const Event& event);
  ExchangeActions HandleLine(std::uint32_t link, const StreamLine& line);
  ExchangeActions HandleRoute(const RouteEvent& event);
  void ExecuteAll(const ExchangeActions& actions, HttpServerExchange& caller);

  void Execute(const SelectUpstream& action, HttpServerExchange& caller);
  void Execute(const OpenLink& action, HttpServerExchange& caller);
  void Execute(const CloseLink& action, HttpServerExchange& caller);
  void Execute(const CancelAttempt& action, HttpServerExchange& caller);
  void Execute(const AttemptEnded& action, HttpServerExchange& caller);
  void Execute(const SendStart& action, HttpServerExchange& caller);
  void Execute(const SendText& action, HttpServerExchange& caller);
  void Execute(const SendEnd& action, HttpServerExchange& caller);
  void Execute(const SendError& action, HttpServerExchange& caller);

  void RunLink(const OpenLink& link, boost::asio::yield_context yield);
  void ReadLink(const OpenLink& link, const std::string& address, boost::asio::yield_context yield);
  std::string AddressOf(const UpstreamId& engine) const;
  void RecordTokenUsage(const StreamEnd& end);
  void ReturnSlots();
  void ReleaseSlot(const std::optional<RouteReply>& reply);

  Runtime& runtime_;
  ChatRequest request_;
  Exchange exchange_;
  boost::asio::steady_timer event_timer_;
  std::deque<Event> events_;
  std::map<std::uint32_t, std::shared_ptr<HttpStream>> links_;
  std::set<std::uint32_t> closed_links_;
  std::map<std::uint32_t, HeldRoute> routes_;  // keyed by attempt
  TimePoint started_{};
  TimePoint last_text_{};
  bool caller_disconnected_ = false;
  bool ended_ = false;  // Run has returned
};

}  // namespace chiverail

#endif  // CHIVERAIL_CHAT_SESSION_H_
