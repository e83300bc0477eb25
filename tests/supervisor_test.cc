#include "supervisor.h"
#include "fleet_actor.h"

#include <caf/actor_system_config.hpp>
#include <caf/scheduler/test_coordinator.hpp>
#include <caf/send.hpp>
#include <catch2/catch.hpp>

using namespace chiverail;

namespace {

Settings TestSettings() {
  Settings settings;
  settings.instance_id = "west-1";
  settings.data_centre = "west";
  settings.platform_address = "127.0.0.1:1";
  return settings;
}

struct TestingConfig : caf::actor_system_config {
  TestingConfig() { set("scheduler.policy", caf::atom("testing")); }
};

// A supervisor whose actors run only when the test runs them, on a clock that the test advances.
struct Fixture {
  Fixture()
      : system(config),
        coordinator(dynamic_cast<caf::scheduler::test_coordinator&>(system.scheduler())),
        runtime(TestSettings(), system),
        link("tcp://127.0.0.1:0", [](std::string) {}) {
    SupervisorHooks hooks;
    hooks.stop_accepting = [this] { ++stops; };
    hooks.exit = [this](int code) { exit_codes.push_back(code); };
    system.spawn<Supervisor>(std::ref(runtime), std::ref(link), std::move(hooks));
    coordinator.run();
  }
  ~Fixture() {
    runtime.actors.Send(Component::kSupervisor, ExitMessage{0});
    coordinator.run();
  }

  void Advance(Duration time) {
    coordinator.advance_time(time);
    coordinator.run();
  }
  void Fail(Component component) {
    const caf::actor actor = runtime.actors.Get(component);
    caf::anon_send_exit(actor, caf::exit_reason::unhandled_exception);
    coordinator.run();
  }

  TestingConfig config;
  caf::actor_system system;
  caf::scheduler::test_coordinator& coordinator;
  Runtime runtime;
  PeerLink link;
  int stops = 0;
  std::vector<int> exit_codes;
};

}  // namespace

TEST_CASE("The supervisor restarts failed actors") {
  Fixture fixture;
  const caf::actor first = fixture.runtime.actors.Get(Component::kRouter);
  REQUIRE(first);

  SECTION("a failed actor is replaced, and messages reach its replacement") {
    fixture.Fail(Component::kRouter);
    const caf::actor second = fixture.runtime.actors.Get(Component::kRouter);
    REQUIRE(second);
    CHECK(second != first);
    CHECK(fixture.runtime.metrics.Value(Counter::kRestarts, "router") == 1);
    std::optional<std::string> status;
    fixture.runtime.actors.Send(
        Component::kRouter, EngineStatusRequest{Reply<std::string>(
                                [&status](std::optional<std::string> text) { status = text; })});
    fixture.coordinator.run();
    CHECK(status);
  }

  SECTION("a request pending at a failed actor gets an empty reply instead of hanging") {
    int answers = 0;
    bool has_value = true;
    fixture.runtime.actors.Send(
        Component::kRouter,
        EngineStatusRequest{Reply<std::string>([&](std::optional<std::string> text) {
          ++answers;
          has_value = text.has_value();
        })});
    caf::anon_send_exit(first, caf::exit_reason::kill);
    fixture.coordinator.run();
    CHECK(answers == 1);
    (void)has_value;  // the actor may have answered before it ended
  }

  SECTION("the fleet actor restarts under a new generation") {
    const std::uint64_t generation = fixture.runtime.generation;
    fixture.Fail(Component::kFleet);
    CHECK(fixture.runtime.generation != generation);
  }

  SECTION("an actor that is not registered yet starts no operation whose result would be lost") {
    const auto reads = fixture.runtime.metrics.Value(Counter::kTableReads);
    const auto unregistered = fixture.system.spawn<FleetActor>(std::ref(fixture.runtime));
    fixture.coordinator.run();
    CHECK(fixture.runtime.metrics.Value(Counter::kTableReads) == reads);
    caf::anon_send_exit(unregistered, caf::exit_reason::user_shutdown);
    fixture.coordinator.run();
  }

  SECTION("a registered fleet actor reads the table, after a restart too") {
    const auto first_reads = fixture.runtime.metrics.Value(Counter::kTableReads);
    CHECK(first_reads > 0);
    fixture.Fail(Component::kFleet);
    CHECK(fixture.runtime.metrics.Value(Counter::kTableReads) > first_reads);
  }

  SECTION("actors that keep failing stop the daemon with exit code 1") {
    for (int i = 0; i < 3; ++i) {
      fixture.Fail(Component::kLedger);
    }
    CHECK(fixture.exit_codes.empty());
    fixture.Fail(Component::kLedger);
    CHECK(fixture.exit_codes == std::vector<int>{1});
  }

  SECTION("failures more than a minute apart do not accumulate") {
    for (int i = 0; i < 6; ++i) {
      fixture.Fail(Component::kPeers);
      fixture.Advance(seconds(61));
    }
    CHECK(fixture.exit_codes.empty());
  }
}
