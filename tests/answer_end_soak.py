"""Soak test of how answers end: workers and instances of chiverail_gateway are processes of their own, and answers that
are being sent, with a length, in chunks or with neither, end early in the ways in which a process can end them:
workers are killed, with notice or without, stopped and continued, reset a connection, close it or one direction of it; instances are paused
over a reset, and callers read slowly.

MIXED: a 2xx that looks complete to its caller (by its length, its last chunk or a regular close) and whose body isn't
the worker's whole body. One case is counted apart, since nobody can tell it from a whole answer: a worker that lives
and accepts connections ended an answer without a length regularly, and its caller got it without a length as well.

Usage: answer_end_soak.py PROGRAM_DIR SEEDS [--seconds N] [--callers N]
The seed determines requests, answers and disturbances, but not the interleaving of the processes.
"""
import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from answer_end_workers import ENDINGS, FRAMINGS, whole_body
from gateway_standins import Gateway, Store, config, wait_until
from soak import parse_seeds
from stop_soak_messages import head, parse_head

KINDS = {"safe": ("safe", 2, False), "unsafe": ("unsafe", 1, False), "stream": ("stream", 1, False),
         "resumed": ("stream", 2, True)}  # by route: kind, attempts, whether streams can be resumed
WORKERS = {"plain": 5, "models": 4}
GATEWAYS = 3
DEADLINE_S = 4.0
# A worker that isn't killed for this long after an answer's end, or accepts a connection after it, was alive at that end.
ALIVE_S = 1.0
EARLY_BODY_BYTES = 300_000
SLOW_S = 2.5  # a slow caller reads a head and then nothing for so long, so that its instance pauses a large answer
SLOW_BUFFER_BYTES = 65536
PAUSES_S = (0.03, 0.06, 0.3, 1.2)
MIN_ANSWERS_PER_S = 5  # a run with fewer whole answers shows nothing


class WorkerProcess:
    def __init__(self, name, service, log):
        self.name, self.service = name, service
        self.killed = None
        self.state = "ready"
        program = pathlib.Path(__file__).with_name("answer_end_workers.py")
        self.process = subprocess.Popen([sys.executable, str(program), name, log], stdout=subprocess.PIPE)
        self.address = self.process.stdout.readline().decode().strip()

    def entry(self, sequence):
        return {"service": self.service, "address": self.address, "zone": "west", "version": "v1", "slots": 16,
                "state": self.state, "cold_remaining_ms": 0, "sequence": sequence, "born": 1}

    def kill(self):
        self.killed = self.killed or time.monotonic()
        self.process.kill()


