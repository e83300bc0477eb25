"""The frame of a script: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
import os
import shutil
import signal
import sys
import threading
import traceback

from deployment import Addresses, CannotRun, Deployment, Record
from platform_store import Store

HEARTBEAT_S = 1.2


class Case:
    """A deployment with its store, and heartbeats of its workers."""

    def __init__(self, record_path, machines=3):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(record_path)
        self.record.line("TROUBLE=%d" % self.trouble)
        self.addresses = Addresses()
        self.next_outside = 1
        ip, port = self.outside_address()
        self.store = Store(self.record, ip, port)
        self.deployment = Deployment(self.record, self.store, self.addresses, machines)
        self.machines = self.deployment.machines
        self.workers = []
        self.stopped = threading.Event()

    def outside_address(self):
        """An address for the store or a worker."""
        ip = self.addresses.outside(self.next_outside)
        self.next_outside += 1
        return ip, self.addresses.free_ports([ip], 1)[0]

    def write_config(self, config):
        self.store.put("op", "config", config)
        self.record.line("operator: configuration %d is acknowledged" % config["version"])

    def add_worker(self, worker):
        """Starts a worker that registers itself and writes its heartbeats."""
        worker.listen()
        self.store.put("servers", worker.id, worker.entry())
        self.workers.append(worker)
        self.record.line("worker %s (%s) registers at %s:%d" % ((worker.id, worker.service) + worker.address))
        return worker

    def start(self):
        threading.Thread(target=self._beat, daemon=True).start()
        self.deployment.start()

    def _beat(self):
        while not self.stopped.wait(HEARTBEAT_S):
            for worker in list(self.workers):
                self.store.put("servers", worker.id, worker.entry())


def run(record_path, play, machines=3):
    """Plays a case: `play` returns what broke the rule, or an empty text."""

    def give_up(*_):
        raise CannotRun("it takes too long")

    signal.signal(signal.SIGTERM, give_up)
    case = None
    status = 2
    try:
        case = Case(record_path, machines)
        broken = play(case)
        ended = case.deployment.exits()
        if ended:
            case.record.line("processes that ended by themselves: " + ", ".join(ended))
        case.record.line("RULE BROKEN: " + broken if broken else "the rule held")
        status = 1 if broken else 0
    except CannotRun as error:
        print("cannot run: %s" % error, file=sys.stderr)
    except Exception:
        traceback.print_exc()
    finally:
        if case is not None:
            case.stopped.set()
            case.deployment.stop()
            if os.environ.get("KEEP_LOGS"):
                print("logs in " + case.deployment.folder)
            else:
                shutil.rmtree(case.deployment.folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(status)
