"""Randomized soak test of chiverail_gateway: several processes on loopback against the stand-ins, with injected
faults, while callers send requests. Checked from the point of view of callers and workers:

- at-most-once work never runs twice, and never runs if its response was 429 or 503;
- every success is complete, has the worker's seal and belongs to its request; streams have no gap;
- no key reaches a worker, every run has the workspace of its key, and none starts later than the bound after the
  key was withdrawn;
- a draining worker gets no new requests unless the store, the gateway or a link has had a fault recently;
- no request that is sent after SIGTERM is passed on and cut by the end of the process, unless something else failed;
- a process ends only after a signal and within its grace period, and all serve again after the faults.

Usage: soak.py BUILD_DIR SEEDS [--recorded] [--jobs N] [--seconds S], with seeds such as 7, 1-50 or 3,8-10
The seed determines the faults and their times, but not the interleaving of the processes.
"""
import argparse
import http.client
import os
import random
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

from gateway_standins import LONG_STREAM, Gateway, Store, Worker, config, wait_until

GATEWAYS = 4
WORKERS = 4
CALLERS = 24
EVENTS = 6            # per stream
CALL_PAUSE_S = 0.03   # mean pause between two requests of one caller
WITHDRAWAL_S = 5.0    # platform's limit for serving a key after its withdrawal
DRAIN_S = 2.0         # limit for sending new requests to a draining worker
FAULT_FREE_S = 3.0    # time without a fault after which limits apply again
RECOVERY_S = 12.0     # limit for serving again after all faults
GRACE_S = 8.0         # limit for the end of a process after SIGTERM
PROBE_PREFIX = "probe-"  # id prefix of requests that test whether a gateway serves
KINDS = {"book": "unsafe", "read": "safe", "stream": "stream", "long": "stream"}
PATHS = {"book": "/book/x", "read": "/read/x", "stream": "/stream/x", "long": "/stream/long"}
WEIGHTS = {"book": 10, "read": 10, "stream": 10, "long": 1}


class Proxy:
    """TCP proxy to a target. `mode` selects the fault that is applied to the connections."""

    def __init__(self, target):
        self.target = target
        self.mode = "open"  # or delay, reset, one_way, silent
        self.changed_at = 0.0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode):
        self.mode = mode
        self.changed_at = time.monotonic()

    def without_faults_since(self, since):
        return self.mode == "open" and self.changed_at < since

    def accept(self):
        while True:
            try:
                client_side, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.forward, args=(client_side,), daemon=True).start()

    def forward(self, client_side):
        host, port = self.target.split(":")
        try:
            server_side = socket.create_connection((host, int(port)), timeout=1)
        except OSError:
            client_side.close()
            return
        other = {client_side: server_side, server_side: client_side}
        try:
            while True:
                ready, _, _ = select.select([client_side, server_side], [], [], 0.1)
                if self.mode == "reset":
                    for end in other:
                        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                if self.mode == "silent" or (self.mode == "one_way" and client_side not in ready):
                    time.sleep(0.02)
                    continue
                for end in ready:
                    if self.mode == "one_way" and end is server_side:
                        continue
                    if self.mode == "delay":
                        time.sleep(0.15)
                    data = end.recv(65536)
                    if not data:
                        return
                    other[end].sendall(data)
        except OSError:
            pass  # one side has closed its connection; the other one is closed below
        finally:
            client_side.close()
            server_side.close()


