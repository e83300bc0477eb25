"""Soak test of chiverail_gateway around SIGTERM: plays a deployment of the users as real processes on loopback, with
its routes, times, kinds of requests and settings of the deploy file, while instances are stopped in series and
restarted at once. Checked from the point of view of callers and workers:

- LOST: a process read a whole request around its SIGTERM or SIGHUP, and the connection ended without a complete answer,
  once the request was passed on to a worker or more than 0.2 s after its last byte; except for what RULES.md excuses;
- MIXED: a success is the worker's whole answer with its seal, and a stream has no missing or double event;
- TWICE: a request that may not be repeated runs once at most; REFUSED: it has not run if its answer is 429 or 503;
- a process ends only after SIGTERM and within the grace.

Usage: stop_soak.py PROGRAM_DIR SEEDS [--site gge|cdsaa|small] [--scale X] [--seconds N] [--busy N] ...
The seed determines the load, the workers' behaviour and the signals, but not the interleaving of the processes.
"""
import argparse
import itertools
import multiprocessing
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

import stop_soak_callers
import stop_soak_workers
from gateway_standins import Store
from soak import parse_seeds
from stop_soak_judge import GRACE_S, Judge
from stop_soak_sites import SITES, config, render

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_S = 15.0
PROCESSES = 2  # of callers, and of workers
KEYS = ["key-of-tenant-%d" % number for number in range(10)]
BOUNDS = {"grace_s": 8, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "cold_overage": 1.5, "cold_slack": 5}
LIMITS = {"cpu_share": 0.17, "cores": 1, "memory_mb": 182, "max_fds": 2870, "link_mbps": 700.0}


