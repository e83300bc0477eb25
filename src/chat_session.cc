#include "chat_session.h"

#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "error_response.h"

namespace chiverail {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

// A link stops reading while more than this many events are pending, so that a slow caller applies
// back pressure to the engine's connection instead of growing the event queue without bound.
constexpr std::size_t kMaxPendingEvents = 64;
constexpr Duration kBackpressurePause = milliseconds(5);

ExchangeRequest MakeExchangeRequest(const ChatRequest& request,
                                    std::optional<ResumeToken> resume,
                                    std::uint64_t resume_offset) {
  ExchangeRequest exchange_request;
  exchange_request.request = request.request;
  exchange_request.deadline = request.deadline;
  exchange_request.resume = std::move(resume);
  exchange_request.resume_offset = resume_offset;
  return exchange_request;
}

ExchangeLimits LimitsOf(const Settings& settings) {
  ExchangeLimits limits;
  limits.first_byte = settings.first_byte_timeout;
  limits.gap = settings.token_gap_timeout;
  return limits;
}

}  // namespace

ChatSession::ChatSession(Runtime& runtime,
                         ChatRequest request,
                         std::optional<ResumeToken> resume,
                         std::uint64_t resume_offset)
    : runtime_(runtime),
      request_(std::move(request)),
      exchange_(MakeExchangeRequest(request_, std::move(resume), resume_offset),
                LimitsOf(runtime.settings)),
      event_timer_(runtime.io) {}

void ChatSession::Run(HttpServerExchange& caller, asio::yield_context yield) {
  started_ = runtime_.Now();
  last_text_ = started_;
  ExecuteAll(exchange_.Start(started_), caller);
  while (!exchange_.finished()) {
    const std::optional<Event> event = NextEvent(yield);
    ExchangeActions actions = event ? HandleEvent(*event) : exchange_.Tick(runtime_.Now());
    ExecuteAll(actions, caller);
  }
  ReturnSlots();
  runtime_.metrics.Observe(Summary::kRequestSeconds, runtime_.Now() - started_);
}

void ChatSession::Push(Event event) {
  events_.push_back(std::move(event));
  event_timer_.cancel();
}

// Waits for an event or for the exchange's next deadline; returns nullopt at the deadline.
std::optional<ChatSession::Event> ChatSession::NextEvent(asio::yield_context yield) {
  if (events_.empty()) {
    const auto deadline = exchange_.NextDeadline();
    constexpr Duration kIdleCheck = seconds(1);
    event_timer_.expires_after(deadline ? std::max(Duration::zero(), *deadline - runtime_.Now())
                                        : kIdleCheck);
    boost::system::error_code ignored;
    event_timer_.async_wait(yield[ignored]);
  }
  if (events_.empty()) {
    return std::nullopt;
  }
  Event event = std::move(events_.front());
  events_.pop_front();
  return event;
}

ExchangeActions ChatSession::HandleEvent(const Event& event) {
  const TimePoint now = runtime_.Now();
  if (const auto* line = std::get_if<LineEvent>(&event)) {
    return HandleLine(line->link, line->line);
  }
  if (const auto* refused = std::get_if<RefusedEvent>(&event)) {
    return exchange_.OnRefused(refused->link, refused->error, refused->retryable, now);
  }
  if (const auto* closed = std::get_if<ClosedEvent>(&event)) {
    return exchange_.OnLinkClosed(closed->link, closed->bytes_written, now);
  }
  return HandleRoute(std::get<RouteEvent>(event));
}

ExchangeActions ChatSession::HandleLine(std::uint32_t link, const StreamLine& line) {
  const TimePoint now = runtime_.Now();
  if (const auto* head = std::get_if<StreamHead>(&line)) {
    return exchange_.OnHead(link, head->request, head->attempt, now);
  }
  if (const auto* text = std::get_if<StreamText>(&line)) {
    return exchange_.OnText(link, text->offset, text->text, now);
  }
  if (const auto* end = std::get_if<StreamEnd>(&line)) {
    RecordTokenUsage(*end);
    return exchange_.OnEnd(link, end->mark, now);
  }
  const RequestError error{ErrorCode::kUpstreamFailed, std::get<MalformedLine>(line).reason,
                           Ran::kUnknown};
  return exchange_.OnRefused(link, error, true, now);
}