class Soak:
    def __init__(self, options, seed, folder):
        self.options, self.seed, self.log = options, seed, os.path.join(folder, "answers.log")
        self.random = random.Random("%d disturbances" % seed)
        self.store, self.gateways, self.workers, self.rows = Store(), [], [], []
        self.end, self.sequence = None, 1

    def add_worker(self, service):
        worker = WorkerProcess("w-%d" % len(self.workers), service, self.log)
        self.workers.append(worker)
        self.store.put("servers", worker.name, worker.entry(1))

    def start(self):
        for service, count in WORKERS.items():
            for _ in range(count):
                self.add_worker(service)
        document = config(2)
        route, service = document["routes"][0], document["services"][0]
        document["services"] = [dict(service, name=name) for name in WORKERS]
        document["routes"] = [dict(route, name=name, prefix="/%s/" % name, kind=kind, attempts=attempts,
                                   service="models" if kind == "stream" else "plain", stream_resume=resume,
                                   timeout_ms=int(DEADLINE_S * 1000))
                              for name, (kind, attempts, resume) in KINDS.items()]
        document["limits"]["max_body_bytes"] = 2 * EARLY_BODY_BYTES
        self.store.put("op", "config", document)
        for number in range(GATEWAYS):
            seeds = "127.0.0.1:%d" % self.gateways[0].peer if self.gateways else ""
            self.gateways.append(Gateway(os.path.join(self.options.build, "chiverail_gateway"), "front-%d" % number,
                                         self.store.address, seeds=seeds))
        wait_until(lambda: all(gateway.is_ready() for gateway in self.gateways), "all instances are ready")

    def stop(self):
        for worker in self.workers:
            worker.kill()
            worker.process.wait()
            worker.process.stdout.close()
        for gateway in self.gateways:
            gateway.process.send_signal(signal.SIGCONT)
            gateway.stop()

    async def run(self):
        self.end = time.monotonic() + self.options.seconds
        tasks = [self.disturb_workers(), self.refresh_entries(), *map(self.continue_gateway, range(GATEWAYS))]
        beside = [asyncio.create_task(task) for task in tasks]
        try:
            await asyncio.gather(*(self.call_in_turn(number) for number in range(self.options.callers)))
            await asyncio.sleep(ALIVE_S)
        finally:
            for task in beside:
                task.cancel()
        for result in await asyncio.gather(*beside, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def refresh_entries(self):
        while True:
            await asyncio.sleep(1)
            self.sequence += 1
            for worker in self.workers:
                if not worker.killed:
                    self.store.put("servers", worker.name, worker.entry(self.sequence))

    async def disturb_workers(self):
        """Kills a worker, some of them after they have said that they leave, or stops it for a while. Another one takes the
        place of a killed one."""
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.2))
            worker = self.random.choice([worker for worker in self.workers if not worker.killed])
            if self.random.random() < 0.4:
                worker.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.random.choice([0.05, 0.4, 1.5]))
                worker.process.send_signal(signal.SIGCONT)
                if self.random.random() < 0.5:
                    continue
            if self.random.random() < 0.4:
                worker.state = "draining"
                self.store.put("servers", worker.name, worker.entry(self.sequence))
                await asyncio.sleep(self.random.choice([0.1, 0.4, 1]))
            worker.kill()
            await asyncio.sleep(self.random.choice([0, 0.3]))
            self.store.delete("servers", worker.name)
            self.add_worker(worker.service)

    async def continue_gateway(self, number):
        """Workers stop an instance before they reset its connection; it goes on after a while."""
        pid, rng = self.gateways[number].process.pid, random.Random("%d pauses %d" % (self.seed, number))
        while True:
            await asyncio.sleep(0.01)
            with open("/proc/%d/stat" % pid, encoding="utf-8") as stat:
                state = stat.read().rsplit(") ", 1)[1][0]
            if state == "T":
                await asyncio.sleep(rng.choice(PAUSES_S))
                os.kill(pid, signal.SIGCONT)

    async def call_in_turn(self, number):
        """One caller: sends its requests on one connection for as long as that is kept."""
        rng, gateway = random.Random("%d caller %d" % (self.seed, number)), self.gateways[number % GATEWAYS]
        stream = None
        while time.monotonic() < self.end:
            row = self.next_request(rng, gateway)
            self.rows.append(row)
            try:
                if stream and row["slow"]:
                    stream[1].transport.abort()
                    stream = None
                stream = stream or await asyncio.wait_for(self.connect(gateway, row["slow"]), DEADLINE_S)
                keep = await asyncio.wait_for(self.call(row, *stream), DEADLINE_S + 1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError,
                    IndexError):
                keep = False
            if not keep and stream:
                stream[1].transport.abort()
                stream = None
            if row["status"] not in (200, 0):
                await asyncio.sleep(0.02)
        if stream:
            stream[1].transport.abort()

    @staticmethod
    async def connect(gateway, slow):
        sock = socket.socket()
        sock.setblocking(False)
        if slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", gateway.front))
        return await asyncio.open_connection(sock=sock)

    @staticmethod
    def next_request(rng, gateway):
        ending = "whole" if rng.random() < 0.45 else rng.choice(ENDINGS)
        early = rng.random() < 0.08
        return {"id": "%016x" % rng.getrandbits(64), "kind": rng.choice(list(KINDS)), "framing": rng.choice(FRAMINGS),
                "ending": ending, "early": early, "slow": rng.random() < 0.1, "pid": gateway.process.pid, "status": 0,
                "how": None, "complete": False, "body": b"",
                "bytes": EARLY_BODY_BYTES if early else rng.choice([10, 3000])}

    async def call(self, row, reader, writer):
        """Returns whether the connection is kept."""
        target = "/%(kind)s/%(framing)s/%(ending)s/%(early)d/%(pid)d" % row
        body = b"x" * row["bytes"]
        writer.write(head("POST %s HTTP/1.1" % target,
                          {"Host": "h.example", "X-Request-Id": row["id"], "X-Credential": "k-1",
                           "X-Deadline-Ms": int(DEADLINE_S * 1000), "Content-Length": len(body)}) + body)
        line, fields = parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])
        row["status"] = int(line.split(" ")[1])
        if row["slow"]:
            await asyncio.sleep(SLOW_S)
        if fields.get("transfer-encoding") == "chunked":
            row["how"] = "chunks"
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                row["body"] += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        elif "content-length" in fields:
            row["how"] = "length"
            row["body"] = await reader.readexactly(int(fields["content-length"]))
        else:
            row["how"] = "close"
            while True:
                part = await reader.read(65536)
                row["body"] += part
                if not part:
                    break
        row["complete"] = True
        return row["how"] != "close" and not row["slow"] and fields.get("connection", "").lower() != "close"


