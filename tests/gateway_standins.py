"""Stand-ins for the platform's store and workers, and a wrapper of a gateway process, for tests that run the
gateway as a separate process.
"""
import base64
import collections
import http.client
import itertools
import json
import os
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

WAIT_S = 10  # timeout of every wait
LONG_STREAM = 24  # a stream of a path with /long has this many times the events


# Each port is returned at most once, so that processes that have not yet bound to their ports get different ones.
# The block of ports depends on the process id, so that parallel test runs use different ports. All ports are below
# the system's ephemeral range, since restarted processes must be able to bind to their ports again.
FIRST_PORT = 10240
PORTS_PER_BLOCK = 300
PORT_BLOCKS = 72
UNIT_TEST_BLOCK = 27  # 18340 to 18639: has the fixed ports of the unit tests


def first_port():
    block = os.getpid() % (PORT_BLOCKS - 1)
    return FIRST_PORT + (block + (block >= UNIT_TEST_BLOCK)) * PORTS_PER_BLOCK


next_ports = itertools.count(first_port())


def free_ports(count):
    """Returns distinct free ports that no earlier call has returned."""
    ports = []
    while len(ports) < count:
        port = next(next_ports)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def wait_until(condition, what):
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError("timeout while waiting for: " + what)


class Door:
    """An address of the store, for the instances that are to be served or left without answers together."""

    def __init__(self):
        self.silent = False
        self.ended = threading.Event()

    def wait_if_silent(self):
        """Returns True if the call gets no answer."""
        if not self.silent:
            return False
        self.ended.wait()
        return True