ExchangeActions ChatSession::HandleRoute(const RouteEvent& event) {
  const TimePoint now = runtime_.Now();
  if (!event.reply) {
    return exchange_.OnNoUpstream(
        event.attempt, {ErrorCode::kNotReady, "the router is restarting", Ran::kNo}, now);
  }
  if (const auto* error = std::get_if<RequestError>(&*event.reply)) {
    return exchange_.OnNoUpstream(event.attempt, *error, now);
  }
  const auto& route = std::get<RouteResult>(*event.reply);
  routes_[event.attempt] = {route, event.attempt};
  return exchange_.OnUpstream(event.attempt, route.engine, now);
}

// After the caller has disconnected, the exchange issues only actions that concern engines. It
// reads the stream to its end so that another instance can resume it.
void ChatSession::ExecuteAll(const ExchangeActions& actions, HttpServerExchange& caller) {
  bool disconnected = false;
  for (const ExchangeAction& action : actions) {
    try {
      std::visit([this, &caller](const auto& typed) { Execute(typed, caller); }, action);
    } catch (const HttpError&) {
      disconnected = true;
    }
  }
  if (disconnected && !caller_disconnected_) {
    caller_disconnected_ = true;
    ExecuteAll(exchange_.OnCallerDisconnected(runtime_.Now()), caller);
  }
}

void ChatSession::Execute(const SelectUpstream& action, HttpServerExchange&) {
  asio::spawn(
      runtime_.io,
      [self = shared_from_this(), action](asio::yield_context yield) {
        auto reply = AwaitReply<RouteReply>(yield, [&](Reply<RouteReply> answer) {
          self->runtime_.actors.Send(Component::kRouter,
                                     RouteRequest{self->request_, action.attempt, action.retry,
                                                  action.avoid, std::move(answer)});
        });
        self->runtime_.metrics.Observe(Summary::kRoutingSeconds,
                                       self->runtime_.Now() - self->started_);
        if (self->ended_) {
          self->ReleaseSlot(reply);
        } else {
          self->Push(RouteEvent{action.attempt, std::move(reply)});
        }
      },
      asio::detached);
}

void ChatSession::Execute(const OpenLink& action, HttpServerExchange&) {
  if (action.resume) {
    runtime_.metrics.Add(Counter::kStreamsResumed);
  }
  asio::spawn(
      runtime_.io,
      [self = shared_from_this(), action](asio::yield_context yield) {
        self->RunLink(action, yield);
      },
      asio::detached);
}

void ChatSession::Execute(const CloseLink& action, HttpServerExchange&) {
  closed_links_.insert(action.link);
  const auto found = links_.find(action.link);
  if (found != links_.end()) {
    found->second->Close();
  }
}

void ChatSession::Execute(const CancelAttempt& action, HttpServerExchange&) {
  asio::spawn(
      runtime_.io,
      [self = shared_from_this(), action](asio::yield_context yield) {
        try {
          self->runtime_.upstream_http.Send(self->AddressOf(action.upstream),
                                            CancelRequest(action.request, action.attempt), yield);
        } catch (const std::exception&) {
          // Cancellation is best effort: the engine discards the attempt's unread stream when the
          // attempt ends.
        }
      },
      asio::detached);
}

void ChatSession::Execute(const AttemptEnded& action, HttpServerExchange&) {
  const auto found = routes_.find(action.attempt);
  if (found == routes_.end()) {
    return;
  }
  runtime_.actors.Send(Component::kRouter,
                       RouteRelease{request_, action.upstream, found->second.route.slot_attempt,
                                    action.completed, action.first_text});
  routes_.erase(found);
}

void ChatSession::Execute(const SendStart& action, HttpServerExchange& caller) {
  if (!caller.started()) {
    caller.StartStream(200);
  }
  caller.WriteLine(json{{"start",
                         {{"request", action.request},
                          {"attempt", action.attempt},
                          {"resume_token", action.resume_token}}}}
                       .dump());
}

void ChatSession::Execute(const SendText& action, HttpServerExchange& caller) {
  const TimePoint now = runtime_.Now();
  const bool first = last_text_ == started_;
  runtime_.metrics.Observe(first ? Summary::kFirstTokenSeconds : Summary::kTokenGapSeconds,
                           now - last_text_);
  last_text_ = now;
  caller.WriteLine(json{{"offset", action.offset}, {"text", action.text}}.dump());
}