def last_answers(path):
    """By request: the worker's record of its last answer. By worker: when it last accepted a connection."""
    records, accepted = {}, {}
    with open(path, encoding="utf-8") as log:
        for line in log:
            record = json.loads(line)
            if "accepted" in record:
                accepted[record["accepted"]] = record["at"]
            else:
                records[record["id"]] = record
    return records, accepted


def judge(soak):
    """Prints the cases and returns whether the run has passed."""
    workers = {worker.name: worker for worker in soak.workers}
    (records, accepted), counts, mixed = last_answers(soak.log), collections.Counter(), collections.Counter()
    for row in soak.rows:
        record = records.get(row["id"], {"ending": "none", "framing": "none", "worker": None, "at": 0, "unread": False})
        worker = workers.get(record["worker"])
        alive = worker is not None and (worker.killed is None or worker.killed > record["at"] + ALIVE_S or
                                        accepted.get(worker.name, 0) > record["at"])
        ending = record["ending"] if record["ending"] != "begun" else "begun" if alive else "killed"
        whole = whole_body(row["kind"], row["id"])
        good = 200 <= row["status"] < 300
        same = row["body"] == whole
        outcome = "whole" if same else "MIXED"
        if not good or not row["complete"]:
            outcome = "refused" if row["complete"] else "cut"
        elif not same and ending in ("close", "half") and alive and not record["unread"] and \
                record["framing"] == row["how"] == "close" and whole.startswith(row["body"]):
            outcome = "can't be told"
        counts[outcome] += 1
        if outcome in ("MIXED", "can't be told"):
            case = "%-7s worker: %s, ended by %s%s; caller: %s" % (
                row["kind"], record["framing"], ending, " with unread bytes" if record["unread"] else "", row["how"])
            mixed[(outcome, case)] += 1
            if outcome == "MIXED" and mixed[(outcome, case)] <= soak.options.shown:
                print("  MIXED %s %s: %d of %d bytes, worker %s%s" % (
                    row["id"], case, len(row["body"]), len(whole), record["worker"], "" if alive else " (killed)"))
    for (outcome, case), count in sorted(mixed.items()):
        print("  %-13s %4d  %s" % (outcome, count, case))
    print("seed %d: %s" % (soak.seed, ", ".join("%s %d" % item for item in sorted(counts.items()))), flush=True)
    if counts["whole"] < MIN_ANSWERS_PER_S * soak.options.seconds:
        print("  too few whole answers")
        return False
    return counts["MIXED"] == 0


def run_seed(options, seed):
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(options, seed, folder)
        try:
            soak.start()
            asyncio.run(soak.run())
        finally:
            soak.stop()
        return judge(soak)


def main():
    parser = argparse.ArgumentParser(description="Soak test of how answers of chiverail_gateway end.")
    parser.add_argument("build")
    parser.add_argument("seeds", help="seeds such as 7, 1-50 or 3,8-10")
    parser.add_argument("--seconds", type=float, default=15, help="time in which requests begin")
    parser.add_argument("--callers", type=int, default=30)
    parser.add_argument("--shown", type=int, default=1, help="number of failures of a case that are printed")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # ends the processes that were started
    passed = [run_seed(options, seed) for seed in parse_seeds(options.seeds)]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
