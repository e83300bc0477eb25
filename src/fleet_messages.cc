#include "fleet_messages.h"

#include <algorithm>

#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "json_fields.h"
#include "message_json.h"
#include "quarantine_codec.h"
#include "table_version.h"

namespace chiverail {
namespace {

using nlohmann::json;

// First element of each message; changes with every release that changes the format.
constexpr int kFormatVersion = 11;

// Second element: the type of the message.
constexpr int kReportType = 0;
constexpr int kForwardType = 1;
constexpr int kSummaryType = 2;

// Bits of InstanceInfo's flags.
constexpr unsigned kAcceptingFlag = 1;
constexpr unsigned kLeavingFlag = 2;
constexpr unsigned kStoreReachableFlag = 4;

// Names of instances and data centres are identifiers of the settings.
constexpr std::size_t kMaxNameBytes = 200;

// Deepest nesting of a valid message. The parser calls itself for each level, so a datagram of
// nothing but array headers could otherwise exhaust the stack.
constexpr std::size_t kMaxDepth = 6;

class ShallowParser : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<json>;
  using Base::Base;

  bool start_array(std::size_t length) {
    return ++depth_ <= kMaxDepth && Base::start_array(length);
  }
  bool end_array() {
    --depth_;
    return Base::end_array();
  }
  bool start_object(std::size_t) { return false; }  // messages contain no objects

