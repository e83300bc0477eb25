"""A stand-in for the platform's store: tables of rows with versions, a feed of changes, and transactions."""
import base64
import copy
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse


class Store:
    def __init__(self, record, ip, port):
        self.record = record
        self.rows = {}  # by table, part and key
        self.version = 1
        self.era = 1
        self.down = False
        self.changed = threading.Condition()
        server = ThreadingHTTPServer((ip, port), self._handler())
        server.daemon_threads = True
        server.handle_error = lambda *_: None
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.address = "%s:%d" % (ip, port)

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or a worker does. Its return is the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self._set(table, part, key, base64.b64encode(data).decode())
            self.changed.notify_all()

    def delete(self, table, key, part=""):
        with self.changed:
            self._drop(table, part, key)
            self.changed.notify_all()

    def take_copy(self):
        with self.changed:
            return copy.deepcopy(self.rows), self.version

    def restore(self, taken):
        """Comes back from a copy: versions go back, and the era rises."""
        with self.changed:
            self.rows, self.version = copy.deepcopy(taken)
            self.era += 1
            self.changed.notify_all()

    def _set(self, table, part, key, value):
        self.version += 1
        self.rows[(table, part, key)] = {"table_name": table, "part": part, "key": key, "value": value,
                                         "ver": self.version}

    def _drop(self, table, part, key):
        if (table, part, key) in self.rows:
            self.version += 1
            self.rows[(table, part, key)] = {"table_name": table, "part": part, "key": key, "ver": self.version,
                                             "tombstone": True}

    def _listing(self, query):
        rows = [row for (table, part, key), row in sorted(self.rows.items())
                if table == query["table_name"] and part == query.get("part", "") and not row.get("tombstone")
                and key >= query.get("from", "") and ("to" not in query or key < query["to"])]
        limit = int(query.get("limit", 500))
        return {"rows": rows[:limit], "has_more": len(rows) > limit}

    def _changes(self, table, after):
        rows = [row for (name, _, _), row in self.rows.items() if name == table and row["ver"] > after]
        return sorted(rows, key=lambda row: row["ver"])

    def _feed(self, query):
        after = int(query["since_rev"])
        end = time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1000
        era = self.era
        while not self._changes(query["table_name"], after) and self.era == era and not self.down:
            left = end - time.monotonic()
            if left <= 0:
                break
            self.changed.wait(left)
        if self.down:
            return 503, {}
        if after > self.version or era != self.era:
            return 410, {}
        return 200, {"rows": self._changes(query["table_name"], after)}

    def _transaction(self, body):
        for row in body.get("expected_rev", []):
            known = self.rows.get((row["table_name"], row["part"], row["key"]))
            if row["ver"] != (0 if known is None or known.get("tombstone") else known["ver"]):
                return 412, {"rows": []}
        for row in body.get("set_keys", []):
            self._set(row["table_name"], row["part"], row["key"], row["value"])
        for row in body.get("delete_keys", []):
            self._drop(row["table_name"], row["part"], row["key"])
        self.changed.notify_all()
        return 200, {}

    def _handler(store):
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                body.update({"ver": store.version, "now_ms": int(time.monotonic() * 1000)})
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def do_GET(self):
                url = urlparse(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                with store.changed:
                    if store.down:
                        status, body = 503, {}
                    elif url.path == "/api/rows-get":
                        status, body = 200, store._listing(query)
                    elif url.path == "/api/rows-feed":
                        status, body = store._feed(query)
                    else:
                        status, body = 404, {}
                    self.answer(status, body)

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                with store.changed:
                    self.answer(*((503, {}) if store.down else store._transaction(body)))

        return Handler


def route(name, prefix, kind, service, **fields):
    entry = {"name": name, "host": "ficu95.example", "prefix": prefix, "kind": kind, "timeout_ms": 8000,
             "target_latency_ms": 400, "priority": 1, "service": service, "attempts": 1, "public": False,
             "stream_resume": False}
    if kind == "stream":
        entry.update({"sticky": True, "gap_target_ms": 400})
    return {**entry, **fields}


def plain_service(name):
    return {"name": name, "health_check": "/health", "max_connections": 208, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0}


def engine_service(name):
    return {**plain_service(name), "max_connections": 780,
            "engine": {"slots": 64, "kv_capacity": 620182, "kv_token_bytes": 327680, "link_mbps": 1100000.0,
                       "moves": False, "backups": False, "stride": 8, "most": 2, "models": [{"name": "m"}]}}


def configuration(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": keys} for name, keys in tenants.items()]}
