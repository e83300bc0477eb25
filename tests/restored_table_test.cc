#include <map>
#include <memory>
#include <set>
#include <vector>

#include <catch2/catch.hpp>

#include "config_follower.h"
#include "config_publisher.h"
#include "fake_platform.h"
#include "ledger.h"
#include "membership.h"

using namespace chiverail;

namespace {

const TimePoint kStart = TimePoint(seconds(1000));

// An instance whose table operations are executed and answered at once.
struct Instance {
  Instance(FakeTable& platform, const InstanceId& id, std::uint64_t generation)
      : table(platform), membership({{id, generation, "dc1", "", "", {}}, {"dc1"}, generation}) {}

  void Perform(const MembershipActions& actions, TimePoint now) {
    for (const MembershipAction& action : actions) {
      evictions += std::holds_alternative<Evicted>(action) ? 1 : 0;
      if (const auto* read = std::get_if<ReadRow>(&action)) {
        Perform(membership.OnRead(read->op, table.Read(read->key), now), now);
      } else if (const auto* write = std::get_if<WriteRows>(&action)) {
        ++writes;
        Perform(membership.OnWrite(write->op, table.Write(write->transaction), now), now);
      }
    }
  }

  const MembersRow& Row() const { return membership.rows().at("dc1"); }

  FakeTable& table;
  Membership membership;
  int evictions = 0;
  int writes = 0;
};

std::set<InstanceId> Ids(const MembersRow& row) {
  std::set<InstanceId> ids;
  for (const Member& member : row.members) {
    ids.insert(member.id);
  }
  return ids;
}

// Instances of one data centre, and the members that each of them took for those of an epoch.
struct MembersSim {
  Instance& Add(const InstanceId& id) {
    instances.push_back(std::make_unique<Instance>(table, id, instances.size() + 1));
    return *instances.back();
  }

  void Run(Duration length) {
    for (const TimePoint end = now + length; now < end; now += milliseconds(250)) {
      for (const auto& instance : instances) {
        instance->Perform(instance->membership.Tick(now), now);
        if (instance->membership.MayGrant(now)) {
          views[instance->Row().epoch].insert(Ids(instance->Row()));
        }
      }
    }
  }

  int EpochsWithTwoViews() const {
    int count = 0;
    for (const auto& [epoch, rows] : views) {
      count += rows.size() > 1 ? 1 : 0;
    }
    return count;
  }

  FakeTable table;
  TimePoint now = kStart;
  std::vector<std::unique_ptr<Instance>> instances;
  std::map<std::uint64_t, std::set<std::set<InstanceId>>> views;
};

CallSubmission Booking(const std::string& nonce) {
  CallSubmission submission;
  submission.workspace = "w1";
  submission.key = "booking-7";
  submission.request_hash = CallRequestHash("booking", "book", "seat 4");
  submission.request = "r-" + nonce;
  submission.upstream = "plain1";
  submission.nonce = nonce;
  submission.deadline = kStart + seconds(60);
  return submission;
}

// A call whose table operations are executed and answered at once.
struct Call {
  Call(FakeTable& platform, const std::string& nonce)
      : table(platform), submission(Booking(nonce)), ledger({"i-" + nonce, 1}, submission) {}

  void Perform(const LedgerActions& actions, TimePoint now) {
    for (const LedgerAction& action : actions) {
      if (const auto* send = std::get_if<SendCall>(&action)) {
        ++sends;
        attempt = send->attempt;
      } else if (const auto* refusal = std::get_if<RefuseCaller>(&action)) {
        error = refusal->error;
      } else if (const auto* read = std::get_if<ReadRow>(&action)) {
        Perform(ledger.OnRead(read->op, table.Read(read->key), now), now);
      } else if (const auto* write = std::get_if<WriteRows>(&action)) {
        Perform(ledger.OnWrite(write->op, table.Write(write->transaction), now), now);
      }
    }
  }

  void Start() { Perform(ledger.Start(kStart), kStart); }
  void Answer(TimePoint now) {
    Perform(ledger.OnAnswer(submission.request, attempt, {200, "", "booked"}, now), now);
  }

