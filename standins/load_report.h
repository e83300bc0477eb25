#ifndef CHIVERAIL_STANDINS_LOAD_REPORT_H_
#define CHIVERAIL_STANDINS_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace chiverail {

// Collects measured times in milliseconds.
class Samples {
 public:
  void Add(double value_ms) { values_ms_.push_back(static_cast<float>(value_ms)); }
  std::size_t count() const { return values_ms_.size(); }

  // Returns the quantile for a share in [0, 1]; 0 without samples.
  double Quantile(double share) const;

  nlohmann::json ToJson() const;

 private:
  std::vector<float> values_ms_;
};

// Results of a run of the load generator.
struct LoadReport {
  double seconds = 0;        // from the first request to the last answer
  std::uint64_t sent = 0;    // started requests
  std::uint64_t unsent = 0;  // requests skipped because too many were open
  std::uint64_t locates = 0;
  std::uint64_t locate_failures = 0;
  std::uint64_t failovers = 0;  // retries after an address was unreachable or refused work

  std::uint64_t chats = 0;    // finished, with any outcome
  std::uint64_t whole = 0;    // with a complete and correct answer
  std::uint64_t wrong = 0;    // answer of another request, or with a gap or wrong text
  std::uint64_t cut = 0;      // number of interrupted streams
  std::uint64_t resumed = 0;  // number of resumed streams that delivered more of the answer
  std::uint64_t lost = 0;     // neither completed nor refused, or refused after part of the answer
  std::uint64_t tokens = 0;
  Samples first_token;
  Samples token_gap;
  Samples chat_total;

  std::uint64_t calls = 0;          // finished, with any outcome
  std::uint64_t answered = 0;       // finished with an answer
  std::uint64_t wrong_answers = 0;  // answer of another call, or different answers for one key
  std::uint64_t repeats = 0;        // submissions of a key after the first
  std::uint64_t unsettled = 0;      // neither answered nor refused
  Samples call_total;

  // Comparison with the executions that the plain upstreams have recorded.
  bool executions_read = false;
  std::uint64_t doubled = 0;        // keys that ran more than once
  std::uint64_t false_not_run = 0;  // keys that ran although all submissions were "not run"
  std::uint64_t missing = 0;        // keys that were answered but never ran

  std::map<std::string, std::uint64_t> refused;  // by "code/ran"

  // True if no answer was wrong, no key ran twice, no key ran although reported as not run, and at
  // least one request was completed: a run without any answer proves nothing.
  bool Sound() const;

  nlohmann::json ToJson() const;
  std::string ToText() const;
};

}  // namespace chiverail

#endif  // CHIVERAIL_STANDINS_LOAD_REPORT_H_