void ChatSession::Execute(const SendEnd& action, HttpServerExchange& caller) {
  caller.WriteLine(json{{"end", {{"tokens", action.tokens}}}}.dump());
  caller.EndStream();
}

void ChatSession::Execute(const SendError& action, HttpServerExchange& caller) {
  const RequestError& error = action.error;
  runtime_.metrics.Add(Counter::kRefused, 1, std::string(NameOf(kErrorCodeNames, error.code)));
  if (!caller.started()) {
    caller.Respond(StatusOf(error.code), ErrorBody(error));
    return;
  }
  runtime_.metrics.Add(Counter::kStreamsCut);
  caller.WriteLine(json{{"error", json::parse(ErrorBody(error))}}.dump());
  caller.EndStream();
}

std::string ChatSession::AddressOf(const UpstreamId& engine) const {
  const auto view = runtime_.shared.view();
  const EngineEntry* entry = view->FindEngine(engine);
  return entry == nullptr ? "" : entry->upstream->address;
}

// Opens a connection and pushes its lines as events; each link ends with exactly one ClosedEvent.
void ChatSession::RunLink(const OpenLink& link, asio::yield_context yield) {
  // The engine may have been removed from the manifest after the slot was granted; the route holds
  // the address recorded at the grant.
  const auto route = routes_.find(link.attempt);
  const std::string address =
      route != routes_.end() ? route->second.route.address : AddressOf(link.upstream);
  bool bytes_written = true;
  try {
    if (address.empty()) {
      throw HttpError("the engine is not in the manifest", false);
    }
    ReadLink(link, address, yield);
  } catch (const HttpError& error) {
    bytes_written = error.bytes_written();
  }
  links_.erase(link.link);
  Push(ClosedEvent{link.link, bytes_written});
}

void ChatSession::ReadLink(const OpenLink& link,
                           const std::string& address,
                           asio::yield_context yield) {
  const HttpRequest request = link.resume ? ResumeRequest(link.request, link.attempt, link.offset)
                                          : GenerateRequest(request_, link.attempt);
  auto stream = std::make_shared<HttpStream>(runtime_.upstream_http.Open(address, request, yield));
  if (closed_links_.count(link.link) > 0) {
    return;
  }
  links_[link.link] = stream;
  constexpr int kOk = 200;
  if (stream->status() != kOk) {
    constexpr int kServerErrors = 500;
    constexpr int kTooMany = 429;
    const bool retryable = stream->status() >= kServerErrors || stream->status() == kTooMany;
    Push(RefusedEvent{
        link.link,
        {ErrorCode::kUpstreamFailed,
         "the engine answered with status " + std::to_string(stream->status()), Ran::kUnknown},
        retryable});
    return;
  }
  while (auto line = stream->ReadLine(yield)) {
    Push(LineEvent{link.link, ParseStreamLine(*line)});
    while (events_.size() > kMaxPendingEvents) {
      asio::steady_timer pause(runtime_.io, kBackpressurePause);
      pause.async_wait(yield);
    }
  }
}

void ChatSession::RecordTokenUsage(const StreamEnd& end) {
  runtime_.metrics.Add(Counter::kPromptTokens, request_.prompt_tokens);
  runtime_.metrics.Add(Counter::kCachedPromptTokens, end.cached_tokens);
}

// Returns the slots of attempts for which the exchange issued no AttemptEnded, and those of router
// replies that it has not processed.
void ChatSession::ReturnSlots() {
  ended_ = true;
  for (const auto& [attempt, held] : routes_) {
    ReleaseSlot(RouteReply(held.route));
  }
  routes_.clear();
  for (const Event& event : events_) {
    if (const auto* route = std::get_if<RouteEvent>(&event)) {
      ReleaseSlot(route->reply);
    }
  }
  events_.clear();
}

void ChatSession::ReleaseSlot(const std::optional<RouteReply>& reply) {
  const auto* route = reply ? std::get_if<RouteResult>(&*reply) : nullptr;
  if (route != nullptr) {
    runtime_.actors.Send(
        Component::kRouter,
        RouteRelease{request_, route->engine, route->slot_attempt, false, Duration::zero()});
  }
}

}  // namespace chiverail
