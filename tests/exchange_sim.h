#ifndef CHIVERAIL_TESTS_EXCHANGE_SIM_H_
#define CHIVERAIL_TESTS_EXCHANGE_SIM_H_

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "exchange.h"
#include "fake_platform.h"

namespace chiverail {

// Faults that a schedule activates for a limited time.
enum class StreamFaultKind : std::uint8_t {
  kCut,               // connections close in the middle of a stream
  kTimeout,           // connections stay open but carry no more data
  kCrossed,           // a connection carries the stream of another request
  kRepeated,          // pieces are sent twice or overlap
  kMissing,           // pieces are omitted
  kRestart,           // engines lose their streams
  kRefused,           // connections are not accepted
  kSlow,              // connections and stream heads are delayed
  kCallerReconnects,  // callers disconnect and resume on another instance
};
inline constexpr std::size_t kStreamFaultCount = 9;

// Simulates callers of chat requests, the instances that serve them, and engines whose connections
// fail according to a schedule derived from the seed. `ExchangeType` has the interface of Exchange.
template <typename ExchangeType>
class ExchangeSim {
 public:
  explicit ExchangeSim(std::uint64_t seed) : random_(seed) {
    const std::uint64_t kind =
        seed % 3;  // one fault, several overlapping ones, or the same one twice
    const int count = kind == 0 ? 1 : kind == 1 ? 3 : 2;
    std::size_t fault = random_.Below(kStreamFaultCount);
    for (int i = 0; i < count; ++i) {
      fault = kind == 1 ? random_.Below(kStreamFaultCount) : fault;
      const Duration start = random_.UpTo(seconds(5));
      events_.At(TimePoint{} + start, [this, fault] { ++faults_[fault]; });
      events_.At(TimePoint{} + start + random_.UpTo(seconds(6)),
                 [this, fault] { --faults_[fault]; });
    }
    for (int i = 0; i < kRequests; ++i) {
      auto caller = std::make_shared<Caller>();
      caller->request = "r" + std::to_string(i);
      callers_.push_back(caller);
      events_.At(TimePoint{} + random_.UpTo(seconds(8)), [this, caller] { ServeCaller(caller); });
    }
  }

  void Run() { events_.RunUntil(TimePoint{} + seconds(90)); }

  // Answers that ended with an end mark but are incomplete, or contain text of another request.
  int WrongAnswers() const { return wrong_; }
  // Errors that report "not run" although a byte of the request was written to an engine.
  int FalseNotRun() const {
    int count = 0;
    for (const auto& session : sessions_) {
      count += session->reported_not_run && session->bytes_written ? 1 : 0;
    }
    return count;
  }
  int CompleteAnswers() const { return complete_; }
  int Errors() const { return errors_; }
  // Callers that received neither an end mark nor an error.
  int Unfinished() const { return kRequests - complete_ - errors_; }

 private:
  static constexpr int kRequests = 12;
  static constexpr std::size_t kPieceBytes = 7;

  struct Caller {
    RequestId request;
    std::string text;
    std::string token;
    int reconnects = 0;
  };
  struct Session {
    std::unique_ptr<ExchangeType> exchange;
    std::shared_ptr<Caller> caller;
    bool attached = true;
    bool bytes_written = false;
    bool reported_not_run = false;
  };
  using SessionPtr = std::shared_ptr<Session>;
  struct Link {
    SessionPtr session;
    OpenLink open;
    bool closed = false;
    bool bytes_written = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  bool Chance(int percent) { return static_cast<int>(random_.Below(100)) < percent; }
  bool IsActive(StreamFaultKind fault) const {
    return faults_[static_cast<std::size_t>(fault)] > 0;
  }

  // Every fourth request yields a different text in each attempt, as sampling does.
  static std::string TextOf(const RequestId& request, std::uint32_t attempt) {
    const int number = std::stoi(request.substr(1));
    std::string text;
    for (int i = 0; i < 20 + number * 7; ++i) {
      text += request + (number % 4 == 3 ? "/" + std::to_string(attempt) : "") + ":" +
              std::to_string(i) + " ";
    }
    return text;
  }

