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
  bool leaving = false;    // it is about to end and wants no new requests
  Duration rest{};         // time for which it wants nothing from this instance
  bool malformed = false;  // a field can't be read; what it is about stays as it is
};

// Header fields of an answer that state terms, one value for each time that a field occurs.
struct TermsFields {
  std::vector<std::string_view> request_limit;  // a decimal number without sign or exponent
  std::vector<std::string_view> leaving;        // "1"
  // Seconds, as a decimal number without sign or exponent; only read in answers that turn a
  // request away.
  std::vector<std::string_view> retry_after;
};

// Reads the terms that an answer states. A rest is at most `max_rest`.
StatedTerms ReadTerms(const TermsFields& fields, Duration max_rest);

// The terms of an upstream that an instance tells the others.
struct UpstreamTermsEntry {
  std::uint32_t run = 0;             // RunTag of the upstream
  bool has_limit = false;            // the limit is known, or that there is none any more
  std::uint32_t limit_per_1000 = 0;  // requests in 1,000 s; 0 if the limit has ended
  Duration limit_age{};              // since the answer with it; whole milliseconds in messages
  bool leaving = false;
  Duration rest{};  // left of the time for which it wants nothing from the sender; likewise
};

// What upstreams ask of the instances that send them requests, from their answers to this instance
// and, through the exchange, to others. The newest answer counts, whoever got it. All belongs to a
// run of an upstream, and is void for the next one.
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

  // What holds for requests to an upstream now.
  struct Standing {
    bool leaving = false;
    bool resting = false;       // it has turned this instance away for a while
    bool others_rest = false;   // it has turned others away for a while
    TimePoint resting_until{};  // if resting
  };

  // Records what an answer of an upstream to this instance says. `spread` from 0 to 1 differs
  // between instances: those that were turned away come back one after the other. Returns true if
  // the others should be told at once.
  bool OnAnswer(std::uint32_t run, const StatedTerms& stated, double spread, TimePoint now);

  // Merges what another instance knows.
  void Merge(const std::vector<UpstreamTermsEntry>& news, TimePoint now);

  // What the others are told: what is in force and limits that have ended a short while ago, at
  // most kMaxEntries.
  std::vector<UpstreamTermsEntry> News(TimePoint now) const;

  Standing StandingOf(std::uint32_t run, TimePoint now) const;

  // Returns the limit of an upstream in requests per second; nothing if it has none.
  std::optional<double> LimitOf(std::uint32_t run, TimePoint now) const;

  // Returns how many requests `self` may send to an upstream with a limit; nothing if it has none.
  // `instances` may all send it requests.
  std::optional<Allowance> AllowanceOf(std::uint32_t run,
                                       const std::vector<InstanceId>& instances,
                                       const InstanceId& self,
                                       TimePoint now) const;

  // Removes terms that are over.
  void Expire(TimePoint now);

  // True if nothing is known of any upstream.
  bool empty() const { return terms_.empty(); }

  // Numbers of upstreams that have asked for something.
  struct Counts {
    std::size_t limited = 0;
    std::size_t leaving = 0;
    std::size_t resting = 0;
  };
  Counts CountTerms(TimePoint now) const;

  // Upstreams in one message.
  static constexpr std::size_t kMaxEntries = 256;

 private:
  // Requests are counted over a little more than the 4 s over which upstreams are to judge them,
  // since those that are sent in adjacent windows can arrive within the same one.
  static constexpr Duration kWindow = milliseconds(4200);

  // An upstream with a limit below one request in this time gets one in it.
  static constexpr Duration kMaxWindow = seconds(10);

  // A limit that no answer has confirmed for this long has ended: the upstream may have no instance
  // that could ask it.
  static constexpr Duration kLimitLifetime = seconds(30);

  // An upstream that leaves ends within seconds. One that is still listed after this time is tried
  // again.
  static constexpr Duration kLeavingLifetime = seconds(300);

  // An ended limit is told to others for this long.
  static constexpr Duration kEndNews = seconds(5);

  // Longer rests are told to others as this one, and again later.
  static constexpr Duration kMaxRestNews = seconds(60);

  // After a rest, the instances come back within this share of it, and within kMinReturn at least.
  static constexpr double kReturnShare = 0.1;
  static constexpr Duration kMinReturn = milliseconds(400);

  struct Terms {
    double limit = 0;
    TimePoint limit_at{};    // when the limit was stated, or that there is none; zero if never
    TimePoint leaving_at{};  // zero if it does not leave
    TimePoint rests_until{};
    TimePoint others_rest_until{};
  };

  static bool IsOver(const Terms& terms, TimePoint now);

  std::map<std::uint32_t, Terms> terms_;  // by run
};

// Divides `requests` between the instances so that the parts add up to it: each gets a whole
// number, and those that rank high for the upstream one more. Returns the part of `self`.
std::size_t FleetShare(std::size_t requests,
                       const std::vector<InstanceId>& instances,
                       const InstanceId& self,
                       std::uint32_t tag);

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_TERMS_H_
