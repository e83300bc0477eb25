"""A model worker is taken away 2 s after its notice, while it writes streams that end with their connections."""
import os
import subprocess
import sys
import threading
import time

import case
from deployment import call
from platform_store import configuration, engine_service, route
from workers import worker_id

KEY = "n2ctnfzs989anu6wsjnb"
EVENTS, PAUSE_S = 48, 0.1
NOTICE_S = 2.0
STREAMS = 24


class WorkerProcess:
    """A worker that runs as a process; what it prints goes into the record."""

    def __init__(self, case_, zone):
        self.record = case_.record
        self.id = worker_id()
        self.service = "model-servers"
        self.zone = zone
        self.address = case_.outside_address()
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.ready = threading.Event()
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(os.path.dirname(case.__file__), "stream_worker.py"), self.id, self.service,
             zone, self.address[0], str(self.address[1]), str(EVENTS), str(PAUSE_S)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.made = {}  # pieces by request
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.process.stdout:
            words = line.split()
            if words == ["listens"]:
                self.ready.set()
                continue
            if "makes" in words:
                self.made[words[-1]] = int(words[4])
            else:
                self.record.line(line.strip())

    def listen(self):
        if not self.ready.wait(5):
            raise case.CannotRun("a worker does not start")

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                "slots": 64, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}

    def leave(self):
        self.state = "draining"
        self.process.stdin.write("leave\n")
        self.process.stdin.flush()


def play(case_):
    case_.write_config(configuration(
        7, [route("r-report", "/report/", "stream", "model-servers", timeout_ms=12000, target_latency_ms=600),
            route("r-bench", "/bench/", "stream", "model-servers", timeout_ms=12000, target_latency_ms=400,
                  attempts=2, stream_resume=True)],
        [engine_service("model-servers")], {"hule930": [KEY]}))
    workers = [WorkerProcess(case_, zone) for zone in ("bern-a", "bern-b", "thun-c")]
    try:
        return reclaim(case_, workers)
    finally:
        for worker in workers:
            worker.process.kill()
            worker.process.wait()


def reclaim(case_, workers):
    for worker in workers:
        case_.add_worker(worker)
    case_.start()
    answers = {}

    def stream(machine, path):
        request_id, answer = call(case_.record, machine, "POST", path, KEY, deadline_ms=12000, fields={
            "X-Model": "m", "X-Token-Usage": "1460,80"})
        answers[request_id] = answer

    callers = [threading.Thread(target=stream, args=(case_.machines[i % len(case_.machines)],
                                                     ("/report/pan", "/bench/pan")[i % 2])) for i in range(STREAMS)]
    for caller in callers:
        caller.start()
        time.sleep(0.02)
    time.sleep(0.5)
    leaver = workers[2]
    leaver.leave()
    case_.store.put("servers", leaver.id, leaver.entry())
    case_.record.line("store: worker %s is draining" % leaver.id)
    if case_.trouble:
        time.sleep(NOTICE_S)
        case_.workers.remove(leaver)
        leaver.process.kill()
        leaver.process.wait()
        case_.record.line("worker %s is taken away (SIGKILL)" % leaver.id)
    for caller in callers:
        caller.join()
    made = {request_id: pieces for worker in workers for request_id, pieces in worker.made.items()}
    broken = []
    for request_id, answer in answers.items():
        pieces = answer.body.count(b"\n\n")
        case_.record.line("request %s: status %d, %d of %d pieces, worker made %d, %s" % (
            request_id, answer.status, pieces, EVENTS, made.get(request_id, 0), answer.end))
        if answer.status == 200 and answer.complete and pieces < EVENTS:
            broken.append(request_id)
    whole = sum(1 for answer in answers.values() if answer.body.count(b"\n\n") == EVENTS)
    case_.record.line("%d streams with all pieces, %d with fewer that end like whole ones" % (whole, len(broken)))
    if not whole:
        raise case.CannotRun("no stream was whole")
    return "%d streams end as complete before their last piece" % len(broken) if broken else ""


case.run(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play)