class SoakWorker(Worker):
    """A worker that checks the X-Expect-Instance field and records each run."""

    def __init__(self, name, runs):
        super().__init__(event_pause_s=0.04, events=EVENTS)
        self.name = name
        self.all_runs = runs
        self.failure_mode = None  # or fail, hang, cut, decline
        self.fault_at = 0.0
        self.drained_at = None
        self.proxy = Proxy(self.address)

    def on_request(self, handler):
        fields = handler.headers
        if fields.get("X-Expect-Instance") != self.name:
            handler.reply(421, {})
            return False
        if self.failure_mode == "decline":
            handler.reply(503, {}, {"X-Not-Executed": "1", "X-Request-Id": fields["X-Request-Id"]})
            return False
        self.all_runs.append((fields["X-Request-Id"], time.monotonic(), self, dict(fields.items())))
        if self.failure_mode == "hang":
            time.sleep(1.5)
        if self.failure_mode == "cut":
            handler.close_connection = True
            handler.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Le")
            return False
        if self.failure_mode == "fail":
            handler.reply(500, {}, handler.seal_fields())
            return False
        return True

    def entry(self, state):
        return {"service": "s", "address": self.proxy.address, "zone": "west", "version": "v1", "slots": 8,
                "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1}


class Result:
    def __init__(self, kind, key, gateway):
        self.id = os.urandom(8).hex()
        self.kind = kind
        self.key = key
        self.gateway = gateway
        self.sent_at = time.monotonic()
        self.status = 0  # 0 for no response
        self.cut_at = None  # when the connection ended before the response did
        self.error = None  # description of an invalid response


class Soak:
    def __init__(self, program, seed, seconds):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.runs = []
        self.results = []
        self.faults = []
        self.store = Store()
        self.workers = []
        self.version = 2
        self.withdrawn = {}  # key: time at which the withdrawal was acknowledged
        self.keys = ["k-%d" % i for i in range(6)]
        self.stopping = False
        self.store_fault_at = 0.0
        self.workers_lock = threading.Lock()  # keeps a worker's entry and its state consistent
        for _ in range(WORKERS):
            self.add_worker()
        self.configure()
        self.gateways = []
        self.program = program
        for i in range(GATEWAYS):
            proxy = Proxy(self.store.address)
            seeds = ",".join("127.0.0.1:%d" % other.peer for other in self.gateways[:3])
            gateway = Gateway(program, "front-%d" % i, proxy.address, seeds, withdrawal_ms=int(WITHDRAWAL_S * 1000))
            gateway.store_proxy = proxy
            gateway.fault_at = time.monotonic()
            gateway.expected_end = False
            gateway.stop_at = float("inf")  # last SIGTERM without another fault of the process since
            self.gateways.append(gateway)

    def add_worker(self):
        worker = SoakWorker("i-%d" % len(self.workers), self.runs)
        self.workers.append(worker)
        self.store.put("servers", worker.name, worker.entry("ready"))

    def configure(self):
        document = config(self.version, idle_routes=self.random.randrange(40))
        route = document["routes"][0]
        document["routes"].append(dict(route, name="r-3", prefix="/read/", kind="safe", attempts=2))
        document["tenants"] = [{"name": "t-%d" % i, "api_keys": [key]} for i, key in enumerate(self.keys)
                               if key not in self.withdrawn]
        self.store.put("op", "config", document)
        self.version += self.random.randrange(1, 4)

    # Callers

    def run_caller(self, seed):
        rng = random.Random(seed)
        connections = {}
        while not self.stopping:
            gateway = rng.choice(self.gateways)
            kind = rng.choices(sorted(KINDS), [WEIGHTS[name] for name in sorted(KINDS)])[0]
            result = Result(kind, rng.choice(self.keys), gateway)
            self.results.append(result)
            try:
                connection = connections.get(gateway) or http.client.HTTPConnection("127.0.0.1", gateway.front,
                                                                                    timeout=9)
                connections[gateway] = connection
                self.call(connection, result)
            except (OSError, http.client.HTTPException):
                result.cut_at = time.monotonic()
                result.stop_at = gateway.stop_at
                connections.pop(gateway).close()
            time.sleep(CALL_PAUSE_S * rng.random() * 2)

    def call(self, connection, result):
        headers = {"Host": "h.example", "X-Request-Id": result.id, "X-Credential": result.key,
                   "X-Deadline-Ms": "9000" if result.kind == "long" else "3000"}
        connection.request("POST", PATHS[result.kind], body=b"body", headers=headers)
        response = connection.getresponse()
        body = response.read()
        result.status = response.status
        if response.status == 200:
            if response.headers["X-Request-Id"] != result.id or response.headers["X-Response-Seal"] != "s":
                result.error = "a success without the worker's seal or for another request"
            elif KINDS[result.kind] == "stream" and body.count(b"data: x\n\n") != (
                    EVENTS * LONG_STREAM if result.kind == "long" else EVENTS):
                result.error = "an incomplete stream that ended normally with %r" % body[-40:]
            elif KINDS[result.kind] != "stream" and body != b'{"ok": true}':
                result.error = "a success with an unexpected body: %r" % body[:40]

    # Faults: each is applied for a limited time and then reverted.

    def fault(self, name):
        rng = self.random
        duration = rng.uniform(0.2, 2.5)
        gateway = rng.choice(self.gateways)
        worker = rng.choice(self.workers)
        mode = rng.choice(["delay", "reset", "one_way", "silent"])
        self.faults.append("%s %s %s %.1f s" % (name, gateway.settings["instance_id"], worker.name, duration))
        return lambda: getattr(self, "fault_" + name)(gateway, worker, mode, duration)

    def fault_store_link(self, gateway, _, mode, duration):
        gateway.store_proxy.set(mode)
        time.sleep(duration)
        gateway.store_proxy.set("open")

    def fault_worker_link(self, _, worker, mode, duration):
        worker.proxy.set(mode)
        time.sleep(duration)
        worker.proxy.set("open")

    def fault_pause(self, gateway, _, __, duration):
        gateway.fault_at = time.monotonic() + duration
        gateway.stop_at = float("inf")
        self.signal(gateway, signal.SIGSTOP)
        time.sleep(duration)
        self.signal(gateway, signal.SIGCONT)
        gateway.fault_at = time.monotonic()

    def fault_kill(self, gateway, _, __, duration):
        gateway.expected_end = True
        gateway.stop_at = float("inf")
        self.signal(gateway, signal.SIGKILL)
        gateway.process.wait()
        time.sleep(duration / 2)
        self.restart(gateway)

    def fault_stop(self, gateway, _, __, ___):
        gateway.expected_end = True
        gateway.fault_at = time.monotonic()
        if not gateway.was_paused:
            gateway.stop_at = time.monotonic()
        self.signal(gateway, signal.SIGTERM)
        try:
            gateway.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            # A process that was paused by another fault can't end in time.
            if not gateway.was_paused:
                self.faults.append("FAILED: %s did not end within the grace period" % gateway.settings["instance_id"])
            self.signal(gateway, signal.SIGKILL)
            gateway.process.wait()
        self.restart(gateway)

    def restart(self, gateway):
        with gateway.lock:
            if gateway.process.poll() is not None and not self.stopping:
                gateway.process = subprocess.Popen([self.program, "--settings", gateway.file.name], stdout=gateway.log)
                gateway.fault_at = time.monotonic()
                gateway.stop_at = float("inf")
                gateway.was_paused = False
                gateway.expected_end = False

    def fault_reload(self, gateway, _, __, ___):
        gateway.write_settings()
        self.signal(gateway, signal.SIGHUP)

    def fault_series(self, gateway, _, mode, duration):
        """Stops two instances one after the other, amid reloads and changes of the configuration."""
        other = self.gateways[(self.gateways.index(gateway) + 1) % len(self.gateways)]
        stops = [threading.Thread(target=self.fault_stop, args=(one, None, mode, duration)) for one in (gateway, other)]
        for stop in stops:
            stop.start()
            for one in self.gateways:
                self.fault_reload(one, None, mode, duration)
            self.configure()
            time.sleep(duration / 2)
        for stop in stops:
            stop.join()

    def fault_store(self, _, __, mode, duration):
        self.store.failure_mode = {"delay": "slow", "reset": "down", "one_way": "lost",
                                   "silent": "refuse_history"}[mode]
        if self.store.failure_mode == "down":
            for worker in self.workers:
                if worker.drained_at is None and self.random.random() < 0.5:
                    self.store.delete("servers", worker.name)  # the entry expires while the store is down
        time.sleep(duration)
        self.store.failure_mode = None
        self.store_fault_at = time.monotonic()
        with self.workers_lock:
            for worker in self.workers:
                if worker.drained_at is None:
                    self.store.put("servers", worker.name, worker.entry("ready"))

    def fault_worker(self, _, worker, mode, duration):
        worker.fault_at = float("inf")
        worker.failure_mode = {"delay": "hang", "reset": "cut", "one_way": "decline", "silent": "fail"}[mode]
        time.sleep(duration)
        worker.failure_mode = None
        worker.fault_at = time.monotonic()

    def fault_drain(self, _, worker, __, ___):
        with self.workers_lock:
            if worker.drained_at is None and sum(other.drained_at is None for other in self.workers) > 2:
                self.add_worker()
                self.store.put("servers", worker.name, worker.entry("draining"))
                worker.drained_at = time.monotonic()

    def fault_config(self, *_):
        self.configure()

    def fault_withdraw(self, *_):
        left = [key for key in self.keys if key not in self.withdrawn]
        if len(left) > 3:
            key = left[0]
            self.withdrawn[key] = float("inf")
            self.configure()
            self.withdrawn[key] = time.monotonic()

    def signal(self, gateway, number):
        if number == signal.SIGSTOP:
            gateway.was_paused = True
        if gateway.process.poll() is None:
            gateway.process.send_signal(number)

    # Checks

    def check(self):
        failures = [fault for fault in self.faults if fault.startswith("FAILED")]
        runs_of = {}
        for request, at, worker, fields in self.runs:
            runs_of.setdefault(request, []).append((at, worker, fields))
        results = {result.id: result for result in self.results}
        for result in self.results:
            runs = runs_of.get(result.id, [])
            if result.error:
                failures.append("%s (%s)" % (result.error, result.id))
            if KINDS[result.kind] != "safe" and len(runs) > 1:
                failures.append("%s %s ran %d times" % (result.kind, result.id, len(runs)))
            if KINDS[result.kind] != "safe" and result.status in (408, 429, 503) and runs:
                failures.append("%s %s ran but was answered with %d" % (result.kind, result.id, result.status))
            if result.status in (400, 404) or (result.status == 401 and result.key not in self.withdrawn):
                failures.append("%s %s was denied with %d" % (result.kind, result.id, result.status))
        for request, at, worker, fields in self.runs:
            result = results.get(request)
            if request.startswith(PROBE_PREFIX):
                continue
            if result is None:
                failures.append("a request ran that no caller had sent: " + request)
                continue
            if "X-Credential" in fields or fields.get("X-Tenant") != "t-" + result.key[2:]:
                failures.append("a run with the key or the wrong workspace: workspace %s, key %s" % (
                    fields.get("X-Tenant"), result.key))
            if result.sent_at > self.withdrawn.get(result.key, float("inf")) + WITHDRAWAL_S:
                failures.append("%s ran %.1f s after its key was withdrawn" % (request, result.sent_at -
                                                                             self.withdrawn[result.key]))
            self.check_drained(failures, result, at, worker)
            self.check_cut(failures, result, worker)
        return failures

    def check_cut(self, failures, result, worker):
        if result.cut_at is None or result.sent_at < result.stop_at:
            return
        calm = worker.proxy.without_faults_since(result.sent_at) and worker.fault_at < result.sent_at
        if calm:
            failures.append("%s %s was sent %.1f s after SIGTERM, passed on to %s and cut %.1f s later" % (
                result.kind, result.id, result.sent_at - result.stop_at, worker.name,
                result.cut_at - result.sent_at))

    def check_drained(self, failures, result, at, worker):
        if worker.drained_at is None or at < worker.drained_at + DRAIN_S:
            return
        since = at - FAULT_FREE_S
        no_recent_fault = (self.store.failure_mode is None and self.store_fault_at < since and
                           worker.proxy.without_faults_since(since) and
                           result.gateway.store_proxy.without_faults_since(since) and result.gateway.fault_at < since)
        if no_recent_fault and result.sent_at > worker.drained_at + DRAIN_S:
            failures.append("%s ran at %s %.1f s after the worker started draining" % (result.id, worker.name,
                                                                           at - worker.drained_at))

    def serves(self, gateway):
        key = [key for key in self.keys if key not in self.withdrawn][0]
        try:
            return all(gateway.send_request(PATHS[kind], key=key,
                                            fields={"X-Request-Id": PROBE_PREFIX + os.urandom(8).hex()})[0] == 200
                       for kind in ("book", "read", "stream"))
        except (OSError, http.client.HTTPException):
            return False

    def run(self):
        for gateway in self.gateways:
            gateway.lock = threading.Lock()
            gateway.was_paused = False
            wait_until(gateway.is_ready, "ready")
        names = [name[len("fault_"):] for name in dir(self) if name.startswith("fault_")]
        plan = sorted((self.random.uniform(0, self.seconds), self.random.choice(names))
                      for _ in range(int(self.seconds * 2)))
        threads = [threading.Thread(target=self.run_caller, args=(self.random.random(),)) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        start = time.monotonic()
        faults = []
        for at, name in plan:
            time.sleep(max(0.0, start + at - time.monotonic()))
            faults.append(threading.Thread(target=self.fault(name)))
            faults[-1].start()
        for thread in faults:
            thread.join()
        failures = self.recover()
        self.stopping = True
        for thread in threads:
            thread.join()
        return failures + self.check()

    def recover(self):
        failures = []
        for gateway in self.gateways:
            if gateway.process.poll() is not None and not gateway.expected_end:
                failures.append("%s ended unexpectedly with exit code %d" % (gateway.settings["instance_id"],
                                                                 gateway.process.returncode))
            self.restart(gateway)
        end = time.monotonic() + RECOVERY_S
        waiting = list(self.gateways)
        while waiting and time.monotonic() < end:
            waiting = [gateway for gateway in waiting if not self.serves(gateway)]
            time.sleep(0.1)
        failures += ["%s does not serve %.0f s after the faults" % (gateway.settings["instance_id"], RECOVERY_S)
                     for gateway in waiting]
        return failures

    def end(self):
        for gateway in self.gateways:
            gateway.stop()


def run_seed(program, seed, seconds, log_dir):
    soak = Soak(program, seed, seconds)
    try:
        failures = soak.run()
        served = sum(result.status == 200 for result in soak.results)
        print("seed %d: %d requests, %d served, %d faults, %s" % (
            seed, len(soak.results), served, len(soak.faults), "FAILED" if failures else "ok"), flush=True)
        if failures:
            print("\n".join("  " + line for line in failures[:10] + ["faults:"] + soak.faults), flush=True)
            os.makedirs(log_dir, exist_ok=True)
            for gateway in soak.gateways:
                gateway.log.seek(0)
                path = os.path.join(log_dir, "seed-%d-%s.jsonl" % (seed, gateway.settings["instance_id"]))
                with open(path, "w", encoding="utf-8") as file:
                    file.write(gateway.log.read())
    finally:
        soak.end()
    return not failures


def parse_seeds(text):
    """Seeds of a list such as 3,8-10."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def recorded_seeds():
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "soak_seeds.txt")
    with open(path, encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description="Randomized soak test of chiverail_gateway.")
    parser.add_argument("build")
    parser.add_argument("seeds", help="seeds such as 7, 1-50 or 3,8-10")
    parser.add_argument("--recorded", action="store_true", help="also run the recorded seeds that have failed before")
    parser.add_argument("--jobs", type=int, default=1, help="number of seeds to run in parallel")
    parser.add_argument("--seconds", type=float, default=10, help="duration of fault injection per seed, in seconds")
    options = parser.parse_args()
    seeds = parse_seeds(options.seeds) + (recorded_seeds() if options.recorded else [])
    program = os.path.join(options.build, "chiverail_gateway")
    if options.jobs == 1:
        passed = [run_seed(program, seed, options.seconds, os.path.join(options.build, "soak")) for seed in seeds]
        return 0 if all(passed) else 1
    seed_lists = [",".join(map(str, seeds[i::options.jobs])) for i in range(options.jobs)]
    runs = [subprocess.Popen([sys.executable, __file__, options.build, seed_list, "--seconds", str(options.seconds)])
            for seed_list in seed_lists if seed_list]
    return max(run.wait() for run in runs)


if __name__ == "__main__":
    sys.exit(main())
