"""Runs two gateways as separate processes while a service is moved to another version: a sound one, a faulty one,
and one during which all gateways are killed.

Usage: rollout_test.py BUILD_DIR
"""
import base64
import json
import os
import sys
import threading
import time
import unittest

from gateway_standins import Gateway, Store, Worker, config, wait_until

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
SERVICE = "s"
DURATION_S = 8


class VersionedWorker(Worker):
    """A worker that fails a share of its requests: one in `fail_every`, none if that is 0."""

    def __init__(self, fail_every=0):
        super().__init__()
        self.fail_every = fail_every
        self.requests = 0

    def on_request(self, handler):
        self.requests += 1
        time.sleep(0.004)
        if self.fail_every and self.requests % self.fail_every == 0:
            handler.reply(500, {}, handler.seal_fields())
            return False
        return True


class RolloutTest(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.workers = {"v1": VersionedWorker()}
        self.enter("v1")
        self.store.put("op", "config", config(2))
        self.gateways = []
        self.start_gateways()
        self.statuses = []
        self.ended = False
        self.callers = [threading.Thread(target=self.send, args=(i,)) for i in range(4)]
        for caller in self.callers:
            caller.start()

    def tearDown(self):
        self.ended = True
        for caller in self.callers:
            caller.join()
        for gateway in self.gateways:
            gateway.stop()

    def enter(self, version):
        self.store.put("servers", "i-" + version, {
            "service": SERVICE, "address": self.workers[version].address, "zone": "west", "version": version,
            "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1})

    def start_gateways(self):
        for gateway in self.gateways:
            gateway.stop()
        first = Gateway(os.path.join(BUILD, "chiverail_gateway"), "front-0", self.store.address)
        second = Gateway(os.path.join(BUILD, "chiverail_gateway"), "front-1", self.store.address)
        # Seeds carry the instance's own peer port, so both are found by the rows of the instances.
        self.gateways = [first, second]
        wait_until(lambda: all(gateway.is_ready() for gateway in self.gateways), "ready")

    def send(self, number):
        while not self.ended:
            try:
                status, _ = self.gateways[number % 2].send_request("/book/x")
                self.statuses.append(status)
            except OSError:
                time.sleep(0.05)  # the gateways are starting again

    def order(self, version):
        self.store.put("op", "rollout/" + SERVICE, {"service": SERVICE, "to": version, "duration_s": DURATION_S})

    def state(self):
        row = self.store.rows.get(("status", "rollout/" + SERVICE))
        return json.loads(base64.b64decode(row["value"])) if row else {}

    def wait_for(self, state, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.state().get("state") != state:
            time.sleep(0.05)
        self.assertEqual(self.state().get("state"), state)

    def move_to(self, version, **behaviour):
        self.workers[version] = VersionedWorker(**behaviour)
        self.enter(version)
        self.order(version)
        self.wait_for("running", DURATION_S)

    def test_a_sound_version_gets_all_requests(self):
        self.move_to("v2")
        self.assertEqual(self.state()["to"], "v2")
        self.wait_for("completed", 2 * DURATION_S)
        before = self.workers["v1"].requests
        self.store.delete("servers", "i-v1")
        time.sleep(1)
        self.assertEqual(self.workers["v1"].requests, before)
        self.assertEqual(set(self.statuses), {200})

    def test_a_faulty_version_gets_few_requests(self):
        self.move_to("v2", fail_every=2)
        self.wait_for("rolled_back", DURATION_S)
        time.sleep(0.5)  # both gateways know it
        before = self.workers["v2"].requests
        time.sleep(1)
        self.assertEqual(self.workers["v2"].requests, before)
        self.assertLess(self.statuses.count(500), 50)

    def test_the_outcome_outlives_all_gateways(self):
        self.move_to("v2", fail_every=2)
        self.wait_for("rolled_back", DURATION_S)
        before = self.workers["v2"].requests
        self.start_gateways()
        time.sleep(1)
        self.assertLessEqual(self.workers["v2"].requests, before + 1)
        self.assertEqual(self.state()["state"], "rolled_back")

    def test_a_state_whose_answer_is_lost_is_recorded_once(self):
        self.move_to("v2", fail_every=2)
        self.store.failure_mode = "lost"
        self.wait_for("rolled_back", DURATION_S)
        version = self.store.rows[("status", "rollout/" + SERVICE)]["ver"]
        time.sleep(2)
        self.store.failure_mode = None
        time.sleep(1)
        self.assertEqual(self.store.rows[("status", "rollout/" + SERVICE)]["ver"], version)

    def test_an_order_that_is_withdrawn_ends_the_roll_out(self):
        self.move_to("v2")
        self.store.delete("op", "rollout/" + SERVICE)
        self.wait_for("rolled_back", DURATION_S)


if __name__ == "__main__":
    unittest.main(verbosity=2)