  void ServeCaller(const std::shared_ptr<Caller>& caller) {
    auto session = std::make_shared<Session>();
    session->caller = caller;
    sessions_.push_back(session);
    ExchangeRequest request{caller->request, events_.now() + seconds(30), std::nullopt, 0};
    if (!caller->token.empty()) {
      request.resume = ParseResumeToken(caller->token);
      request.resume_offset = caller->text.size();
    }
    ExchangeLimits limits;
    limits.first_byte = seconds(2);
    limits.gap = seconds(1);
    session->exchange = std::make_unique<ExchangeType>(request, limits);
    Dispatch(session, [=](ExchangeType& exchange) { return exchange.Start(events_.now()); });
  }

  template <typename Event>
  void Dispatch(const SessionPtr& session, Event event) {
    for (const ExchangeAction& action : event(*session->exchange)) {
      std::visit([&](const auto& typed) { Execute(session, typed); }, action);
    }
    ScheduleTick(session);
  }

  void ScheduleTick(const SessionPtr& session) {
    if (const auto next = session->exchange->NextDeadline()) {
      events_.At(*next, [=] {
        if (session->exchange->NextDeadline() == next) {
          Dispatch(session, [=](ExchangeType& exchange) { return exchange.Tick(events_.now()); });
        }
      });
    }
  }

  void Execute(const SessionPtr& session, const SelectUpstream& action) {
    const UpstreamId engine = "e" + std::to_string(random_.Below(3));
    events_.After(random_.UpTo(milliseconds(3)), [=] {
      Dispatch(session, [=](ExchangeType& exchange) {
        return exchange.OnUpstream(action.attempt, engine, events_.now());
      });
    });
  }

  void Execute(const SessionPtr& session, const OpenLink& open) {
    auto link = std::make_shared<Link>(Link{session, open});
    links_[{session.get(), open.link}] = link;
    const bool refused = IsActive(StreamFaultKind::kRefused);
    const Duration connect =
        random_.UpTo(IsActive(StreamFaultKind::kSlow) ? seconds(4) : milliseconds(2));
    events_.After(connect, [=] {
      if (link->closed || refused) {
        Close(link);
        return;
      }
      link->bytes_written = true;
      session->bytes_written = true;
      events_.After(
          milliseconds(1) +
              random_.UpTo(IsActive(StreamFaultKind::kSlow) ? seconds(3) : milliseconds(9)),
          [=] { StartStream(link); });
    });
  }

  void Execute(const SessionPtr& session, const CloseLink& close) {
    const LinkPtr link = links_[{session.get(), close.link}];
    events_.After(random_.UpTo(milliseconds(20)), [=] { Close(link); });
  }
  void Execute(const SessionPtr&, const CancelAttempt& cancel) {
    runs_.erase({cancel.upstream, cancel.request, cancel.attempt});
  }
  void Execute(const SessionPtr&, const AttemptEnded&) {}

  void Close(const LinkPtr& link) {
    if (!link->closed) {
      link->closed = true;
      Dispatch(link->session, [=](ExchangeType& exchange) {
        return exchange.OnLinkClosed(link->open.link, link->bytes_written, events_.now());
      });
    }
  }

  // The engine received the request: it starts a run or looks up the run to resume.
  void StartStream(const LinkPtr& link) {
    const OpenLink& open = link->open;
    const StreamRun run{open.upstream, open.request, open.attempt};
    if (link->closed) {
      return;
    }
    if (IsActive(StreamFaultKind::kRestart) && Chance(30)) {
      runs_.clear();
    }
    if (!open.resume) {
      runs_.insert(run);
    } else if (runs_.count(run) == 0) {
      Dispatch(link->session, [=](ExchangeType& exchange) {
        return exchange.OnRefused(open.link,
                                  {ErrorCode::kNotFound, "no such stream", Ran::kUnknown}, false,
                                  events_.now());
      });
      Close(link);
      return;
    }
    RequestId request = open.request;
    if (IsActive(StreamFaultKind::kCrossed) && Chance(50)) {
      request = "r" + std::to_string(random_.Below(kRequests));
    }
    const std::uint32_t attempt =
        IsActive(StreamFaultKind::kCrossed) && Chance(20) ? 9 : open.attempt;
    Dispatch(link->session, [=](ExchangeType& exchange) {
      return exchange.OnHead(open.link, request, attempt, events_.now());
    });
    SendPieces(link, TextOf(request, attempt), open.offset);
  }

