"""A heartbeat of a worker is performed late by the store: after the worker's entry was removed because it leaves."""
import os
import threading
import time

import case
from deployment import BOUNDS, call
from platform_store import configuration, plain_service, route
from workers import Worker, worker_id

KEY = "n2ctnfzs989anu6wsjnb"
LATE_S = 5.5  # after which the store performs the write that it did not answer
LEAVES_S = 4.0  # after that write
GONE_S = 8.5  # likewise: the worker has ended
HEARTBEATS_OF_SILENCE = 3


class Caller(threading.Thread):
    """Sends bookings to one machine, one after the other."""

    def __init__(self, case_, machine):
        super().__init__(daemon=True)
        self.case = case_
        self.machine = machine
        self.sent = []  # request id, time, status
        self.ended = threading.Event()

    def run(self):
        while not self.ended.wait(0.05):
            sent_at = time.monotonic()
            request_id, answer = call(self.case.record, self.machine, "POST", "/book/slot", KEY, body=b"x",
                                      deadline_ms=1500)
            self.sent.append((request_id, sent_at, answer.status))


def has_seen_leave(machine, deployment, worker):
    """Whether the machine's log says that it knows that the worker is gone."""
    with open(os.path.join(deployment.folder, machine.name + ".log"), encoding="utf-8") as log:
        return any(worker.id in line and '"gone"' in line for line in log)


def play(case_):
    case_.write_config(configuration(7, [route("r-book", "/book/", "unsafe", "members-app", timeout_ms=800)],
                                     [plain_service("members-app")], {"hule930": [KEY]}))
    workers = []
    for zone in ("bern-a", "bern-b", "thun-c"):
        ip, port = case_.outside_address()
        workers.append(case_.add_worker(Worker(case_.record, worker_id(), "members-app", zone, ip, port, slots=6,
                                               work_s=0.3)))
    case_.start()
    leaver = workers[2]
    callers = [Caller(case_, machine) for machine in case_.machines for _ in range(2)]
    for caller in callers:
        caller.start()
    time.sleep(2)
    lost_at = time.monotonic()
    late_entry = leaver.entry()
    if case_.trouble:
        case_.record.line("store: the heartbeat %d of %s gets no answer" % (late_entry["sequence"], leaver.id))
    else:
        case_.store.put("servers", leaver.id, late_entry)
    time.sleep(LEAVES_S)
    case_.workers.remove(leaver)
    case_.store.delete("servers", leaver.id)
    left_at = time.monotonic()
    case_.record.line("store: the entry of %s is removed, after heartbeat %d; it goes on serving for a while" %
                      (leaver.id, leaver.sequence))
    time.sleep(lost_at + LATE_S - time.monotonic())
    for machine in case_.machines:
        if not has_seen_leave(machine, case_.deployment, leaver):
            raise case.CannotRun("%s has not seen that the worker leaves" % machine.name)
    case_.record.line("all machines have logged that %s is gone" % leaver.id)
    if case_.trouble:
        case_.store.put("servers", leaver.id, late_entry)
        case_.record.line("store: heartbeat %d of %s is performed" % (late_entry["sequence"], leaver.id))
    time.sleep(lost_at + GONE_S - time.monotonic())
    leaver.end()
    case_.record.line("worker %s has ended" % leaver.id)
    if case_.trouble:
        time.sleep(LATE_S + HEARTBEATS_OF_SILENCE * case.HEARTBEAT_S - GONE_S + 0.1)
        case_.store.delete("servers", leaver.id)
        case_.record.line("store: the entry of %s has expired" % leaver.id)
    for caller in callers:
        caller.ended.set()
    for caller in callers:
        caller.join()
    bound = left_at + BOUNDS["drain_ms"] / 1000
    late = [(request_id, sent_at) for caller in callers for request_id, sent_at, _ in caller.sent
            if sent_at > bound and request_id in leaver.runs]
    before = sum(1 for caller in callers for request_id, sent_at, _ in caller.sent
                 if sent_at <= left_at and request_id in leaver.runs)
    lost = [request_id for caller in callers for request_id, sent_at, status in caller.sent
            if sent_at > bound and request_id in leaver.runs and status != 200]
    case_.record.line("%s ran %d requests before it left, and %d that were sent over %d ms after that; %d of these "
                      "got no answer of the worker" % (leaver.id, before, len(late), BOUNDS["drain_ms"], len(lost)))
    if not before:
        raise case.CannotRun("the worker got no requests before it left")
    if not late:
        return ""
    return "%d requests reached a worker up to %.1f s after the store had acknowledged that it leaves" % (
        len(late), max(sent_at for _, sent_at in late) - left_at)


case.run(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play)
