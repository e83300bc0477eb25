#include "ctl_publish.h"

#include <chrono>
#include <deque>
#include <iterator>
#include <optional>
#include <random>

#include "ctl_platform.h"

namespace chiverail {
namespace {

using nlohmann::json;

constexpr Duration kWaitPollPeriod = milliseconds(200);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

ChangeRequest MakeRequest(const CtlContext& context, const PublishRequest& request) {
  const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
  ChangeRequest change_request;
  change_request.change = request.change;
  change_request.author = context.Author();
  change_request.at_unix_ms = static_cast<std::uint64_t>(unix_time / milliseconds(1));
  // For a data centre the entry already has its name.
  change_request.summary =
      std::holds_alternative<SetManifest>(request.change) ? request.summary : "";
  change_request.nonce = std::to_string(RandomNumber()) + "-" + std::to_string(RandomNumber());
  change_request.base = context.options.expect_revision;
  change_request.deadline = context.options.publish_timeout;
  change_request.seed = RandomNumber();
  return change_request;
}

// Executes the actions of one change and passes the results back to its state machine.
class PublishRun {
 public:
  PublishRun(const CtlContext& context, const PublishRequest& request)
      : context_(context),
        request_(request),
        platform_(context.Platform()),
        publisher_(MakeRequest(context, request), Now()) {}

  PublishAction Run() {
    while (true) {
      if (pending_.empty()) {
        const TimePoint wake = publisher_.NextWake(Now());
        context_.Sleep(wake - Now());
        Append(publisher_.Tick(Now()));
        continue;
      }
      PublishAction action = std::move(pending_.front());
      pending_.pop_front();
      if (publisher_.IsDone() && pending_.empty()) {
        return action;
      }
      std::visit([this](const auto& step) { Execute(step); }, action);
    }
  }

 private:
  void Append(PublishActions actions) {
    std::move(actions.begin(), actions.end(), std::back_inserter(pending_));
  }

  void Execute(const WriteManifestObjects&) { Append(publisher_.OnObjects(WriteAll(), Now())); }

  void Execute(const ReadRow& read) {
    const TableReadResult result = platform_.ReadRow(read.key, context_.yield);
    Append(publisher_.OnRead(read.op, result, Now()));
  }

  void Execute(const WriteRows& write) {
    const TableWriteResult result = platform_.Write(write.transaction, context_.yield);
    Append(publisher_.OnWrite(write.op, result, Now()));
  }

  // Final actions are returned by Run and never executed.
  template <typename Final>
  void Execute(const Final&) {}

  bool WriteAll() {
    for (const ManifestObject& chunk : request_.objects.chunks) {
      if (request_.existing.count(chunk.name) == 0 &&
          !platform_.PutObject(chunk.name, chunk.content, context_.yield)) {
        return false;
      }
    }
    const ManifestObject& index = request_.objects.index;
    return index.name.empty() || request_.existing.count(index.name) > 0 ||
           platform_.PutObject(index.name, index.content, context_.yield);
  }

  const CtlContext& context_;
  const PublishRequest& request_;
  PlatformClient platform_;
  ConfigPublisher publisher_;
  std::deque<PublishAction> pending_;
};

// Converts a final action to the accepted revision, or throws CtlError.
struct Outcome {
  ChangePublished operator()(const ChangePublished& published) const { return published; }
  ChangePublished operator()(const ChangeConflict& conflict) const {
    throw CtlError(ExitCode::kConflict, "conflict: a change by " + conflict.author +
                                            " was accepted as revision " +
                                            std::to_string(conflict.revision));
  }
  ChangePublished operator()(const ChangeNotApplied& refused) const {
    throw CtlError(ExitCode::kStoreUnavailable, "not applied: " + refused.reason);
  }
  ChangePublished operator()(const ChangeOutcomeUnknown& unknown) const {
    throw CtlError(ExitCode::kOutcomeUnknown,
                   "the outcome is unknown; the change was accepted if audit entry " +
                       std::to_string(unknown.revision) + " has the nonce " + unknown.nonce);
  }
  template <typename Step>
  ChangePublished operator()(const Step&) const {
    throw CtlError(ExitCode::kFailed, "the change ended without an outcome");
  }
};

// Number of live instances, and the ids of those where a revision is not in force yet.
struct RolloutStatus {
  std::size_t live = 0;
  std::vector<InstanceId> pending;
};

RolloutStatus ReadRolloutStatus(const CtlContext& context, Revision revision) {
  const auto leases = ReadLeases(context);
  RolloutStatus status;
  for (const Member& member : ReadMembers(context)) {
    if (member.state != MemberState::kLive) {
      continue;
    }
    ++status.live;
    const auto lease = leases.find(member.id);
    const bool in_lease = lease != leases.end() && lease->second.generation == member.generation &&
                          lease->second.revision >= revision;
    if (!in_lease && QueryRevision(context, member.address) < revision) {
      status.pending.push_back(member.id);
    }
  }
  return status;
}

// Returns nothing when the platform does not answer. The change has been accepted by then, so a
// failed read must not be reported as if nothing had been changed.
std::optional<RolloutStatus> TryReadRolloutStatus(const CtlContext& context, Revision revision) {
  try {
    return ReadRolloutStatus(context, revision);
  } catch (const CtlError&) {
    return std::nullopt;
  }
}

std::string DescribePending(const std::optional<RolloutStatus>& status) {
  if (!status) {
    return "it is unknown where it is in force, because the platform does not answer";
  }
  std::string names;
  for (const InstanceId& id : status->pending) {
    names += (names.empty() ? "" : ", ") + id;
  }
  return "it is not in force at " + names;
}

// Waits until a revision is in force at every live instance. Returns the number of live instances.
std::size_t WaitInForce(const CtlContext& context, Revision revision) {
  const TimePoint end = Now() + context.options.wait_timeout;
  while (true) {
    const std::optional<RolloutStatus> status = TryReadRolloutStatus(context, revision);
    if (status && status->pending.empty()) {
      return status->live;
    }
    if (Now() >= end) {
      throw CtlError(ExitCode::kNotInForce, "revision " + std::to_string(revision) +
                                                " is accepted, but " + DescribePending(status));
    }
    context.Sleep(kWaitPollPeriod);
  }
}

}  // namespace

void Publish(const CtlContext& context, const PublishRequest& request) {
  if (context.options.expect_revision) {
    const Revision newest = ReadHead(context).revision;
    if (*context.options.expect_revision > newest) {
      throw CtlError(ExitCode::kConflict, "conflict: the newest revision is " +
                                              std::to_string(newest) +
                                              ", lower than the expected one");
    }
  }
  const ChangePublished published = std::visit(Outcome{}, PublishRun(context, request).Run());
  std::string text = "revision " + std::to_string(published.revision) +
                     (published.unchanged ? " already has this content" : " accepted") +
                     (request.summary.empty() ? "" : ": " + request.summary) + "\n";
  json document = {{"revision", published.revision},
                   {"unchanged", published.unchanged},
                   {"summary", request.summary}};
  if (context.options.wait) {
    const TimePoint start = Now();
    const std::size_t live = WaitInForce(context, published.revision);
    const auto waited = (Now() - start) / milliseconds(1);
    text += "in force at all " + std::to_string(live) + " live instances after " +
            std::to_string(waited) + " ms\n";
    document["live_instances"] = live;
    document["in_force_after_ms"] = waited;
  }
  context.Print(text, document);
}

}  // namespace chiverail