class Store:
    """In-memory version of the platform's store: tables with row versions and a change feed."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.down = False
        self.failure_mode = None  # or down, slow, lost (responses to writes), refuse_history
        self.calls = 0
        self.feed_calls = collections.Counter()  # by table
        self.changed = threading.Condition()
        self.address = self.add_door(Door())

    def add_door(self, door):
        """Serves the store at one more address and returns that."""
        return "127.0.0.1:%d" % serve(self.make_handler(door)).server_port

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            text = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.rows[(table, key)] = {"key": key, "value": base64.b64encode(text).decode(), "ver": self.version}
            self.changed.notify_all()

    def delete(self, table, key):
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = {"key": key, "ver": self.version, "tombstone": True}
            self.changed.notify_all()

    def listing(self, table, after=-1):
        rows = [row for (name, _), row in self.rows.items() if name == table and row["ver"] > after]
        if after < 0:
            rows = [row for row in rows if not row.get("tombstone")]
        return sorted(rows, key=lambda row: row["ver"])

    def make_handler(store, door):
        class Handler(QuietHandler):
            def do_GET(self):
                if door.wait_if_silent():
                    return None
                url = urlparse(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                store.calls += 1
                if store.refuses(self):
                    return None
                if url.path == "/api/rows-get":
                    with store.changed:
                        return self.reply(200, {"rows": store.listing(query["table_name"]), "has_more": False,
                                                "ver": store.version, "now_ms": store.now_ms()})
                after = int(query["since_rev"])
                store.feed_calls[query["table_name"]] += 1
                end = time.monotonic() + int(query["wait_ms"]) / 1000
                with store.changed:
                    while not store.listing(query["table_name"], after) and time.monotonic() < end:
                        store.changed.wait(end - time.monotonic())
                    body = {"rows": store.listing(query["table_name"], after), "ver": store.version, "now_ms": store.now_ms()}
                if door.wait_if_silent():
                    return None
                self.reply(503 if store.down else 200, body)

            def do_POST(self):
                if door.wait_if_silent():
                    return None
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if store.refuses(self):
                    return None
                if not store.meets(body["expected_rev"]):
                    return self.reply(412, {"rows": [], "ver": store.version, "now_ms": store.now_ms()})
                for row in body["set_keys"]:
                    store.put(row["table_name"], row["key"], base64.b64decode(row["value"]))
                for row in body["delete_keys"]:
                    store.delete(row["table_name"], row["key"])
                if store.failure_mode == "lost":
                    self.close_connection = True
                    return None
                return self.reply(200, {"ver": store.version, "now_ms": store.now_ms()})

        return Handler

    @staticmethod
    def now_ms():
        return int(time.monotonic() * 1000)

    def meets(self, expected):
        """Returns whether all rows have the versions that a transaction expects."""
        for row in expected:
            known = self.rows.get((row["table_name"], row["key"]))
            if row["ver"] != (0 if known is None or known.get("tombstone") else known["ver"]):
                return False
        return True

    def refuses(self, handler):
        """Applies the current failure mode. Returns True if it has sent the response."""
        if self.failure_mode == "slow":
            time.sleep(0.4)
        if self.failure_mode == "refuse_history" and "rows-feed" in handler.path:
            handler.reply(410, {})
            return True
        if self.down or self.failure_mode == "down":
            handler.reply(503, {})
            return True
        return False


class Worker:
    """A worker that answers every request, or streams events at a fixed interval."""

    def __init__(self, event_pause_s=0.1, events=20):
        worker = self
        self.received = []

        class Handler(QuietHandler):
            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                worker.received.append(dict(self.headers.items()))
                if not worker.on_request(self):
                    return
                if self.path.startswith("/stream/"):
                    self.stream()
                else:
                    self.reply(200, {"ok": True}, self.seal_fields())

            def seal_fields(self):
                return {"X-Request-Id": self.headers["X-Request-Id"], "X-Response-Seal": "s"}

            def stream(self):
                self.send_response(200)
                for name, value in self.seal_fields().items():
                    self.send_header(name, value)
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                for number in range(events * LONG_STREAM if "/long" in self.path else events):
                    event = ("id: %d\ndata: x\n\n" % number).encode()
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                    self.wfile.flush()
                    time.sleep(event_pause_s)
                self.wfile.write(b"0\r\n\r\n")

        self.server = serve(Handler)
        self.address = "127.0.0.1:%d" % self.server.server_port

    def on_request(self, handler):
        """Called before each response. Returns False if it has answered the request itself."""
        del handler
        return True


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def reply(self, status, body, fields=None):
        text = json.dumps(body).encode()
        self.send_response(status)
        for name, value in (fields or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)


class QuietServer(ThreadingHTTPServer):
    def handle_error(self, *_):
        pass  # the gateway has closed the connection


def serve(handler):
    server = QuietServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def config(version, idle_routes=0):
    route = {"host": "h.example", "timeout_ms": 8000, "target_latency_ms": 400, "attempts": 1, "public": False,
             "service": "s", "stream_resume": False}
    routes = [dict(route, name="r-1", prefix="/book/", kind="unsafe"),
              dict(route, name="r-2", prefix="/stream/", kind="stream")]
    routes += [dict(route, name="idle-%d" % i, prefix="/idle%d/" % i, kind="safe") for i in range(idle_routes)]
    return {"version": version, "routes": routes,
            "services": [{"name": "s", "max_connections": 100, "cold_start_s": 0, "cold_per_s": 0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "t-1", "api_keys": ["k-1"]}]}


class Gateway:
    """A gateway process with its settings file and log."""

    def __init__(self, program, name, platform_address, seeds="", withdrawal_ms=5000, data_centre="west",
                 settings=None):
        ports = free_ports(5)
        self.front, self.ready, self.directory, self.metrics, self.peer = ports
        self.settings = {"instance_id": name, "data_centre": data_centre, "platform_address": platform_address,
                         "caller_address": "127.0.0.1:%d" % self.front,
                         "ready_address": "127.0.0.1:%d" % self.ready,
                         "directory_address": "127.0.0.1:%d" % self.directory,
                         "metrics_address": "127.0.0.1:%d" % self.metrics,
                         "peer_address": "127.0.0.1:%d" % self.peer, "seeds": seeds,
                         "key_withdrawal_ms": withdrawal_ms, **(settings or {})}
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
        self.write_settings()
        self.log = tempfile.TemporaryFile("w+")
        self.process = subprocess.Popen([program, "--settings", self.file.name], stdout=self.log)

    def write_settings(self):
        with open(self.file.name, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)

    def get(self, port, path):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def is_ready(self):
        return self.get(self.ready, "/api/ready")[0] == 200

    def send_request(self, path, key="k-1", fields=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.front, timeout=WAIT_S)
        headers = {"Host": "h.example", "X-Request-Id": os.urandom(8).hex(), "X-Deadline-Ms": "8000",
                   "X-Credential": key}
        connection.request("POST", path, body=b"body", headers={**headers, **(fields or {})})
        response = connection.getresponse()
        body = response.read()
        connection.close()
        return response.status, body

    def peak_kb(self):
        with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as status:
            return int([line for line in status if line.startswith("VmHWM")][0].split()[1])

    def lines(self):
        self.log.seek(0)
        return [json.loads(line) for line in self.log]

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        os.unlink(self.file.name)
