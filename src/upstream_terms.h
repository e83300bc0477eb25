#ifndef CHIVERAIL_UPSTREAM_TERMS_H_
#define CHIVERAIL_UPSTREAM_TERMS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace chiverail {

// What an answer of an upstream says about the requests that it wants.
struct StatedTerms {
  // Requests per second that it takes from all instances together; 0 if it names no limit.
  double request_limit = 0;
  // The answer names a limit that can't be read: nothing changes.
  bool malformed = false;
};

// Reads the values of the header field with the request limit, one for each time that it occurs in
// an answer: a decimal number without sign or exponent. No value and 0 mean no limit.
StatedTerms ParseRequestLimit(const std::vector<std::string_view>& values);

// The terms of an upstream that an instance tells the others.
struct UpstreamTermsEntry {
  std::uint32_t tag = 0;             // UpstreamTag of the upstream
  std::uint32_t limit_per_1000 = 0;  // requests in 1,000 s; 0 if the limit has ended
  Duration age{};                    // since the answer; whole milliseconds in messages
};

// What upstreams ask of the instances that send them requests, from their answers to this instance
// and, through the exchange, to others. The newest answer counts, whoever got it.
//
// A limit holds for the fleet. It is divided into whole requests in a window of some seconds:
// instances that rank high for the upstream may send one more than those that rank low, or one
// where these may send none. Fractions of a request for each instance, as token buckets, would add
// up to a multiple of a small limit in a large fleet.
class UpstreamTerms {
 public:
  // A window in which an instance's requests to an upstream are counted, and how many it may send.
  struct Allowance {
    Duration window{};
    std::size_t requests = 0;
  };

  // Records what an answer of an upstream to this instance says. Returns true if the limit has
  // changed, which the others should be told at once.
  bool OnAnswer(std::uint32_t tag, const StatedTerms& stated, TimePoint now);

  // Merges what another instance knows.
  void Merge(const std::vector<UpstreamTermsEntry>& news, TimePoint now);

  // What the others are told: limits in force and those that have ended a short while ago, at most
  // kMaxEntries, the newest first.
  std::vector<UpstreamTermsEntry> News(TimePoint now) const;

  // Returns the limit of an upstream in requests per second; nothing if it has none.
  std::optional<double> LimitOf(std::uint32_t tag, TimePoint now) const;

  // Returns how many requests `self` may send to an upstream with a limit; nothing if it has none.
  // `instances` may all send it requests.
  std::optional<Allowance> AllowanceOf(std::uint32_t tag,
                                       const std::vector<InstanceId>& instances,
                                       const InstanceId& self,
                                       TimePoint now) const;

  // An upstream has been started again: it has not said anything yet.
  void Forget(std::uint32_t tag) { terms_.erase(tag); }

  // Removes terms that nobody has heard of for long.
  void Expire(TimePoint now);

  // True if no upstream has named a limit recently.
  bool empty() const { return terms_.empty(); }

  // Number of upstreams with a limit.
  std::size_t limited(TimePoint now) const;

  // Limits in one message.
  static constexpr std::size_t kMaxEntries = 256;

 private:
  // Requests are counted over a little more than the 4 s over which upstreams are to judge them,
  // since those that are sent in adjacent windows can arrive within the same one.
  static constexpr Duration kWindow = milliseconds(4200);

  // An upstream with a limit below one request in this time gets one in it.
  static constexpr Duration kMaxWindow = seconds(10);

  // A limit that no answer has confirmed for this long has ended: the upstream may have no instance
  // that could ask it.
  static constexpr Duration kLifetime = seconds(30);

  // An ended limit is told to others for this long.
  static constexpr Duration kEndNews = seconds(5);

  struct Terms {
    double limit = 0;
    TimePoint stated_at{};
  };

  std::map<std::uint32_t, Terms> terms_;
};

// Divides `requests` between the instances so that the parts add up to it: each gets a whole
// number, and those that rank high for the upstream one more. Returns the part of `self`.
std::size_t FleetShare(std::size_t requests,
                       const std::vector<InstanceId>& instances,
                       const InstanceId& self,
                       std::uint32_t tag);

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_TERMS_H_
