#include "upstream_terms.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <xxhash.h>

namespace chiverail {
namespace {

// Longest text of a number that is read.
constexpr std::size_t kMaxNumberText = 16;

// Limits above this are none.
constexpr double kMaxLimit = 4'000'000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Reads a decimal number without sign or exponent that occurs once; nothing if it can't be read.
std::optional<double> Decimal(const std::vector<std::string_view>& values) {
  const std::string_view text = values.size() == 1 ? values.front() : std::string_view{};
  const bool decimal = !text.empty() && text.size() <= kMaxNumberText && text.front() != '.' &&
                       text.back() != '.' && std::all_of(text.begin(), text.end(), [](char c) {
                         return (c >= '0' && c <= '9') || c == '.';
                       });
  double value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (!decimal || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

StatedTerms ReadTerms(const TermsFields& fields, Duration max_rest) {
  StatedTerms stated;
  if (!fields.request_limit.empty()) {
    const auto limit = Decimal(fields.request_limit);
    stated.malformed = !limit;
    stated.request_limit = limit && *limit <= kMaxLimit ? *limit : 0;
  }
  stated.leaving = !fields.leaving.empty() && fields.leaving.front() == "1";
  if (!fields.retry_after.empty()) {
    const auto rest_s = Decimal(fields.retry_after);
    stated.malformed = stated.malformed || !rest_s;
    stated.rest = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(rest_s.value_or(0), Seconds(max_rest))));
  }
  return stated;
}

bool UpstreamTerms::IsOver(const Terms& terms, TimePoint now) {
  const auto passed = [now](TimePoint at, Duration lifetime) {
    return at == TimePoint{} || at + lifetime <= now;
  };
  return passed(terms.limit_at, terms.limit > 0 ? kLimitLifetime : kEndNews) &&
         passed(terms.leaving_at, kLeavingLifetime) && terms.rests_until <= now &&
         terms.others_rest_until <= now;
}

bool UpstreamTerms::OnAnswer(std::uint32_t run,
                             const StatedTerms& stated,
                             double spread,
                             TimePoint now) {
  const auto known = terms_.find(run);
  const bool limited = known != terms_.end() && known->second.limit > 0;
  const bool names_limit = stated.request_limit > 0;
  const bool says_nothing = !names_limit && !stated.leaving && stated.rest <= Duration::zero();
  if (says_nothing && (!limited || stated.malformed)) {
    return false;
  }
  Terms& terms = terms_[run];
  bool news = false;
  if (!stated.malformed && (names_limit || limited)) {
    news = terms.limit != stated.request_limit;
    terms.limit = stated.request_limit;
    terms.limit_at = now;
  }
  if (stated.leaving) {
    news = news || terms.leaving_at == TimePoint{};
    terms.leaving_at = now;
  }
  if (stated.rest > Duration::zero()) {
    const auto later = std::chrono::duration_cast<Duration>(
        std::max<Duration>(kMinReturn,
                           std::chrono::duration_cast<Duration>(stated.rest * kReturnShare)) *
        spread);
    news = news || terms.rests_until <= now;
    terms.rests_until = std::max<TimePoint>(terms.rests_until, now + stated.rest + later);
  }
  return news;
}

void UpstreamTerms::Merge(const std::vector<UpstreamTermsEntry>& news, TimePoint now) {
  for (const UpstreamTermsEntry& entry : news) {
    Terms& terms = terms_[entry.run];
    if (entry.has_limit && now - entry.limit_age > terms.limit_at) {
      terms.limit = entry.limit_per_1000 / 1000.0;
      terms.limit_at = now - entry.limit_age;
    }
    if (entry.leaving && terms.leaving_at == TimePoint{}) {
      terms.leaving_at = now;
    }
    terms.others_rest_until = std::max(terms.others_rest_until, now + entry.rest);
  }
}

std::vector<UpstreamTermsEntry> UpstreamTerms::News(TimePoint now) const {
  std::vector<UpstreamTermsEntry> news;
  for (const auto& [run, terms] : terms_) {
    if (IsOver(terms, now) || news.size() == kMaxEntries) {
      continue;
    }
    UpstreamTermsEntry entry;
    entry.run = run;
    entry.has_limit = terms.limit_at != TimePoint{} &&
                      now < terms.limit_at + (terms.limit > 0 ? kLimitLifetime : kEndNews);
    if (entry.has_limit) {
      // A limit that is not 0 must not become one.
      entry.limit_per_1000 = static_cast<std::uint32_t>(std::ceil(terms.limit * 1000));
      entry.limit_age = now - terms.limit_at;
    }
    entry.leaving = terms.leaving_at != TimePoint{} && now < terms.leaving_at + kLeavingLifetime;
    entry.rest = std::clamp<Duration>(terms.rests_until - now, Duration::zero(), kMaxRestNews);
    if (entry.has_limit || entry.leaving || entry.rest > Duration::zero()) {
      news.push_back(entry);
    }
  }
  return news;
}

UpstreamTerms::Standing UpstreamTerms::StandingOf(std::uint32_t run, TimePoint now) const {
  Standing standing;
  const auto found = terms_.find(run);
  if (found == terms_.end()) {
    return standing;
  }
  const Terms& terms = found->second;
  standing.leaving = terms.leaving_at != TimePoint{} && now < terms.leaving_at + kLeavingLifetime;
  standing.resting = now < terms.rests_until;
  standing.resting_until = terms.rests_until;
  standing.others_rest = now < terms.others_rest_until;
  return standing;
}

std::optional<double> UpstreamTerms::LimitOf(std::uint32_t run, TimePoint now) const {
  const auto found = terms_.find(run);
  if (found == terms_.end() || found->second.limit <= 0 ||
      found->second.limit_at + kLimitLifetime <= now) {
    return std::nullopt;
  }
  return found->second.limit;
}

std::optional<UpstreamTerms::Allowance> UpstreamTerms::AllowanceOf(
    std::uint32_t run,
    const std::vector<InstanceId>& instances,
    const InstanceId& self,
    TimePoint now) const {
  const auto limit = LimitOf(run, now);
  if (!limit) {
    return std::nullopt;
  }
  // The window is long enough for one request, so that the upstream is asked at all.
  Allowance allowance;
  const double one_request_s = std::min(1 / *limit, Seconds(kMaxWindow));
  allowance.window = std::max<Duration>(
      kWindow, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(one_request_s)));
  const double requests = std::max(1.0, std::floor(*limit * Seconds(allowance.window)));
  allowance.requests = FleetShare(static_cast<std::size_t>(requests), instances, self, run);
  return allowance;
}

void UpstreamTerms::Expire(TimePoint now) {
  for (auto entry = terms_.begin(); entry != terms_.end();) {
    entry = IsOver(entry->second, now) ? terms_.erase(entry) : std::next(entry);
  }
}

UpstreamTerms::Counts UpstreamTerms::CountTerms(TimePoint now) const {
  Counts counts;
  for (const auto& [run, terms] : terms_) {
    const Standing standing = StandingOf(run, now);
    counts.limited += LimitOf(run, now) ? 1 : 0;
    counts.leaving += standing.leaving ? 1 : 0;
    counts.resting += standing.resting ? 1 : 0;
  }
  return counts;
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