 private:
  std::size_t depth_ = 0;
};

// Names end up in logs and JSON documents.
bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

json Encode(const InstanceInfo& info) {
  const unsigned flags = (info.accepting ? kAcceptingFlag : 0u) |
                         (info.leaving ? kLeavingFlag : 0u) |
                         (info.store_reachable ? kStoreReachableFlag : 0u);
  return json::array({info.instance, info.start_id, info.revision, info.peer_address,
                      info.caller_address, info.data_centre, info.capacity, flags});
}

InstanceInfo InfoFrom(const json& list) {
  InstanceInfo info;
  info.instance = list.at(0).get<std::string>();
  info.start_id = list.at(1).get<std::uint64_t>();
  info.revision = list.at(2).get<std::uint64_t>();
  info.peer_address = list.at(3).get<std::string>();
  info.caller_address = list.at(4).get<std::string>();
  info.data_centre = list.at(5).get<std::string>();
  info.capacity = TagFrom(list.at(6));
  const auto flags = list.at(7).get<unsigned>();
  info.accepting = (flags & kAcceptingFlag) != 0;
  info.leaving = (flags & kLeavingFlag) != 0;
  info.store_reachable = (flags & kStoreReachableFlag) != 0;
  const bool addresses_valid =
      IsSocketAddress(info.peer_address) &&
      (info.caller_address.empty() || IsSocketAddress(info.caller_address));
  if (!IsName(info.instance) || !IsName(info.data_centre) || !addresses_valid) {
    throw MalformedMessage("invalid name or address");
  }
  return info;
}

json Encode(const std::vector<UpstreamLoad>& loads) {
  json list = json::array();
  for (const UpstreamLoad& load : loads) {
    list.push_back(load.tag);
    list.push_back(load.requests);
  }
  return list;
}

std::vector<UpstreamLoad> LoadsFrom(const json& list) {
  std::vector<UpstreamLoad> loads;
  for (std::size_t i = 0; i < Records(list, 2).size(); i += 2) {
    loads.push_back({TagFrom(list[i]), CountFrom(list[i + 1])});
  }
  return loads;
}

json Encode(const std::vector<ServiceUse>& services) {
  json list = json::array();
  for (const ServiceUse& use : services) {
    list.push_back(use.service);
    list.push_back(use.requests);
    list.push_back(use.retries);
  }
  return list;
}

std::vector<ServiceUse> ServicesFrom(const json& list) {
  std::vector<ServiceUse> services;
  for (std::size_t i = 0; i < Records(list, 3).size(); i += 3) {
    services.push_back({TagFrom(list[i]), CountFrom(list[i + 1]), CountFrom(list[i + 2])});
  }
  return services;
}

json Encode(const InstanceWork& work) {
  return json::array({work.key, work.sequence, WholeMilliseconds(work.age), Encode(work.loads),
                      Encode(work.services)});
}

InstanceWork WorkFrom(const json& list) {
  InstanceWork work;
  work.key = TagFrom(list.at(0));
  work.sequence = list.at(1).get<std::uint64_t>();
  work.age = AgeFrom(list.at(2));
  work.loads = LoadsFrom(list.at(3));
  work.services = ServicesFrom(list.at(4));
  return work;
}

json Encode(const RosterChanges& roster) {
  json entries = json::array();
  for (const RosterEntry& entry : roster.entries) {
    entries.push_back(Encode(entry.info));
    entries.push_back(entry.live);
  }
  return json::array({roster.from, roster.version, roster.more, std::move(entries)});
}

RosterChanges RosterFrom(const json& list) {
  RosterChanges roster;
  roster.from = list.at(0).get<std::uint64_t>();
  roster.version = list.at(1).get<std::uint64_t>();
  roster.more = list.at(2).get<bool>();
  const json& entries = Records(list.at(3), 2);
  for (std::size_t i = 0; i < entries.size(); i += 2) {
    roster.entries.push_back({InfoFrom(entries[i]), entries[i + 1].get<bool>()});
  }
  if (roster.version < roster.from) {
    throw MalformedMessage("roster version before its start");
  }
  return roster;
}

json Encode(const RosterAck& ack) {
  return json::array({ack.source, ack.version});
}

RosterAck AckFrom(const json& list) {
  return {TagFrom(list.at(0)), list.at(1).get<std::uint64_t>()};
}

json Encode(const std::vector<CachedSegment>& segments) {
  json list = json::array();
  for (const CachedSegment& segment : segments) {
    list.push_back(segment.segment_hash);
    list.push_back(segment.upstream);
  }
  return list;
}

std::vector<CachedSegment> SegmentsFrom(const json& list) {
  std::vector<CachedSegment> segments;
  for (std::size_t i = 0; i < Records(list, 2).size(); i += 2) {
    segments.push_back({TagFrom(list[i]), TagFrom(list[i + 1])});
  }
  return segments;
}

json Encode(const std::vector<TableNotice>& notices) {
  json list = json::array();
  for (const TableNotice& notice : notices) {
    list.push_back(notice.table);
    list.push_back(CounterOf(notice.version));
    list.push_back(WholeMilliseconds(notice.age));
    list.push_back(notice.source);
  }
  return list;
}

// The eras of the notices' versions follow at the end of a message: processes of builds without
// them read the message up to there.
json EncodeEras(const std::vector<TableNotice>& notices) {
  json list = json::array();
  for (const TableNotice& notice : notices) {
    list.push_back(notice.has_era ? json(EraOf(notice.version)) : json());
  }
  return list;
}

void SetEras(std::vector<TableNotice>& notices, const json& message, std::size_t position) {
  const bool stated = position < message.size();
  if (stated && message[position].size() != notices.size()) {
    throw MalformedMessage("eras of other notices");
  }
  for (std::size_t i = 0; i < notices.size(); ++i) {
    notices[i].has_era = stated && !message[position][i].is_null();
    if (!notices[i].has_era) {
      continue;
    }
    const auto era = message[position][i].get<std::uint64_t>();
    if (era > kMaxTableEra) {
      throw MalformedMessage("era of a table out of range");
    }
    notices[i].version = VersionIn(era, notices[i].version);
  }
}

std::vector<TableNotice> NoticesFrom(const json& list) {
  std::vector<TableNotice> notices;
  for (std::size_t i = 0; i < Records(list, 4).size(); i += 4) {
    TableNotice notice{list[i].get<std::string>(), list[i + 1].get<std::uint64_t>(),
                       AgeFrom(list[i + 2]), list[i + 3].get<std::string>()};
    if (notice.version > kMaxVersionCounter) {
      throw MalformedMessage("version of a table out of range");
    }
    if (!notice.source.empty() && !IsSocketAddress(notice.source)) {
      throw MalformedMessage("source of rows is no address");
    }
    notices.push_back(std::move(notice));
  }
  return notices;
}

json Encode(const std::vector<UpstreamTermsEntry>& terms) {
  json list = json::array();
  for (const UpstreamTermsEntry& entry : terms) {
    list.push_back(entry.run);
    list.push_back(entry.has_limit);
    list.push_back(entry.limit_per_1000);
    list.push_back(WholeMilliseconds(entry.limit_age));
    list.push_back(entry.leaving);
    list.push_back(WholeMilliseconds(entry.rest));
  }
  return list;
}

std::vector<UpstreamTermsEntry> TermsFrom(const json& list) {
  std::vector<UpstreamTermsEntry> terms;
  if (Records(list, 6).size() > 6 * UpstreamTerms::kMaxEntries) {
    throw MalformedMessage("terms of too many upstreams");
  }
  for (std::size_t i = 0; i < list.size(); i += 6) {
    terms.push_back({TagFrom(list[i]), list[i + 1].get<bool>(), TagFrom(list[i + 2]),
                     AgeFrom(list[i + 3]), list[i + 4].get<bool>(), AgeFrom(list[i + 5])});
  }
  return terms;
}

json Encode(const MessageTiming& timing) {
  return json::array({timing.sent_ms, timing.echo_key, timing.echo_ms, timing.held_ms});
}

// Larger values could overflow when they are converted.
std::uint64_t ClockFrom(const json& value) {
  constexpr std::uint64_t kMaxClockMs = 1'000'000'000'000;
  const auto clock_ms = value.get<std::uint64_t>();
  if (clock_ms > kMaxClockMs) {
    throw MalformedMessage("clock out of range");
  }
  return clock_ms;
}

MessageTiming TimingFrom(const json& list) {
  return {ClockFrom(list.at(0)), TagFrom(list.at(1)), ClockFrom(list.at(2)), ClockFrom(list.at(3))};
}

// One number for each tag, in the order of the tags. Numbers below 128 take one byte.
json EncodeDense(const std::vector<UpstreamLoad>& loads, const std::vector<std::uint32_t>& tags) {
  std::vector<std::uint32_t> counts(tags.size(), 0);
  for (const UpstreamLoad& load : loads) {
    const auto place = std::lower_bound(tags.begin(), tags.end(), load.tag);
    if (place != tags.end() && *place == load.tag) {
      counts[static_cast<std::size_t>(place - tags.begin())] = load.requests;
    }
  }
  return json::array({UpstreamSetHash(tags), std::move(counts)});
}

std::vector<UpstreamLoad> SummaryLoadsFrom(const json& value,
                                           const std::vector<std::uint32_t>& own_tags) {
  if (value.size() != 2 || !value.at(1).is_array()) {
    return LoadsFrom(value);
  }
  const json& counts = value.at(1);
  if (TagFrom(value.at(0)) != UpstreamSetHash(own_tags) || counts.size() != own_tags.size()) {
    throw MalformedMessage("loads of other upstreams");
  }
  std::vector<UpstreamLoad> loads;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (const std::uint32_t requests = CountFrom(counts[i]); requests > 0) {
      loads.push_back({own_tags[i], requests});
    }
  }
  return loads;
}

