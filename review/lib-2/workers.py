"""Stand-ins for workers. Each connection has a thread; a worker that is killed is a process of its own."""
import hashlib
import os
import socket
import threading
import time


class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.id = fields.get("x-request-id", "")


def read_request(reader):
    """Reads one request; None at the end of the connection."""
    line = reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    fields = {}
    while True:
        line = reader.readline().decode("latin-1")
        if not line:
            return None
        if not line.strip():
            break
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    body = reader.read(length)
    return Request(method, target, fields, body) if len(body) == length else None


def seal(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:16]


def head_text(status, reason, fields):
    lines = ["HTTP/1.1 %d %s" % (status, reason)] + ["%s: %s" % field for field in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer_text(request, status=200, reason="OK", body=b"done\n", fields=None):
    return head_text(status, reason, {"X-Request-Id": request.id, "X-Response-Seal": seal(request.id, body),
                                      "Content-Length": len(body), **(fields or {})}) + body


class Worker:
    """A sound worker, unless `serve` is replaced."""

    def __init__(self, record, worker_id, service, zone, ip, port, slots=64, serve=None, work_s=0.0):
        self.record = record
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.address = (ip, port)
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []  # ids of the requests that were run
        if serve is not None:
            self.serve = serve
        self.listener = None
        self.connections = set()

    def listen(self):
        self.listener = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve_connection, args=(connection,), daemon=True).start()

    def end(self):
        """Ends like a process that exits: its port refuses connections, and open ones are closed."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _serve_connection(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(connection)
        try:
            with connection, connection.makefile("rb") as reader:
                while True:
                    request = read_request(reader)
                    if request is None or not self.receive(request, connection):
                        return
        except OSError:
            pass
        self.connections.discard(connection)

    def receive(self, request, connection):
        """Turns away what is meant for another worker, and serves the rest."""
        if request.fields.get("x-expect-instance", self.id) != self.id:
            connection.sendall(head_text(421, "Misdirected Request", {
                "X-Request-Id": request.id, "X-Instance-Id": self.id, "Content-Length": 0}))
            return True
        return self.serve(request, connection)

    def begin(self, request):
        self.runs.append(request.id)
        self.record.line("worker %s (%s) runs request %s (%s %s, %d bytes of body)" % (
            self.id, self.service, request.id, request.method, request.target, len(request.body)))

    def serve(self, request, connection):
        """Runs a request and answers it. Returns whether the connection stays open."""
        self.begin(request)
        time.sleep(self.work_s)
        connection.sendall(answer_text(request))
        return True


def worker_id():
    return "i-" + os.urandom(5).hex()
