"""Randomized soak of chiverail_gateway: several processes on loopback against the stand-ins, with faults from
outside them, while callers send requests. It checks what callers and workers see:

- work that may run at most once never runs twice, and none that was answered 429 or 503 ever runs;
- every success is whole, bears the worker's seal and belongs to its request; streams have no gap;
- no key reaches a worker, every run bears the workspace of its key, and none comes long after the key was
  withdrawn;
- a worker that drains gets nothing new while store, gateway and links are calm;
- a process ends only when it is told to, in time, and all serve again after the faults.

Usage: soak.py BUILD_DIR SEEDS [--recorded] [--jobs N] [--seconds S], with seeds such as 7, 1-50 or 3,8-10
Faults and their times follow from the seed; the interleaving of processes doesn't.
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

from gateway_standins import Gateway, Store, Worker, config, wait_until

GATEWAYS = 4
WORKERS = 4
CALLERS = 24
EVENTS = 6            # of one stream
CALL_PAUSE_S = 0.03   # between two requests of one caller
WITHDRAWAL_S = 5.0    # bound of the platform on withdrawn keys
DRAIN_S = 2.0         # bound on new requests for a draining worker
CALM_S = 3.0          # time without a fault from which bounds hold again
RECOVERY_S = 12.0     # bound on serving again after all faults
GRACE_S = 8.0         # bound on the end of a process after SIGTERM
PROBE = "probe-"      # ids of the requests that ask whether a gateway serves
KINDS = {"book": "unsafe", "read": "safe", "stream": "stream"}


class Proxy:
    """Forwards TCP connections to a target; `mode` decides what happens to their bytes."""

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

    def calm(self, since):
        return self.mode == "open" and self.changed_at < since

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.forward, args=(near,), daemon=True).start()

    def forward(self, near):
        host, port = self.target.split(":")
        try:
            far = socket.create_connection((host, int(port)), timeout=1)
        except OSError:
            near.close()
            return
        other = {near: far, far: near}
        try:
            while True:
                ready, _, _ = select.select([near, far], [], [], 0.1)
                if self.mode == "reset":
                    for end in other:
                        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                if self.mode == "silent" or (self.mode == "one_way" and near not in ready):
                    time.sleep(0.02)
                    continue
                for end in ready:
                    if self.mode == "one_way" and end is far:
                        continue
                    if self.mode == "delay":
                        time.sleep(0.15)
                    data = end.recv(65536)
                    if not data:
                        return
                    other[end].sendall(data)
        except OSError:
            pass  # one end has gone; the other is told by the close below
        finally:
            near.close()
            far.close()


class SoakWorker(Worker):
    """A worker that checks whom a request is for and notes each run."""

    def __init__(self, name, runs):
        super().__init__(event_pause_s=0.04, events=EVENTS)
        self.name = name
        self.all_runs = runs
        self.trouble = None  # or fail, hang, cut, decline
        self.drained_at = None
        self.proxy = Proxy(self.address)

    def on_request(self, handler):
        fields = handler.headers
        if fields.get("X-Expect-Instance") != self.name:
            handler.reply(421, {})
            return False
        if self.trouble == "decline":
            handler.reply(503, {}, {"X-Not-Executed": "1", "X-Request-Id": fields["X-Request-Id"]})
            return False
        self.all_runs.append((fields["X-Request-Id"], time.monotonic(), self, dict(fields.items())))
        if self.trouble == "hang":
            time.sleep(1.5)
        if self.trouble == "cut":
            handler.close_connection = True
            handler.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Le")
            return False
        if self.trouble == "fail":
            handler.reply(500, {}, handler.own())
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
        self.status = 0  # 0 for no answer
        self.fault = None


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
        self.withdrawn = {}  # key: time of the acknowledgement
        self.keys = ["k-%d" % i for i in range(6)]
        self.stopping = False
        self.store_fault_at = 0.0
        self.registry = threading.Lock()  # a worker's entry and its state change together
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

    def call_forever(self, seed):
        chance = random.Random(seed)
        connections = {}
        while not self.stopping:
            gateway = chance.choice(self.gateways)
            kind = chance.choice(sorted(KINDS))
            result = Result(kind, chance.choice(self.keys), gateway)
            self.results.append(result)
            try:
                connection = connections.get(gateway) or http.client.HTTPConnection("127.0.0.1", gateway.front,
                                                                                    timeout=9)
                connections[gateway] = connection
                self.call(connection, result)
            except (OSError, http.client.HTTPException):
                connections.pop(gateway).close()
            time.sleep(CALL_PAUSE_S * chance.random() * 2)

    def call(self, connection, result):
        headers = {"Host": "h.example", "X-Request-Id": result.id, "X-Deadline-Ms": "3000",
                   "X-Credential": result.key}
        connection.request("POST", "/%s/x" % result.kind, body=b"body", headers=headers)
        answer = connection.getresponse()
        body = answer.read()
        result.status = answer.status
        if answer.status == 200:
            if answer.headers["X-Request-Id"] != result.id or answer.headers["X-Response-Seal"] != "s":
                result.fault = "a success without the worker's seal or of another request"
            elif result.kind == "stream" and body.count(b"data: x\n\n") != EVENTS:
                result.fault = "a stream that ends as complete with %r" % body[-40:]
            elif result.kind != "stream" and body != b'{"ok": true}':
                result.fault = "a success with the body %r" % body[:40]

    # Faults: each runs for a while and undoes itself.

    def fault(self, name):
        chance = self.random
        length = chance.uniform(0.2, 2.5)
        gateway = chance.choice(self.gateways)
        worker = chance.choice(self.workers)
        mode = chance.choice(["delay", "reset", "one_way", "silent"])
        self.faults.append("%s %s %s %.1f s" % (name, gateway.settings["instance_id"], worker.name, length))
        return lambda: getattr(self, "fault_" + name)(gateway, worker, mode, length)

    def fault_store_link(self, gateway, _, mode, length):
        gateway.store_proxy.set(mode)
        time.sleep(length)
        gateway.store_proxy.set("open")

    def fault_worker_link(self, _, worker, mode, length):
        worker.proxy.set(mode)
        time.sleep(length)
        worker.proxy.set("open")

    def fault_pause(self, gateway, _, __, length):
        gateway.fault_at = time.monotonic() + length
        self.signal(gateway, signal.SIGSTOP)
        time.sleep(length)
        self.signal(gateway, signal.SIGCONT)
        gateway.fault_at = time.monotonic()

    def fault_kill(self, gateway, _, __, length):
        gateway.expected_end = True
        self.signal(gateway, signal.SIGKILL)
        gateway.process.wait()
        time.sleep(length / 2)
        self.restart(gateway)

    def fault_stop(self, gateway, _, __, ___):
        gateway.expected_end = True
        gateway.fault_at = time.monotonic()
        self.signal(gateway, signal.SIGTERM)
        try:
            gateway.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            # A process that is paused meanwhile can't end in time.
            if not gateway.was_paused:
                self.faults.append("FAILED: %s outlived its grace" % gateway.settings["instance_id"])
            self.signal(gateway, signal.SIGKILL)
            gateway.process.wait()
        self.restart(gateway)

    def restart(self, gateway):
        with gateway.lock:
            if gateway.process.poll() is not None and not self.stopping:
                gateway.process = subprocess.Popen([self.program, "--settings", gateway.file.name], stdout=gateway.log)
                gateway.fault_at = time.monotonic()
                gateway.was_paused = False
                gateway.expected_end = False

    def fault_reload(self, gateway, _, __, ___):
        gateway.write_settings()
        self.signal(gateway, signal.SIGHUP)

    def fault_store(self, _, __, mode, length):
        self.store.trouble = {"delay": "slow", "reset": "down", "one_way": "lost", "silent": "refuse_history"}[mode]
        if self.store.trouble == "down":
            for worker in self.workers:
                if worker.drained_at is None and self.random.random() < 0.5:
                    self.store.delete("servers", worker.name)  # lapses while the store is away
        time.sleep(length)
        self.store.trouble = None
        self.store_fault_at = time.monotonic()
        with self.registry:
            for worker in self.workers:
                if worker.drained_at is None:
                    self.store.put("servers", worker.name, worker.entry("ready"))

    def fault_worker(self, _, worker, mode, length):
        worker.trouble = {"delay": "hang", "reset": "cut", "one_way": "decline", "silent": "fail"}[mode]
        time.sleep(length)
        worker.trouble = None

    def fault_drain(self, _, worker, __, ___):
        with self.registry:
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
            if result.fault:
                failures.append("%s (%s)" % (result.fault, result.id))
            if KINDS[result.kind] != "safe" and len(runs) > 1:
                failures.append("%s %s ran %d times" % (result.kind, result.id, len(runs)))
            if KINDS[result.kind] != "safe" and result.status in (408, 429, 503) and runs:
                failures.append("%s %s ran and was answered %d" % (result.kind, result.id, result.status))
            if result.status in (400, 404) or (result.status == 401 and result.key not in self.withdrawn):
                failures.append("%s %s was denied with %d" % (result.kind, result.id, result.status))
        for request, at, worker, fields in self.runs:
            result = results.get(request)
            if request.startswith(PROBE):
                continue
            if result is None:
                failures.append("a request ran that nobody sent: " + request)
                continue
            if "X-Credential" in fields or fields.get("X-Tenant") != "t-" + result.key[2:]:
                failures.append("a run with the workspace %s of %s" % (fields.get("X-Tenant"), result.key))
            if result.sent_at > self.withdrawn.get(result.key, float("inf")) + WITHDRAWAL_S:
                failures.append("%s ran %.1f s after its key was withdrawn" % (request, result.sent_at -
                                                                             self.withdrawn[result.key]))
            self.check_drained(failures, result, at, worker)
        return failures

    def check_drained(self, failures, result, at, worker):
        if worker.drained_at is None or at < worker.drained_at + DRAIN_S:
            return
        since = at - CALM_S
        calm = (self.store.trouble is None and self.store_fault_at < since and worker.proxy.calm(since) and
                result.gateway.store_proxy.calm(since) and result.gateway.fault_at < since)
        if calm and result.sent_at > worker.drained_at + DRAIN_S:
            failures.append("%s ran at %s %.1f s after it began to drain" % (result.id, worker.name,
                                                                           at - worker.drained_at))

    def serves(self, gateway):
        key = [key for key in self.keys if key not in self.withdrawn][0]
        try:
            return all(gateway.ask("/%s/x" % kind, key=key, fields={"X-Request-Id": PROBE + os.urandom(8).hex()})[0]
                       == 200 for kind in KINDS)
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
        threads = [threading.Thread(target=self.call_forever, args=(self.random.random(),)) for _ in range(CALLERS)]
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
                failures.append("%s ended by itself with %d" % (gateway.settings["instance_id"],
                                                                 gateway.process.returncode))
            self.restart(gateway)
        end = time.monotonic() + RECOVERY_S
        waiting = list(self.gateways)
        while waiting and time.monotonic() < end:
            waiting = [gateway for gateway in waiting if not self.serves(gateway)]
            time.sleep(0.1)
        failures += ["%s doesn't serve %.0f s after the faults" % (gateway.settings["instance_id"], RECOVERY_S)
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
    parser = argparse.ArgumentParser(description="Randomized soak of chiverail_gateway.")
    parser.add_argument("build")
    parser.add_argument("seeds", help="seeds such as 7, 1-50 or 3,8-10")
    parser.add_argument("--recorded", action="store_true", help="also play the seeds that ever failed")
    parser.add_argument("--jobs", type=int, default=1, help="seeds that are played at a time")
    parser.add_argument("--seconds", type=float, default=10, help="length of the faults of one seed")
    options = parser.parse_args()
    seeds = parse_seeds(options.seeds) + (recorded_seeds() if options.recorded else [])
    program = os.path.join(options.build, "chiverail_gateway")
    if options.jobs == 1:
        passed = [run_seed(program, seed, options.seconds, os.path.join(options.build, "soak")) for seed in seeds]
        return 0 if all(passed) else 1
    parts = [",".join(map(str, seeds[i::options.jobs])) for i in range(options.jobs)]
    runs = [subprocess.Popen([sys.executable, __file__, options.build, part, "--seconds", str(options.seconds)])
            for part in parts if part]
    return max(run.wait() for run in runs)


if __name__ == "__main__":
    sys.exit(main())