  void SendPieces(const LinkPtr& link, const std::string& text, std::size_t offset) {
    events_.After(milliseconds(10) + random_.UpTo(milliseconds(20)), [=] {
      const std::uint32_t number = link->open.link;
      if (link->closed || (IsActive(StreamFaultKind::kTimeout) && Chance(10))) {
        return;
      }
      if (IsActive(StreamFaultKind::kCut) && Chance(8)) {
        Close(link);
        return;
      }
      if (offset >= text.size()) {
        const EndMark end{text.size() / 4,
                          Chance(50) ? std::optional<std::uint64_t>(text.size()) : std::nullopt};
        Dispatch(link->session, [=](ExchangeType& exchange) {
          return exchange.OnEnd(number, end, events_.now());
        });
        Close(link);
        return;
      }
      const bool repeated = IsActive(StreamFaultKind::kRepeated) && Chance(30);
      const std::size_t from = repeated ? offset - std::min(offset, random_.Below(20)) : offset;
      const std::size_t to = std::min(offset + kPieceBytes, text.size());
      // The last piece is never omitted: without a text length in the end mark, the exchange cannot
      // detect that.
      const bool missing = IsActive(StreamFaultKind::kMissing) && Chance(10) && to < text.size();
      if (!missing) {
        Dispatch(link->session, [=](ExchangeType& exchange) {
          return exchange.OnText(number, from, text.substr(from, to - from), events_.now());
        });
      }
      SendPieces(link, text, repeated && Chance(30) ? from : to);
    });
  }

  // ---- caller ----

  void Execute(const SessionPtr& session, const SendStart& start) {
    if (session->attached) {
      session->caller->token = start.resume_token;
    }
  }
  void Execute(const SessionPtr& session, const SendText& text) {
    Caller& caller = *session->caller;
    if (!session->attached) {
      return;
    }
    wrong_ += text.offset != caller.text.size() ? 1 : 0;
    caller.text += text.text;
    if (IsActive(StreamFaultKind::kCallerReconnects) && caller.reconnects < 3 && Chance(5)) {
      ++caller.reconnects;
      session->attached = false;
      events_.After(Duration(0), [=] {
        Dispatch(session, [=](ExchangeType& exchange) {
          return exchange.OnCallerDisconnected(events_.now());
        });
      });
      events_.After(random_.UpTo(milliseconds(500)), [=] { ServeCaller(session->caller); });
    }
  }
  void Execute(const SessionPtr& session, const SendEnd&) {
    if (!session->attached) {
      return;
    }
    ++complete_;
    const Caller& caller = *session->caller;
    bool matches = false;
    for (std::uint32_t attempt = 1; attempt < 4 * kAttemptStride && !matches; ++attempt) {
      matches = caller.text == TextOf(caller.request, attempt);
    }
    wrong_ += matches ? 0 : 1;
    session->attached = false;
  }
  void Execute(const SessionPtr& session, const SendError& error) {
    session->reported_not_run = error.error.ran == Ran::kNo;
    errors_ += session->attached ? 1 : 0;
    session->attached = false;
  }

  struct StreamRun {
    UpstreamId engine;
    RequestId request;
    std::uint32_t attempt;
    bool operator<(const StreamRun& other) const {
      return std::tie(engine, request, attempt) <
             std::tie(other.engine, other.request, other.attempt);
    }
  };

  SimEventQueue events_;
  Jitter random_;
  std::array<int, kStreamFaultCount> faults_{};
  std::vector<std::shared_ptr<Caller>> callers_;
  std::vector<SessionPtr> sessions_;
  std::map<std::pair<Session*, std::uint32_t>, LinkPtr> links_;
  std::set<StreamRun> runs_;
  int wrong_ = 0;
  int complete_ = 0;
  int errors_ = 0;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_EXCHANGE_SIM_H_