struct Encoder {
  const std::vector<std::uint32_t>* dense_tags;

  json operator()(const InstanceReport& report) const {
    return json::array({kFormatVersion, kReportType, Encode(report.info), Encode(report.work),
                        Encode(report.ack), report.upstream_set, Encode(report.segments),
                        Encode(report.notices), Encode(report.quarantine), Encode(report.terms),
                        Encode(report.timing), EncodeEras(report.notices)});
  }
  json operator()(const HubForward& forward) const {
    json work = json::array();
    for (const InstanceWork& entry : forward.work) {
      work.push_back(Encode(entry));
    }
    return json::array({kFormatVersion, kForwardType, Encode(forward.hub), forward.acts_as_hub,
                        forward.sequence, std::move(work), Encode(forward.roster),
                        Encode(forward.ack), Encode(forward.segments), Encode(forward.notices),
                        Encode(forward.quarantine), Encode(forward.terms), Encode(forward.timing),
                        EncodeEras(forward.notices)});
  }
  json operator()(const HubSummary& summary) const {
    return json::array(
        {kFormatVersion, kSummaryType, Encode(summary.hub), summary.sequence, summary.answers,
         WholeMilliseconds(summary.age),
         dense_tags == nullptr ? Encode(summary.loads) : EncodeDense(summary.loads, *dense_tags),
         Encode(summary.services), Encode(summary.roster), Encode(summary.segments),
         Encode(summary.notices), Encode(summary.quarantine), Encode(summary.terms),
         Encode(summary.timing), EncodeEras(summary.notices)});
  }
};

