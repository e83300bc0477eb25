"""A part of a prompt crashes each worker. Once it is known, a configuration moves the route to another service."""
import os
import random
import threading
import time

import case
from deployment import BOUNDS, call, new_id
from platform_store import configuration, engine_service, route
from workers import Worker, head_text, seal, worker_id

KEY = "n2ctnfzs989anu6wsjnb"
FIRST, SECOND = "model-servers", "report-servers"
SYSTEM_PART, DEADLY_PART = "5c1e07a2", "91bd3f06"
DOCUMENTS = ["a0%02x44c1" % i for i in range(8)]
EVENTS, PAUSE_S = 5, 0.1
BACK_S = 3.0  # after which a crashed worker is back
DEADLY_PAUSE_S = 0.3
SOUND_PAUSE_S = 0.1


class Engine(Worker):
    """A model worker. One that begins to write an answer on the deadly part crashes, and is back after some seconds."""

    def __init__(self, case_, *args):
        super().__init__(case_.record, *args)
        self.case = case_
        self.crashed = False
        self.lock = threading.Lock()

    def crash(self):
        with self.lock:
            if self.crashed:
                return
            self.crashed = True
        self.record.line("worker %s (%s) crashes" % (self.id, self.service))
        self.case.crashes.append(time.monotonic())
        self.case.workers.remove(self)
        self.end()
        threading.Timer(BACK_S, self.come_back).start()

    def come_back(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.crashed = False
        self.case.add_worker(self)

    def serve(self, request, connection):
        deadly = DEADLY_PART in request.fields.get("x-prompt-prefix", "")
        if deadly:
            self.case.deadly_arrivals.append(request.id)
        self.begin(request)
        time.sleep(0.05)
        connection.sendall(head_text(200, "OK", {"X-Request-Id": request.id, "X-Response-Seal": seal(request.id, b""),
                                                 "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        if deadly and self.case.trouble:
            self.crash()
            return False
        for number in range(1, EVENTS + 1):
            time.sleep(PAUSE_S)
            event = b"id: %d\ndata: piece\n\n" % number
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return True


class Callers:
    """Sends requests with and without the deadly part to any machine."""

    def __init__(self, case_):
        self.case = case_
        self.deadly = {}  # time of sending by request
        self.sound = []  # status
        self.ended = threading.Event()
        self.lock = threading.Lock()

    def send(self, part):
        deadly = part == DEADLY_PART
        request_id = new_id()
        if deadly:
            self.deadly[request_id] = time.monotonic()
        prompt = "%s:800,%s:410,%s:250" % (SYSTEM_PART, part, os.urandom(4).hex())
        _, answer = call(self.case.record, random.choice(self.case.machines), "POST", "/report/pan", KEY,
                         {"X-Model": "m", "X-Token-Usage": "1460,80", "X-Prompt-Prefix": prompt}, request_id=request_id)
        if not deadly:
            self.sound.append(answer.status)

    def run(self, pause_s, parts):
        while not self.ended.wait(pause_s):
            threading.Thread(target=self.send, args=(random.choice(parts),), daemon=True).start()

    def start(self, pause_s, parts):
        threading.Thread(target=self.run, args=(pause_s, parts), daemon=True).start()


def config(version, service):
    return configuration(version, [route("r-report", "/report/", "stream", service, timeout_ms=12000,
                                         target_latency_ms=600)],
                         [engine_service(FIRST), engine_service(SECOND)], {"hule930": [KEY]})


def wait_for(condition, seconds):
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        time.sleep(0.05)
    return condition()


def play(case_):
    case_.crashes = []
    case_.deadly_arrivals = []
    case_.write_config(config(7, FIRST))
    zones = ["bern-a", "bern-b", "thun-c", "bern-a", "bern-b", "thun-c"]
    for service in (FIRST, SECOND):
        for zone in zones:
            ip, port = case_.outside_address()
            case_.add_worker(Engine(case_, worker_id(), service, zone, ip, port))
    case_.start()
    callers = Callers(case_)
    callers.start(SOUND_PAUSE_S, DOCUMENTS)
    time.sleep(3)
    callers.start(DEADLY_PAUSE_S, [DEADLY_PART])
    if case_.trouble and not wait_for(lambda: len(case_.crashes) >= 5, 30):
        raise case.CannotRun("fewer than five crashes")
    time.sleep(BOUNDS["contact_ms"] / 1000 + BACK_S + 2)
    case_.write_config(config(9, SECOND))
    time.sleep(12)
    callers.ended.set()
    time.sleep(1)
    served = sum(1 for status in callers.sound if status == 200)
    case_.record.line("%d of %d sound requests got an answer of a worker" % (served, len(callers.sound)))
    if not served:
        raise case.CannotRun("no sound request was served")
    if not case_.trouble:
        return ""
    bound = case_.crashes[4] + BOUNDS["contact_ms"] / 1000
    late = [request_id for request_id in case_.deadly_arrivals if callers.deadly[request_id] > bound]
    case_.record.line("%d crashes; %d requests with the deadly part reached workers that were sent over %d ms after "
                      "the fifth crash" % (len(case_.crashes), len(late), BOUNDS["contact_ms"]))
    if len(late) <= 3:
        return ""
    return "%d requests with a part that crashes workers reached workers over %d ms after the fifth crash" % (
        len(late), BOUNDS["contact_ms"])


case.run(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), play)
