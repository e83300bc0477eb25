#include "load_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace chiverail {
namespace {

using nlohmann::json;

std::string Line(const std::string& name, const Samples& samples) {
  std::ostringstream text;
  text << std::left << std::setw(12) << name << std::right << std::fixed << std::setprecision(2);
  text << " p50 " << std::setw(9) << samples.Quantile(0.50) << "  p95 " << std::setw(9)
       << samples.Quantile(0.95) << "  p99 " << std::setw(9) << samples.Quantile(0.99) << " ms  ("
       << samples.count() << ")\n";
  return text.str();
}

double Rate(std::uint64_t count, double seconds) {
  return seconds > 0 ? static_cast<double>(count) / seconds : 0;
}

}  // namespace

double Samples::Quantile(double share) const {
  if (values_ms_.empty()) {
    return 0;
  }
  std::vector<float> values = values_ms_;
  const auto position = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position),
                   values.end());
  return values[position];
}

json Samples::ToJson() const {
  return {{"count", count()},
          {"p50_ms", Quantile(0.50)},
          {"p95_ms", Quantile(0.95)},
          {"p99_ms", Quantile(0.99)}};
}

bool LoadReport::Sound() const {
  const bool vacuous = sent > 0 && whole + answered == 0;
  return !vacuous && wrong == 0 && wrong_answers == 0 && doubled == 0 && false_not_run == 0 &&
         missing == 0;
}

json LoadReport::ToJson() const {
  return {{"seconds", seconds},
          {"sent", sent},
          {"unsent", unsent},
          {"locates", locates},
          {"locate_failures", locate_failures},
          {"failovers", failovers},
          {"requests_per_second", Rate(whole + answered, seconds)},
          {"chats",
           {{"finished", chats},
            {"whole", whole},
            {"wrong", wrong},
            {"cut", cut},
            {"resumed", resumed},
            {"lost", lost},
            {"tokens", tokens},
            {"tokens_per_second", Rate(tokens, seconds)},
            {"first_token", first_token.ToJson()},
            {"token_gap", token_gap.ToJson()},
            {"total", chat_total.ToJson()}}},
          {"calls",
           {{"finished", calls},
            {"answered", answered},
            {"wrong", wrong_answers},
            {"repeats", repeats},
            {"unsettled", unsettled},
            {"executions_read", executions_read},
            {"doubled", doubled},
            {"false_not_run", false_not_run},
            {"missing", missing},
            {"total", call_total.ToJson()}}},
          {"refused", refused},
          {"sound", Sound()}};
}

std::string LoadReport::ToText() const {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << seconds << " s: sent " << sent
       << ", skipped at the concurrency limit " << unsent << ", completed "
       << Rate(whole + answered, seconds) << "/s, " << Rate(tokens, seconds) << " tokens/s\n"
       << "locate: " << locates << " requests, " << locate_failures
       << " failed; failovers to another address: " << failovers << "\n"
       << "chats: " << chats << " finished, " << whole << " complete, " << wrong << " wrong, "
       << cut << " cut, " << resumed << " resumed, " << lost << " lost\n"
       << "calls: " << calls << " finished, " << answered << " answered, " << wrong_answers
       << " wrong, " << repeats << " repeats, " << unsettled << " unsettled\n";
  if (executions_read) {
    text << "executions: " << doubled << " keys executed more than once, " << false_not_run
         << " executed although reported as not run, " << missing << " answered but not executed\n";
  } else {
    text << "executions: not read from the upstreams\n";
  }
  for (const auto& [reason, count] : refused) {
    text << "refused " << reason << ": " << count << "\n";
  }
  text << Line("first token", first_token) << Line("token gap", token_gap)
       << Line("chat", chat_total) << Line("call", call_total);
  return text.str();
}

}  // namespace chiverail
