#ifndef CHIVERAIL_STANDINS_LOAD_CALLER_H_
#define CHIVERAIL_STANDINS_LOAD_CALLER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "http_client.h"
#include "load_report.h"

namespace chiverail {

// Sends locate requests to instances and caches each answer for its time to live, as callers do.
class Locator {
 public:
  // `instances` are the instance addresses from the caller's configuration.
  Locator(HttpClient& http, std::vector<std::string> instances, LoadReport& report);

  // Returns the addresses for a chat, best first. Empty if no instance answers.
  std::vector<std::string> Addresses(const std::string& workspace,
                                     const std::string& model,
                                     const std::string& chat,
                                     boost::asio::yield_context yield);

  // Removes the cached answer; called after its addresses have failed.
  void Invalidate(const std::string& workspace, const std::string& chat);

 private:
  struct Entry {
    std::vector<std::string> addresses;
    std::chrono::steady_clock::time_point expires;
  };
  std::optional<Entry> Query(const std::string& address,
                             const std::string& target,
                             boost::asio::yield_context yield);

  HttpClient& http_;
  std::vector<std::string> instances_;
  LoadReport& report_;
  std::map<std::string, Entry> cache_;  // by workspace and chat
  std::size_t next_instance_ = 0;
};

// Checks the lines of one answer across all connections on which it arrives: the id of the request,
// bytes without gaps or duplicates, the text of the upstream stand-in, and the end line.
class StreamCheck {
 public:
  enum class Verdict : std::uint8_t { kContinue, kText, kComplete, kError, kMismatch };

  StreamCheck(std::string request, std::uint32_t max_tokens);

  Verdict OnLine(const std::string& line);

  // Number of bytes received so far.
  std::size_t offset() const { return offset_; }

  // Token for resuming the answer; empty before the start line was received.
  const std::string& resume_token() const { return resume_token_; }

  // "code/ran" of the error line.
  const std::string& error() const { return error_; }

 private:
  Verdict OnText(const nlohmann::json& line);

  std::string request_;
  std::string expected_;  // whole text of the answer
  std::uint32_t max_tokens_;
  std::size_t offset_ = 0;
  std::string resume_token_;
  std::string error_;
};

// One turn of a chat.
struct ChatTurn {
  std::string request;
  std::string workspace;
  std::string model;
  std::string adapter;
  std::string chat;
  std::uint32_t turn = 1;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  std::string request_class;
  std::uint32_t deadline_ms = 0;  // 0 means none
};

// One non-idempotent call of a service.
struct LoadCall {
  std::string workspace;
  std::string service;
  std::string operation;
  std::string model;  // only for the locate request
  std::string key;
  bool repeat = false;  // submit the key again after the answer
};

// Outcome of all submissions of an idempotency key.
struct KeyRecord {
  bool answered = false;
  bool every_submission_not_run = true;
};

// Sends chats and calls as a caller does: to the first address of the locate answer, and to the
// next one if an address is unreachable or accepts no work. Resumes cut streams at another address.
class LoadCaller {
 public:
  LoadCaller(boost::asio::io_context& io, HttpClient& http, Locator& locator, LoadReport& report);

  // Sends one turn. Returns whether the complete answer arrived.
  bool Chat(const ChatTurn& turn, boost::asio::yield_context yield);

  // Sends one call and records the outcome of its key.
  void SendCall(const LoadCall& call, boost::asio::yield_context yield);

  // Outcomes by key.
  const std::map<std::string, KeyRecord>& keys() const { return keys_; }

 private:
  enum class ChatOutcome : std::uint8_t {
    kComplete,
    kMismatch,
    kRefused,
    kNotAccepting,
    kUnreachable,
    kCut
  };
  struct Submission {
    bool reached = false;  // a complete response arrived
    bool not_run = false;  // the submission is known not to have run
    int status = 0;
    std::string body;
    std::string code;
    std::string ran;
  };
  struct ChatTimes {
    std::chrono::steady_clock::time_point start;
    std::optional<std::chrono::steady_clock::time_point> last_text;
  };

  ChatOutcome ReadAnswer(const std::string& address,
                         const ChatTurn& turn,
                         StreamCheck& check,
                         ChatTimes& times,
                         boost::asio::yield_context yield);
  ChatOutcome ReadLines(HttpStream& stream,
                        StreamCheck& check,
                        ChatTimes& times,
                        boost::asio::yield_context yield);
  bool FinishChat(ChatOutcome outcome,
                  const ChatTurn& turn,
                  const StreamCheck& check,
                  const ChatTimes& times);
  void RecordText(ChatTimes& times);
  Submission Submit(const std::string& address,
                    const LoadCall& call,
                    bool first,
                    boost::asio::yield_context yield);
  Submission SubmitUntilFinal(const LoadCall& call, bool new_key, boost::asio::yield_context yield);
  void Backoff(int attempt, boost::asio::yield_context yield);

  boost::asio::io_context& io_;
  HttpClient& http_;
  Locator& locator_;
  LoadReport& report_;
  std::map<std::string, KeyRecord> keys_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_STANDINS_LOAD_CALLER_H_