  FakeTable& table;
  CallSubmission submission;
  LedgerCall ledger;
  int sends = 0;
  std::uint32_t attempt = 0;
  std::optional<RequestError> error;
};

CallRow StoredCall(const FakeTable& table) {
  return ParseCallRow(table.Value(CallKey("w1", "booking-7")));
}

ChangeRequest Apply(const std::string& hash) {
  ChangeRequest request;
  request.change = SetManifest{hash};
  request.author = "ann";
  request.nonce = hash;
  return request;
}

PublishAction Publish(FakeTable& table, const ChangeRequest& request) {
  ConfigPublisher publisher(request, kStart);
  PublishActions actions = publisher.Tick(kStart);
  while (!publisher.IsDone()) {
    REQUIRE(actions.size() == 1);
    const PublishAction action = actions.front();
    if (std::holds_alternative<WriteManifestObjects>(action)) {
      actions = publisher.OnObjects(true, kStart);
    } else if (const auto* read = std::get_if<ReadRow>(&action)) {
      actions = publisher.OnRead(read->op, table.Read(read->key), kStart);
    } else {
      const auto& write = std::get<WriteRows>(action);
      actions = publisher.OnWrite(write.op, table.Write(write.transaction), kStart);
    }
    actions = actions.empty() ? publisher.Tick(publisher.NextWake(kStart)) : actions;
  }
  return actions.front();
}

// Polls the head for `length`; every manifest is fetched at once.
void Follow(ConfigFollower& follower, const FakeTable& table, TimePoint& now, Duration length) {
  FakeTable copy = table;
  for (const TimePoint end = now + length; now < end; now += milliseconds(250)) {
    std::vector<FollowerAction> open = follower.Tick(now);
    while (!open.empty()) {
      const FollowerAction action = open.back();
      open.pop_back();
      FollowerActions more;
      if (const auto* read = std::get_if<ReadRow>(&action)) {
        more = follower.OnHead(read->op, copy.Read(read->key), now);
      } else if (const auto* fetch = std::get_if<FetchManifest>(&action)) {
        more = follower.OnManifest(fetch->hash, true, now);
      }
      open.insert(open.end(), more.begin(), more.end());
    }
  }
}

}  // namespace

// Guards against a second run of a call whose row was seen and is then lost or older.
TEST_CASE("A call held by another submission is not sent after its row has gone back") {
  FakeTable table;
  const bool released_before = GENERATE(false, true);
  CAPTURE(released_before);
  if (released_before) {
    Call refused(table, "n0");
    refused.Start();
    refused.Perform(refused.ledger.OnNotSent(kStart), kStart);
  }
  const auto before = table.Save();
  Call first(table, "n1");
  first.Start();
  REQUIRE(first.sends == 1);
  Call second(table, "n2");
  second.Start();
  REQUIRE(second.sends == 0);
  table.Restore(before);
  second.Perform(second.ledger.Tick(kStart + seconds(1)), kStart + seconds(1));
  CHECK(second.sends == 0);
  REQUIRE(second.error);
  CHECK(second.error->code == ErrorCode::kInDoubt);
  CHECK(second.error->ran == Ran::kUnknown);
}

// Guards against a released row of an earlier attempt that stays although the later attempt ran.
TEST_CASE("The outcome of a call is recorded over a row that has gone back to an earlier attempt") {
  FakeTable table;
  Call refused(table, "n0");
  refused.Start();
  refused.Perform(refused.ledger.OnNotSent(kStart), kStart);
  REQUIRE(StoredCall(table).state == CallState::kReleased);
  const auto before = table.Save();
  Call call(table, "n1");
  call.Start();
  REQUIRE(call.attempt == 2);
  table.Restore(before);
  SECTION("with an answer") {
    call.Answer(kStart + seconds(1));
    CHECK(StoredCall(table).state == CallState::kDone);
  }
  SECTION("without an answer") {
    call.Perform(call.ledger.OnConnectionLost(kStart + seconds(1)), kStart + seconds(1));
    CHECK(StoredCall(table).state == CallState::kInDoubt);
  }
  Call again(table, "n2");
  again.Start();
  CHECK(again.sends == 0);
}

