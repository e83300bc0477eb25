"""Runs chiverail_gateway as separate processes against a small store and worker of this file, which speak
the platform's protocol, and checks serving, draining, reloads and the loss of the store.

Usage: gateway_test.py BUILD_DIR
"""
import base64
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
WAIT_S = 10  # longest time for anything that should happen soon


def free_ports(count):
    """Different free ports: all are held until the last one is found."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def wait_until(condition, what):
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError("did not happen: " + what)


class Store:
    """The platform's store: tables with versions and a feed, in memory."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.down = False
        self.calls = 0
        self.changed = threading.Condition()
        self.server = serve(self.make_handler())
        self.address = "127.0.0.1:%d" % self.server.server_port

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

    def make_handler(store):
        class Handler(QuietHandler):
            def do_GET(self):
                url = urlparse(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                store.calls += 1
                if store.down:
                    return self.reply(503, {})
                if url.path == "/api/rows-get":
                    with store.changed:
                        return self.reply(200, {"rows": store.listing(query["table_name"]), "has_more": False,
                                                "ver": store.version, "now_ms": 1})
                after = int(query["since_rev"])
                end = time.monotonic() + int(query["wait_ms"]) / 1000
                with store.changed:
                    while not store.listing(query["table_name"], after) and time.monotonic() < end:
                        store.changed.wait(end - time.monotonic())
                    body = {"rows": store.listing(query["table_name"], after), "ver": store.version, "now_ms": 1}
                self.reply(503 if store.down else 200, body)

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if store.down:
                    return self.reply(503, {})
                for row in body["set_keys"]:
                    store.put(row["table_name"], row["key"], base64.b64decode(row["value"]))
                for row in body["delete_keys"]:
                    store.delete(row["table_name"], row["key"])
                self.reply(200, {"ver": store.version, "now_ms": 1})

        return Handler


class Worker:
    """A worker that answers every request, or streams events slowly."""

    def __init__(self, event_pause_s=0.1):
        worker = self
        self.seen = []

        class Handler(QuietHandler):
            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                worker.seen.append(dict(self.headers.items()))
                if self.path.startswith("/stream/"):
                    return self.stream()
                self.reply(200, {"ok": True}, self.own())

            def own(self):
                return {"X-Request-Id": self.headers["X-Request-Id"], "X-Response-Seal": "s"}

            def stream(self):
                self.send_response(200)
                for name, value in self.own().items():
                    self.send_header(name, value)
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                for number in range(20):
                    event = ("id: %d\ndata: x\n\n" % number).encode()
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                    self.wfile.flush()
                    time.sleep(event_pause_s)
                self.wfile.write(b"0\r\n\r\n")

        self.server = serve(Handler)
        self.address = "127.0.0.1:%d" % self.server.server_port


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
        pass  # connections that the gateway drops


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
    def __init__(self, name, store, seeds="", withdrawal_ms=5000):
        ports = free_ports(5)
        self.front, self.ready, self.directory, self.metrics, self.peer = ports
        self.settings = {"instance_id": name, "data_centre": "west", "platform_address": store.address,
                         "caller_address": "127.0.0.1:%d" % self.front,
                         "ready_address": "127.0.0.1:%d" % self.ready,
                         "directory_address": "127.0.0.1:%d" % self.directory,
                         "metrics_address": "127.0.0.1:%d" % self.metrics,
                         "peer_address": "127.0.0.1:%d" % self.peer, "seeds": seeds,
                         "key_withdrawal_ms": withdrawal_ms}
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
        self.write_settings()
        self.log = tempfile.TemporaryFile("w+")
        self.process = subprocess.Popen([os.path.join(BUILD, "chiverail_gateway"), "--settings", self.file.name],
                                        stdout=self.log)

    def write_settings(self):
        with open(self.file.name, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)

    def get(self, port, path):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def is_ready(self):
        return self.get(self.ready, "/api/ready")[0] == 200

    def ask(self, path, key="k-1", fields=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.front, timeout=WAIT_S)
        headers = {"Host": "h.example", "X-Request-Id": os.urandom(8).hex(), "X-Deadline-Ms": "8000",
                   "X-Credential": key}
        connection.request("POST", path, body=b"body", headers={**headers, **(fields or {})})
        answer = connection.getresponse()
        body = answer.read()
        connection.close()
        return answer.status, body

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


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.worker = Worker()
        self.gateways = []
        self.store.put("servers", "i-1", self.entry("ready"))

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()

    def entry(self, state):
        return {"service": "s", "address": self.worker.address, "zone": "west", "version": "v1", "slots": 8,
                "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1}

    def start(self, *args, **options):
        gateway = Gateway("front-%d" % len(self.gateways), self.store, *args, **options)
        self.gateways.append(gateway)
        return gateway

    def serving(self):
        self.store.put("op", "config", config(2))
        gateway = self.start()
        wait_until(gateway.is_ready, "ready")
        return gateway

    def test_it_is_not_ready_and_denies_nothing_before_a_configuration_is_known(self):
        gateway = self.start()
        wait_until(lambda: gateway.get(gateway.ready, "/api/ready")[0] == 503, "up")
        self.assertEqual(gateway.ask("/book/x")[0], 503)
        self.store.put("op", "config", config(2))
        wait_until(gateway.is_ready, "ready")
        self.assertEqual(gateway.ask("/book/x")[0], 200)

    def test_a_request_reaches_its_worker_with_the_fields_of_the_platform(self):
        gateway = self.serving()
        status, _ = gateway.ask("/book/x", fields={"X-Hold": "forged", "X-Tenant": "forged"})
        self.assertEqual(status, 200)
        seen = self.worker.seen[-1]
        self.assertEqual(seen["X-Tenant"], "t-1")
        self.assertEqual(seen["X-Expect-Instance"], "i-1")
        self.assertNotIn("X-Credential", seen)
        self.assertNotIn("X-Hold", seen)
        self.assertIn(b"chiverail_requests_total", gateway.get(gateway.metrics, "/metrics")[1])

    def test_changes_of_keys_upstreams_and_zones_are_followed(self):
        gateway = self.serving()
        self.assertEqual(gateway.ask("/book/x", key="k-9")[0], 401)
        self.store.put("op", "evacuate/west", {})
        wait_until(lambda: gateway.ask("/book/x")[0] == 503, "nothing for the zone that was taken out")
        self.store.delete("op", "evacuate/west")
        wait_until(lambda: gateway.ask("/book/x")[0] == 200, "the zone is back")
        self.store.put("servers", "foreign", b"\xff not an entry")
        self.store.put("servers", "i-1", self.entry("draining"))
        wait_until(lambda: gateway.ask("/book/x")[0] == 503, "nothing for a draining worker")

    def test_a_stop_cuts_no_stream(self):
        gateway = self.serving()
        answers = []
        asker = threading.Thread(target=lambda: answers.append(gateway.ask("/stream/x")))
        asker.start()
        wait_until(lambda: self.worker.seen, "the stream runs")
        gateway.process.send_signal(signal.SIGTERM)
        wait_until(lambda: not gateway.is_ready(), "not ready at once")
        asker.join()
        self.assertEqual(answers[0][0], 200)
        self.assertEqual(answers[0][1].count(b"data: x"), 20)
        self.assertEqual(gateway.process.wait(WAIT_S), 0)

    def test_a_reload_with_bad_settings_keeps_the_former_ones(self):
        gateway = self.serving()
        gateway.settings["retry_ratio"] = 7
        gateway.write_settings()
        gateway.process.send_signal(signal.SIGHUP)
        wait_until(lambda: any(line["event"] == "reload" for line in gateway.lines()), "reloaded")
        self.assertEqual(gateway.ask("/book/x")[0], 200)

    def test_keyed_requests_stop_when_withdrawn_keys_may_have_been_missed(self):
        self.store.put("op", "config", config(2))
        gateway = self.start(withdrawal_ms=2000)
        wait_until(gateway.is_ready, "ready")
        self.store.down = True
        lost = time.monotonic()
        wait_until(lambda: gateway.ask("/book/x")[0] == 503, "refused")
        self.assertLess(time.monotonic() - lost, 2.0)
        self.store.down = False
        wait_until(lambda: gateway.ask("/book/x")[0] == 200, "served again")

    def test_instances_find_each_other_and_name_each_other_until_one_is_gone(self):
        first = self.serving()
        second = self.start()
        both = {"127.0.0.1:%d" % first.front, "127.0.0.1:%d" % second.front}

        def named(gateway):
            status, body = gateway.get(gateway.directory, "/api/resolve?name=h.example&region=r&zone=z")
            return set(json.loads(body)["addresses"]) if status == 200 else set()

        wait_until(lambda: named(first) == both and named(second) == both, "each names both")
        second.process.kill()
        wait_until(lambda: named(first) == {"127.0.0.1:%d" % first.front}, "the dead one is left out")


if __name__ == "__main__":
    unittest.main(verbosity=2)