class Instance:
    """A gateway process with the settings that the deploy file makes, and the times of its signals."""

    def __init__(self, program, folder, name, settings_text, addresses):
        self.program, self.name, self.addresses = program, name, addresses
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings_text)
        self.process = None
        self.lock = threading.Lock()
        self.starts, self.stops, self.reloads, self.freezes = [], [], [], []  # stops: [SIGTERM, end]

    def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.starts.append(time.monotonic())
            self.process = subprocess.Popen(
                [self.program], stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "CHIVERAIL_NODE_FILE": self.settings})

    def signal(self, number):
        with self.lock:
            if self.process.poll() is None:
                self.process.send_signal(number)
                if number == signal.SIGHUP:
                    self.reloads.append(time.monotonic())

    def is_ready(self):
        try:
            with urllib.request.urlopen("http://%s/api/ready" % self.addresses["ready"], timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Soak:
    def __init__(self, options, seed):
        self.options, self.seed, self.site = options, seed, SITES[options.site]
        self.random = random.Random("%s stops" % seed)
        self.folder = tempfile.TemporaryDirectory(prefix="stop-soak-")
        self.store = Store()
        self.version = 1
        self.changes = []  # sent and acknowledged
        self.problems = []
        self.ending = threading.Event()
        self.children, self.busy, self.instances = [], [], []
        self.ports = {}
        self.runs, self.rows = [], []

    # Start

    def add_instances(self):
        block = self.random.randrange(2, 250)
        names = [(zone, "front-%s-%d" % (zone, number + 1)) for zone, count in self.site["zones"].items()
                 for number in range(count)]
        ips = ["127.%d.%d.%d" % (os.getpid() % 250 + 1, block, number + 1) for number in range(len(names))]
        ports = self.free_ports(ips[0], 6)
        template = pathlib.Path(self.options.template).read_text(encoding="utf-8")
        for (zone, name), ip in zip(names, ips):
            addresses = dict(zip(("front", "ready", "directory", "control"), ("%s:%d" % (ip, port) for port in ports)))
            text = render(template, {
                "node": name, "zone": zone, "region": self.site["region"], "ip": ip, "listen": addresses,
                "port_range": [ports[4], ports[4] + 1], "limits": LIMITS, "platform": {"address": self.store.address},
                "seeds": ["%s:%d" % (seed_ip, ports[3]) for seed_ip in ips[:3]],
                "bounds": {**BOUNDS, "budget_slack": self.site["budget_slack"]}})
            program = os.path.join(self.options.build, "chiverail_gateway")
            self.instances.append(Instance(program, self.folder.name, name, text, addresses))
            self.instances[-1].zone = zone

    @staticmethod
    def free_ports(ip, count):
        """Ports below the ephemeral range, one after the other, that are free at the address."""
        for first in range(12000, 30000, 50):
            try:
                for port, kind in itertools.product(range(first, first + count),
                                                    (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
                return list(range(first, first + count))
            except OSError:
                continue
        raise AssertionError("no free ports")

    def configure(self):
        self.version += 1
        sent = time.monotonic()
        self.store.put("op", "config", config(self.site, self.version, KEYS, self.random.randrange(90, 130)))
        self.changes.append((sent, time.monotonic()))

    def spawn(self, target, *arguments):
        """A process of callers or workers, and the pipe to it."""
        context = multiprocessing.get_context("spawn")
        pipe, other_end = context.Pipe()
        process = context.Process(target=target, args=(*arguments, other_end), daemon=True)
        process.start()
        other_end.close()
        self.children.append((process, pipe))
        return pipe

    def start_workers(self, settings):
        engines, zones = self.site["engines"], list(self.site["zones"])
        names = [["i-%d" % number, number < engines, number < engines * self.site["grey_share"]]
                 for number in range(engines + self.site["plain"])]
        pipes = [self.spawn(stop_soak_workers.run_workers, settings, names[part::PROCESSES])
                 for part in range(PROCESSES)]
        for pipe in pipes:
            self.ports.update(pipe.recv())
        self.entries = {name: {
            "service": "models" if engine else "plain", "address": "127.0.0.1:%d" % self.ports[name],
            "zone": zones[index % len(zones)], "version": "v1", "slots": 64 if engine else 6, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 0, "born": 1,
            **({"phase": "both", "models": [{"name": "m", "version": 1, "adapters": []}]} if engine else {})}
            for index, (name, engine, _) in enumerate(names)}
        for name, entry in self.entries.items():
            self.store.put("servers", name, entry)
        threading.Thread(target=self.beat, daemon=True).start()
        return pipes

    def beat(self):
        while not self.ending.wait(3.6):
            for name, entry in self.entries.items():
                entry["sequence"] += 1
                self.store.put("servers", name, entry)

    def start(self):
        options = self.options
        busy = "import os\np = os.getppid()\nwhile os.getppid() == p: pass"
        self.busy = [subprocess.Popen([sys.executable, "-c", busy]) for _ in range(options.busy)]
        settings = {"seed": "%s %s" % (options.site, self.seed), "start": time.monotonic(),
                    "work_s": self.site["work_s"], "errors": options.errors,
                    "grey_window": (6.0, 12.5, self.site["grey_errors"] if options.errors else 0),
                    "pauses": options.pauses, "stretched": options.stretched, "longest": options.longest,
                    "event_bytes": options.event_bytes,
                    "slow_readers": options.slow_readers, "leaves": 0.02, "half_closes": options.half_closes}
        self.worker_pipes = self.start_workers(settings)
        self.configure()
        self.add_instances()
        for instance in self.instances:
            instance.start()
        end = time.monotonic() + START_S
        while not all(instance.is_ready() for instance in self.instances):
            assert time.monotonic() < end, "not all instances became ready"
            time.sleep(0.1)
        rate = options.scale * sum(kind["per_s"] for kind in self.site["kinds"]) / PROCESSES
        self.caller_pipes = [self.spawn(stop_soak_callers.run_callers, {
            "play": settings, "gateways": [instance.addresses for instance in self.instances], "keys": KEYS,
            "rate": rate, "region": self.site["region"], "zones": list(self.site["zones"]),
            "kinds": self.site["kinds"]}, number)
            for number in range(PROCESSES)]

    # Signals

    def stop(self, instance, again_after_s=None, with_reload=False, freeze=None):
        """Stops an instance and starts it again right after its end."""
        with instance.lock:
            if instance.process.poll() is not None or (instance.stops and instance.stops[-1][1] is None):
                return  # a stop is under way
            if with_reload:
                instance.process.send_signal(signal.SIGHUP)
                instance.reloads.append(time.monotonic())
            record = [time.monotonic(), None]
            instance.stops.append(record)
            instance.process.send_signal(signal.SIGTERM)
        if again_after_s is not None:
            time.sleep(again_after_s)
            instance.signal(signal.SIGTERM)
        if freeze is not None:
            self.freeze(instance, *freeze)
        try:
            instance.process.wait(max(0.0, record[0] + GRACE_S + 0.2 - time.monotonic()))
        except subprocess.TimeoutExpired:
            if not any(first < time.monotonic() and last > record[0] for first, last in instance.freezes):
                self.problems.append("GRACE %s did not end within its grace" % instance.name)
            instance.process.kill()
        if instance.process.wait() != 0 and not instance.freezes:
            self.problems.append("EXIT %s ended with %d" % (instance.name, instance.process.returncode))
        with instance.lock:
            record[1] = time.monotonic()
            if not self.ending.is_set():
                instance.start()

    def freeze(self, instance, after_s, duration_s):
        time.sleep(after_s)
        first = time.monotonic()
        instance.freezes.append((first, first + duration_s + 1))
        instance.signal(signal.SIGSTOP)
        time.sleep(duration_s)
        instance.signal(signal.SIGCONT)
        instance.freezes[-1] = (first, time.monotonic())

    def stop_in_a_row(self, instances, gap_s):
        rng, threads = self.random, []
        for instance in instances:
            arguments = {"again_after_s": rng.uniform(0.05, 5) if rng.random() < 0.15 else None,
                         "with_reload": rng.random() < 0.25,
                         "freeze": (rng.uniform(0, 3), rng.uniform(0.2, 2)) if rng.random() < 0.05 else None}
            threads.append(threading.Thread(target=self.stop, args=(instance,), kwargs=arguments))
            threads[-1].start()
            if rng.random() < 0.3:
                self.configure()
            if rng.random() < 0.3:
                rng.choice(self.instances).signal(signal.SIGHUP)
            if self.wait(rng.uniform(*gap_s)):
                break
        return threads

    def wait(self, seconds):
        """Returns True if no more series shall begin."""
        time.sleep(max(0.0, min(seconds, self.last_stop_at - time.monotonic())))
        return time.monotonic() >= self.last_stop_at

    def play_stops(self):
        """Series of stops one after the other until the time is over: shares of all instances, all of a data centre,
        stops during the start that follows a stop, and frozen instances."""
        rng, threads = self.random, []
        self.last_stop_at = time.monotonic() + self.options.seconds
        self.wait(3)
        series = ["share", "zone", "start", "freeze"]
        for name in itertools.chain(["share", "zone"], iter(lambda: rng.choice(series), None)):
            if time.monotonic() >= self.last_stop_at:
                break
            if name == "share":
                count = max(2, int(len(self.instances) * 0.45))
                threads += self.stop_in_a_row(rng.sample(self.instances, count), (1.0, 1.3))
            elif name == "zone":
                zone = rng.choice(sorted(self.site["zones"]))
                threads += self.stop_in_a_row([one for one in self.instances if one.zone == zone], (0.1, 0.6))
            elif name == "start":
                started = max(self.instances, key=lambda one: one.starts[-1])
                threads += self.stop_in_a_row([started], (0.05, 1.0))
            else:
                arguments = (rng.choice(self.instances), 0, rng.uniform(0.3, 2))
                threads.append(threading.Thread(target=self.freeze, args=arguments))
                threads[-1].start()
            self.wait(rng.uniform(0.3, 2))
        for thread in threads:
            thread.join()

    def run(self):
        self.start()
        first = time.monotonic()
        self.play_stops()
        time.sleep(0.5)
        self.played = first, time.monotonic()
        for pipes, to in ((self.caller_pipes, self.rows), (self.worker_pipes, self.runs)):
            for pipe in pipes:
                pipe.send("end")
            for pipe in pipes:
                to += pipe.recv()
        for instance in self.instances:
            if instance.process.poll() is not None:
                self.problems.append("EXIT %s ended by itself with %d" % (instance.name, instance.process.returncode))

    def end(self):
        self.ending.set()
        for instance in self.instances:
            instance.end()
        for process in self.busy:
            process.kill()
            process.wait()
        for process, pipe in self.children:
            pipe.close()
            process.join(1)
            if process.is_alive():
                process.kill()


def run_seed(options, seed):
    soak = Soak(options, seed)
    try:
        soak.run()
        judge = Judge(soak).judge()
        stops = sum(len(instance.stops) for instance in soak.instances)
        print("seed %d %s: %d requests, %d served, %d stops, %s" % (
            seed, options.site, len(soak.rows), judge.counts["served"], stops, "FAILED" if judge.failures else "ok"))
        print("".join("    %4d %s\n" % (count, name) for name, count in sorted(judge.counts.items())), end="")
        if judge.failures or judge.notes:
            report(options, seed, soak, judge)
        sys.stdout.flush()
        return not judge.failures
    finally:
        soak.end()


def report(options, seed, soak, judge):
    """Prints the first failures; all of them, with the log lines of their requests, are kept in the build folder."""
    print("\n".join("  " + text for text, _ in judge.failures[:options.shown]))
    folder = os.path.join(options.build, "stop_soak")
    os.makedirs(folder, exist_ok=True)
    path = os.path.join(folder, "%s-seed-%d-%d.txt" % (options.site, seed, int(time.time())))
    lines = {}
    for instance in soak.instances:
        with open(instance.log, encoding="utf-8", errors="replace") as log:
            lines[instance.name] = log.read().splitlines()
    with open(path, "w", encoding="utf-8") as file:
        file.write("seed %d, %s\n" % (seed, vars(options)))
        for text, row in judge.failures:
            file.write(text + "\n")
            for name, log in lines.items() if row else ():
                file.writelines("    %s\n" % line for line in log if row["id"] in line)
        file.writelines("%s\n" % note for note in judge.notes)
        for instance in soak.instances:
            file.write("%s starts %s stops %s reloads %s freezes %s\n" % (
                instance.name, instance.starts, instance.stops, instance.reloads, instance.freezes))
    print("  kept in %s" % path)


def main():
    parser = argparse.ArgumentParser(description="Soak test of chiverail_gateway around SIGTERM.")
    parser.add_argument("build")
    parser.add_argument("seeds", help="seeds such as 7, 1-50 or 3,8-10")
    parser.add_argument("--site", choices=sorted(SITES), default="small")
    parser.add_argument("--template", default=str(ROOT / "deploy/gateway.json.in"), help="template of the settings")
    parser.add_argument("--scale", type=float, default=0.4, help="share of the site's rate of requests")
    parser.add_argument("--seconds", type=float, default=20, help="time in which stops begin")
    parser.add_argument("--busy", type=int, default=0, help="number of busy processes beside it")
    parser.add_argument("--pauses", type=float, default=0.1, help="share of streams with a pause of the engine")
    parser.add_argument("--stretched", type=float, default=0.2, help="share of streams that last longer than usual")
    parser.add_argument("--longest", type=float, default=7, help="length of the longest streams in seconds")
    parser.add_argument("--errors", type=float, default=0.02, help="share of answers that are a 500; 0 for none")
    parser.add_argument("--slow-readers", type=float, default=0.1, help="share of connections with a slow reader")
    parser.add_argument("--event-bytes", type=int, default=70, help="size of an event's data")
    parser.add_argument("--half-closes", type=float, default=0.01, help="share of callers that close their side early")
    parser.add_argument("--shown", type=int, default=10, help="number of failures that are printed")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # ends the processes that were started
    passed = [run_seed(options, seed) for seed in parse_seeds(options.seeds)]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
