#include "load_caller.h"

#include <algorithm>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace chiverail {
namespace {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kMaxChatConnections = 8;
constexpr int kMaxSubmissions = 5;
constexpr std::size_t kMaxKeptAnswers = 100'000;
constexpr std::chrono::milliseconds kPauseStep{50};

double MillisecondsBetween(SteadyClock::time_point from, SteadyClock::time_point to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

// Reads "code" and "ran" of an error document; both are "none" when it has none.
std::pair<std::string, std::string> CodeAndRan(const json& error) {
  if (!error.is_object()) {
    return {"none", "none"};
  }
  return {error.value("code", "none"), error.value("ran", "none")};
}

// True for refusals with which an instance says that another one should be asked.
bool IsForAnotherInstance(const std::string& code) {
  return code == "not_ready" || code == "isolated";
}

// True for refusals of a call that a repeat does not change.
bool IsFinalRefusal(const std::string& code) {
  return code == "in_doubt" || code == "idempotency_key_reused" || code == "invalid_field" ||
         code == "malformed_json" || code == "missing_idempotency_key" || code == "not_found" ||
         code == "unknown_service" || code == "unknown_workspace" || code == "body_too_large";
}

}  // namespace

Locator::Locator(HttpClient& http, std::vector<std::string> instances, LoadReport& report)
    : http_(http), instances_(std::move(instances)), report_(report) {}

std::optional<Locator::Entry> Locator::Ask(const std::string& address,
                                           const std::string& target,
                                           boost::asio::yield_context yield) {
  try {
    const HttpResponse response = http_.Send(address, {"GET", target, {}, ""}, yield);
    const json document = json::parse(response.body);
    if (response.status != kOk) {
      return std::nullopt;
    }
    return Entry{
        document.at("addresses").get<std::vector<std::string>>(),
        SteadyClock::now() + std::chrono::milliseconds(document.at("ttl_ms").get<std::int64_t>())};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::vector<std::string> Locator::Addresses(const std::string& workspace,
                                            const std::string& model,
                                            const std::string& chat,
                                            boost::asio::yield_context yield) {
  const std::string key = workspace + "/" + chat;
  const auto found = kept_.find(key);
  if (found != kept_.end() && found->second.until > SteadyClock::now()) {
    return found->second.addresses;
  }
  const std::string target = "/v1/locate?workspace=" + PercentEncode(workspace) +
                             "&model=" + PercentEncode(model) + "&chat=" + PercentEncode(chat);
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const std::string address = instances_[next_++ % instances_.size()];
    ++report_.locates;
    std::optional<Entry> entry = Ask(address, target, yield);
    if (entry && !entry->addresses.empty()) {
      if (kept_.size() >= kMaxKeptAnswers) {
        kept_.clear();
      }
      kept_[key] = *entry;
      return std::move(entry->addresses);
    }
    ++report_.locate_failures;
  }
  return {};
}

void Locator::Forget(const std::string& workspace, const std::string& chat) {
  kept_.erase(workspace + "/" + chat);
}

StreamCheck::StreamCheck(std::string request, std::uint32_t max_tokens)
    : request_(std::move(request)), max_tokens_(max_tokens) {
  for (std::uint32_t token = 0; token < max_tokens; ++token) {
    expected_ += "t" + std::to_string(token) + " ";  // the text of the upstream stand-in
  }
}

StreamCheck::Verdict StreamCheck::OnLine(const std::string& line) {
  const json document = json::parse(line, nullptr, false);
  if (!document.is_object()) {
    return Verdict::kWrong;
  }
  if (document.contains("start")) {
    const json& start = document["start"];
    resume_token_ = start.value("resume_token", "");
    return start.value("request", "") == request_ ? Verdict::kGoOn : Verdict::kWrong;
  }
  if (document.contains("text")) {
    return OnText(document);
  }
  if (document.contains("end")) {
    const bool complete = offset_ == expected_.size() &&
                          document["end"].value("tokens", std::uint64_t{0}) == max_tokens_;
    return complete ? Verdict::kWhole : Verdict::kWrong;
  }
  if (document.contains("error")) {
    const auto [code, ran] = CodeAndRan(document["error"]);
    error_ = code + "/" + ran;
    return Verdict::kError;
  }
  return Verdict::kWrong;
}

StreamCheck::Verdict StreamCheck::OnText(const json& line) {
  const std::string text = line["text"].is_string() ? line["text"].get<std::string>() : "";
  const bool contiguous = line.value("offset", std::size_t{0}) == offset_ &&
                          expected_.compare(offset_, text.size(), text) == 0;
  if (!contiguous) {
    return Verdict::kWrong;
  }
  offset_ += text.size();
  return Verdict::kText;
}

LoadCaller::LoadCaller(boost::asio::io_context& io,
                       HttpClient& http,
                       Locator& locator,
                       LoadReport& report)
    : io_(io), http_(http), locator_(locator), report_(report) {}

bool LoadCaller::Chat(const ChatTurn& turn, boost::asio::yield_context yield) {
  StreamCheck check(turn.request, turn.max_tokens);
  ChatTimes times{SteadyClock::now(), std::nullopt};
  std::size_t position = 0;
  ChatOutcome outcome = ChatOutcome::kUnreached;
  for (int connection = 0; connection < kMaxChatConnections; ++connection) {
    const auto addresses = locator_.Addresses(turn.workspace, turn.model, turn.chat, yield);
    if (addresses.empty()) {
      Pause(connection + 1, yield);
      continue;
    }
    outcome = ReadAnswer(addresses[position % addresses.size()], turn, check, times, yield);
    if (outcome == ChatOutcome::kWhole || outcome == ChatOutcome::kWrong ||
        outcome == ChatOutcome::kRefused) {
      break;
    }
    report_.cut += outcome == ChatOutcome::kCut ? 1 : 0;
    report_.failovers += outcome == ChatOutcome::kCut ? 0 : 1;
    if (++position >= addresses.size()) {
      locator_.Forget(turn.workspace, turn.chat);
      position = 0;
      Pause(connection, yield);
    }
  }
  return FinishChat(outcome, turn, check, times);
}

LoadCaller::ChatOutcome LoadCaller::ReadAnswer(const std::string& address,
                                               const ChatTurn& turn,
                                               StreamCheck& check,
                                               ChatTimes& times,
                                               boost::asio::yield_context yield) {
  json body = {{"request", turn.request},
               {"workspace", turn.workspace},
               {"model", turn.model},
               {"chat", turn.chat},
               {"turn", turn.turn},
               {"prompt_tokens", turn.prompt_tokens},
               {"max_tokens", turn.max_tokens},
               {"class", turn.request_class}};
  if (!turn.adapter.empty()) {
    body["adapter"] = turn.adapter;
  }
  if (turn.deadline_ms > 0) {
    body["deadline_ms"] = turn.deadline_ms;
  }
  const bool resumes = !check.resume_token().empty();
  if (resumes) {
    body["resume"] = {{"token", check.resume_token()}, {"offset", check.offset()}};
  }
  const std::size_t offset_before = check.offset();
  bool connected = false;
  try {
    HttpStream stream = http_.Open(
        address, {"POST", "/v1/chat", {{"Content-Type", "application/json"}}, body.dump()}, yield);
    connected = true;
    const ChatOutcome outcome = ReadLines(stream, check, times, yield);
    const bool went_on = check.offset() > offset_before || outcome == ChatOutcome::kWhole;
    report_.resumed += resumes && went_on ? 1 : 0;
    return outcome;
  } catch (const HttpError& error) {
    return connected || error.bytes_written() ? ChatOutcome::kCut : ChatOutcome::kUnreached;
  }
}

// A refusal with another status than 200 is one line without a newline.
LoadCaller::ChatOutcome LoadCaller::ReadLines(HttpStream& stream,
                                              StreamCheck& check,
                                              ChatTimes& times,
                                              boost::asio::yield_context yield) {
  if (stream.status() != kOk) {
    const std::string line = stream.ReadLine(yield).value_or("");
    const auto [code, ran] = CodeAndRan(json::parse(line, nullptr, false));
    if (ran == "no" && IsForAnotherInstance(code)) {
      return ChatOutcome::kElsewhere;
    }
    ++report_.refused[code + "/" + ran];
    return ChatOutcome::kRefused;
  }
  while (const auto line = stream.ReadLine(yield)) {
    switch (check.OnLine(*line)) {
      case StreamCheck::Verdict::kGoOn:
        break;
      case StreamCheck::Verdict::kText:
        NoteText(times);
        break;
      case StreamCheck::Verdict::kWhole:
        return ChatOutcome::kWhole;
      case StreamCheck::Verdict::kError:
        ++report_.refused[check.error()];
        return ChatOutcome::kRefused;
      case StreamCheck::Verdict::kWrong:
        return ChatOutcome::kWrong;
    }
  }
  return ChatOutcome::kCut;  // the body ended properly, but without the end mark
}

void LoadCaller::NoteText(ChatTimes& times) {
  const auto now = SteadyClock::now();
  if (times.last_text) {
    report_.token_gap.Add(MillisecondsBetween(*times.last_text, now));
  } else {
    report_.first_token.Add(MillisecondsBetween(times.start, now));
  }
  times.last_text = now;
}

bool LoadCaller::FinishChat(ChatOutcome outcome,
                            const ChatTurn& turn,
                            const StreamCheck& check,
                            const ChatTimes& times) {
  ++report_.chats;
  switch (outcome) {
    case ChatOutcome::kWhole:
      ++report_.whole;
      report_.tokens += turn.max_tokens;
      report_.chat_total.Add(MillisecondsBetween(times.start, SteadyClock::now()));
      return true;
    case ChatOutcome::kWrong:
      ++report_.wrong;
      return false;
    case ChatOutcome::kRefused:
      // A refusal after part of the answer leaves the caller without the rest.
      report_.lost += check.offset() > 0 ? 1 : 0;
      return false;
    default:
      ++report_.lost;
      return false;
  }
}

LoadCaller::Submission LoadCaller::Submit(const std::string& address,
                                          const Booking& booking,
                                          bool first,
                                          boost::asio::yield_context yield) {
  Submission submission;
  const HttpRequest request = {"POST",
                               "/v1/call/" + booking.service + "/" + booking.operation,
                               {{"Content-Type", "application/json"},
                                {"Idempotency-Key", booking.key},
                                {"X-First-Submission", first ? "true" : "false"},
                                {"X-Workspace", booking.workspace}},
                               json{{"key", booking.key}}.dump()};
  try {
    const HttpResponse response = http_.Send(address, request, yield, ConnectionUse::kFresh);
    submission.reached = true;
    submission.status = response.status;
    submission.body = response.body;
  } catch (const HttpError& error) {
    submission.not_run = !error.bytes_written();
    return submission;
  }
  if (submission.status != kOk) {
    const auto [code, ran] = CodeAndRan(json::parse(submission.body, nullptr, false));
    submission.code = code;
    submission.ran = ran;
    submission.not_run = ran == "no";
  }
  return submission;
}

// Repeats the key until there is an answer or a refusal that a repeat does not change.
LoadCaller::Submission LoadCaller::SubmitUntilSettled(const Booking& booking,
                                                      bool new_key,
                                                      boost::asio::yield_context yield) {
  Submission last;
  for (int attempt = 0; attempt < kMaxSubmissions; ++attempt) {
    Pause(attempt, yield);
    const auto addresses = locator_.Addresses(booking.workspace, booking.model, "", yield);
    if (addresses.empty()) {
      continue;
    }
    report_.repeats += new_key ? 0 : 1;
    last = Submit(addresses[attempt % addresses.size()], booking, new_key, yield);
    new_key = false;
    keys_[booking.key].every_submission_not_run &= last.not_run;
    if (last.reached && (last.status == kOk || IsFinalRefusal(last.code))) {
      break;
    }
    if (!last.reached) {
      ++report_.failovers;
      locator_.Forget(booking.workspace, "");
    }
  }
  return last;
}

void LoadCaller::Book(const Booking& booking, boost::asio::yield_context yield) {
  const auto start = SteadyClock::now();
  keys_[booking.key] = {};
  const Submission outcome = SubmitUntilSettled(booking, true, yield);
  ++report_.calls;
  if (!outcome.reached) {
    ++report_.unsettled;
    return;
  }
  if (outcome.status != kOk) {
    ++report_.refused[outcome.code + "/" + outcome.ran];
    return;
  }
  ++report_.answered;
  report_.call_total.Add(MillisecondsBetween(start, SteadyClock::now()));
  keys_[booking.key].answered = true;
  const json answer = json::parse(outcome.body, nullptr, false);
  bool right = answer.is_object() && answer.value("key", "") == booking.key;
  if (booking.repeat) {
    const Submission repeat = SubmitUntilSettled(booking, false, yield);
    // A repeat may be refused while the store is down, but never get another answer.
    right = right && (repeat.status != kOk || repeat.body == outcome.body);
  }
  report_.wrong_answers += right ? 0 : 1;
}

void LoadCaller::Pause(int attempt, boost::asio::yield_context yield) {
  if (attempt > 0) {
    boost::asio::steady_timer timer(io_, kPauseStep * attempt);
    timer.async_wait(yield);
  }
}

}  // namespace chiverail