InstanceReport ReportFrom(const json& message) {
  InstanceReport report;
  report.info = InfoFrom(message.at(2));
  report.work = WorkFrom(message.at(3));
  report.ack = AckFrom(message.at(4));
  report.upstream_set = TagFrom(message.at(5));
  report.segments = SegmentsFrom(message.at(6));
  report.notices = NoticesFrom(message.at(7));
  report.quarantine = QuarantineFrom(message.at(8));
  report.terms = TermsFrom(message.at(9));
  report.timing = TimingFrom(message.at(10));
  SetEras(report.notices, message, 11);
  if (report.work.key != InstanceKey(report.info.instance, report.info.start_id)) {
    throw MalformedMessage("key of another instance");
  }
  return report;
}

HubForward ForwardFrom(const json& message) {
  HubForward forward;
  forward.hub = InfoFrom(message.at(2));
  forward.acts_as_hub = message.at(3).get<bool>();
  forward.sequence = message.at(4).get<std::uint64_t>();
  for (const json& entry : message.at(5)) {
    forward.work.push_back(WorkFrom(entry));
  }
  forward.roster = RosterFrom(message.at(6));
  forward.ack = AckFrom(message.at(7));
  forward.segments = SegmentsFrom(message.at(8));
  forward.notices = NoticesFrom(message.at(9));
  forward.quarantine = QuarantineFrom(message.at(10));
  forward.terms = TermsFrom(message.at(11));
  forward.timing = TimingFrom(message.at(12));
  SetEras(forward.notices, message, 13);
  return forward;
}

HubSummary SummaryFrom(const json& message, const std::vector<std::uint32_t>& own_tags) {
  HubSummary summary;
  summary.hub = InfoFrom(message.at(2));
  summary.sequence = message.at(3).get<std::uint64_t>();
  summary.answers = message.at(4).get<std::uint64_t>();
  summary.age = AgeFrom(message.at(5));
  summary.loads = SummaryLoadsFrom(message.at(6), own_tags);
  summary.services = ServicesFrom(message.at(7));
  summary.roster = RosterFrom(message.at(8));
  summary.segments = SegmentsFrom(message.at(9));
  summary.notices = NoticesFrom(message.at(10));
  summary.quarantine = QuarantineFrom(message.at(11));
  summary.terms = TermsFrom(message.at(12));
  summary.timing = TimingFrom(message.at(13));
  SetEras(summary.notices, message, 14);
  return summary;
}

}  // namespace

std::uint32_t InstanceKey(const InstanceId& instance, std::uint64_t start_id) {
  return XXH32(instance.data(), instance.size(),
               static_cast<std::uint32_t>(start_id ^ (start_id >> 32)));
}

std::uint32_t ServiceTag(const std::string& service) {
  return XXH32(service.data(), service.size(), 0);
}

std::uint32_t UpstreamSetHash(const std::vector<std::uint32_t>& sorted_tags) {
  return XXH32(sorted_tags.data(), sorted_tags.size() * sizeof(std::uint32_t), 0);
}

std::string EncodeFleetMessage(const FleetMessage& message,
                               const std::vector<std::uint32_t>* dense_tags) {
  std::string bytes;
  json::to_msgpack(std::visit(Encoder{dense_tags}, message), bytes);
  return bytes;
}

std::variant<FleetMessage, DropReason> DecodeFleetMessage(
    std::string_view bytes,
    const std::vector<std::uint32_t>& own_tags) {
  try {
    json message;
    ShallowParser parser(message);
    const bool parsed =
        json::sax_parse(bytes.begin(), bytes.end(), &parser, json::input_format_t::msgpack);
    if (!parsed || !message.is_array() || message.size() < 2 || !message[0].is_number_integer()) {
      return DropReason::kMalformed;
    }
    if (message[0] != kFormatVersion) {
      return DropReason::kOtherVersion;
    }
    switch (message[1].get<int>()) {
      case kReportType:
        return FleetMessage(ReportFrom(message));
      case kForwardType:
        return FleetMessage(ForwardFrom(message));
      case kSummaryType:
        return FleetMessage(SummaryFrom(message, own_tags));
      default:
        return DropReason::kMalformed;
    }
  } catch (const json::exception&) {
    return DropReason::kMalformed;
  } catch (const MalformedMessage&) {
    return DropReason::kMalformed;
  }
}

}  // namespace chiverail
