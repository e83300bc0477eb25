#include "upstream_terms.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <xxhash.h>

namespace chiverail {
namespace {

// Longest text of a limit that is read, and the largest limit; larger ones are none.
constexpr std::size_t kMaxLimitText = 16;
constexpr double kMaxLimit = 4'000'000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

StatedTerms ParseRequestLimit(const std::vector<std::string_view>& values) {
  StatedTerms stated;
  if (values.empty()) {
    return stated;
  }
  const std::string_view text = values.front();
  const bool decimal = !text.empty() && text.size() <= kMaxLimitText && text.front() != '.' &&
                       text.back() != '.' && std::all_of(text.begin(), text.end(), [](char c) {
                         return (c >= '0' && c <= '9') || c == '.';
                       });
  const auto result = std::from_chars(text.data(), text.data() + text.size(), stated.request_limit);
  if (values.size() > 1 || !decimal || result.ec != std::errc() ||
      result.ptr != text.data() + text.size()) {
    stated.request_limit = 0;
    stated.malformed = true;
  } else if (stated.request_limit > kMaxLimit) {
    stated.request_limit = 0;
  }
  return stated;
}

bool UpstreamTerms::OnAnswer(std::uint32_t tag, const StatedTerms& stated, TimePoint now) {
  const auto known = terms_.find(tag);
  const bool limited = known != terms_.end() && known->second.limit > 0;
  if (stated.malformed || (!limited && stated.request_limit <= 0)) {
    return false;
  }
  const double before = limited ? known->second.limit : 0;
  terms_[tag] = {stated.request_limit, now};
  return before != stated.request_limit;
}

void UpstreamTerms::Merge(const std::vector<UpstreamTermsEntry>& news, TimePoint now) {
  for (const UpstreamTermsEntry& entry : news) {
    const TimePoint stated_at = now - entry.age;
    Terms& terms = terms_[entry.tag];
    if (stated_at > terms.stated_at) {
      terms = {entry.limit_per_1000 / 1000.0, stated_at};
    }
  }
}

std::vector<UpstreamTermsEntry> UpstreamTerms::News(TimePoint now) const {
  std::vector<UpstreamTermsEntry> news;
  for (const auto& [tag, terms] : terms_) {
    const Duration age = now - terms.stated_at;
    if (age < (terms.limit > 0 ? kLifetime : kEndNews)) {
      // A limit that is not 0 must not become one.
      const auto limit = static_cast<std::uint32_t>(std::ceil(terms.limit * 1000));
      news.push_back({tag, limit, age});
    }
  }
  if (news.size() > kMaxEntries) {
    std::nth_element(news.begin(), news.begin() + kMaxEntries, news.end(),
                     [](const auto& a, const auto& b) { return a.age < b.age; });
    news.resize(kMaxEntries);
  }
  return news;
}

std::optional<double> UpstreamTerms::LimitOf(std::uint32_t tag, TimePoint now) const {
  const auto found = terms_.find(tag);
  if (found == terms_.end() || found->second.limit <= 0 ||
      found->second.stated_at + kLifetime <= now) {
    return std::nullopt;
  }
  return found->second.limit;
}

std::optional<UpstreamTerms::Allowance> UpstreamTerms::AllowanceOf(
    std::uint32_t tag,
    const std::vector<InstanceId>& instances,
    const InstanceId& self,
    TimePoint now) const {
  const auto limit = LimitOf(tag, now);
  if (!limit) {
    return std::nullopt;
  }
  // The window is long enough for one request, so that the upstream is asked at all.
  Allowance allowance;
  const double one_request_s = std::min(1 / *limit, Seconds(kMaxWindow));
  allowance.window = std::max<Duration>(
      kWindow, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(one_request_s)));
  const double requests = std::max(1.0, std::floor(*limit * Seconds(allowance.window)));
  allowance.requests = FleetShare(static_cast<std::size_t>(requests), instances, self, tag);
  return allowance;
}

void UpstreamTerms::Expire(TimePoint now) {
  for (auto entry = terms_.begin(); entry != terms_.end();) {
    entry = entry->second.stated_at + kLifetime <= now ? terms_.erase(entry) : std::next(entry);
  }
}

std::size_t UpstreamTerms::limited(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(terms_.begin(), terms_.end(),
                    [&](const auto& entry) { return LimitOf(entry.first, now).has_value(); }));
}

std::size_t FleetShare(std::size_t requests,
                       const std::vector<InstanceId>& instances,
                       const InstanceId& self,
                       std::uint32_t tag) {
  const std::size_t count = std::max<std::size_t>(1, instances.size());
  const std::size_t each = requests / count;
  const std::size_t left = requests % count;
  const auto rank = [tag](const InstanceId& instance) {
    return XXH64(instance.data(), instance.size(), tag);
  };
  const std::uint64_t own = rank(self);
  const auto before =
      std::count_if(instances.begin(), instances.end(),
                    [&](const InstanceId& other) { return other != self && rank(other) > own; });
  return each + (static_cast<std::size_t>(before) < left ? 1 : 0);
}

}  // namespace chiverail