// Guards against two claims that both hold, because the second era of the table has given the
// version of the released row out again.
TEST_CASE("A claim over a version of an earlier era of the table does not hold") {
  FakeTable table;
  const auto before = table.Save();
  Call refused(table, "n0");
  refused.Start();
  refused.Perform(refused.ledger.OnNotSent(kStart), kStart);

  Call late(table, "n1");
  const LedgerActions claim = late.ledger.Start(kStart);
  const auto& write = std::get<WriteRows>(claim.front());
  const LedgerActions read = late.ledger.OnWrite(write.op, table.Write(write.transaction), kStart);
  const auto& row = std::get<ReadRow>(read.front());
  const LedgerActions second_claim = late.ledger.OnRead(row.op, table.Read(row.key), kStart);

  table.Restore(before);
  table.Write({{}, {{"other", "{}"}}, {}});
  Call other(table, "n2");
  other.Start();
  REQUIRE(other.sends == 1);
  late.Perform(second_claim, kStart);
  CHECK(late.sends == 0);
}

// Guards against a second run of a call that ended before the restore.
TEST_CASE("A finished call whose row is lost does not run again", "[.known-red]") {
  FakeTable table;
  const auto before = table.Save();
  Call first(table, "n1");
  first.Start();
  first.Answer(kStart + seconds(1));
  REQUIRE(StoredCall(table).state == CallState::kDone);
  table.Restore(before);
  Call again(table, "n2");
  again.Start();
  CHECK(again.sends == 0);
}

// Guards against two owners with one fencing number, and against instances that stop granting.
TEST_CASE("Epochs of members rows rise across a restore of the table") {
  MembersSim sim;
  sim.Add("a");
  sim.Add("b");
  sim.Run(seconds(6));
  const auto before = sim.table.Save();
  sim.Add("c");
  sim.Run(seconds(6));
  const std::uint64_t highest = sim.instances[0]->Row().epoch;
  REQUIRE(Ids(sim.instances[0]->Row()) == std::set<InstanceId>{"a", "b", "c"});

  SECTION("another instance joins right after the restore") {
    sim.table.Restore(before);
    sim.Add("d");
  }
  SECTION("no other instance joins") {
    sim.table.Restore(before);
  }
  SECTION("the table comes back without any row") {
    sim.table.Restore({});
  }

  const int writes = sim.instances[0]->writes;
  sim.Run(seconds(20));
  CHECK(sim.EpochsWithTwoViews() == 0);
  for (const auto& instance : sim.instances) {
    INFO(instance->membership.self().id);
    CHECK(instance->membership.MayGrant(sim.now));
    CHECK(instance->Row().epoch > highest);
    CHECK(instance->Row().members.size() == sim.instances.size());
  }
  // Its renewals every 5 s, and a few writes to enter the row again.
  CHECK(sim.instances[0]->writes - writes <= 10);
}

// Guards against configurations that no instance takes, because the table gives revisions out
// again.
TEST_CASE("A configuration that is published after a restore comes into force") {
  FakeTable table;
  Publish(table, Apply("m1"));
  const auto before = table.Save();
  Publish(table, Apply("m2"));
  Publish(table, Apply("m3"));
  ConfigFollower follower("a", 1, kStart);
  follower.SetPeers({});
  TimePoint now = kStart;
  Follow(follower, table, now, seconds(3));
  REQUIRE(follower.InForce().manifest_hash == "m3");
  table.Restore(before);

  SECTION("until then, the configuration does not go back") {
    Follow(follower, table, now, seconds(20));
    CHECK(follower.InForce().manifest_hash == "m3");
    CHECK(follower.AcceptsWork(now));
  }
  SECTION("with a lower revision than the one in force") {
    Publish(table, Apply("m4"));
    Follow(follower, table, now, seconds(5));
    CHECK(follower.InForce().manifest_hash == "m4");
  }
  SECTION("with the same revision as the one in force") {
    Publish(table, Apply("m4"));
    Publish(table, Apply("m5"));
    Follow(follower, table, now, seconds(5));
    CHECK(follower.InForce().manifest_hash == "m5");
  }
  SECTION("based on a revision before the restore that the table still has") {
    Publish(table, Apply("m4"));
    ChangeRequest request;
    request.change = TakeOutDataCentre{"dc2"};
    request.nonce = "out";
    request.base = 1;
    CHECK(std::holds_alternative<ChangePublished>(Publish(table, request)));
  }
}
