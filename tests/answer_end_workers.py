"""A worker of tests/answer_end_soak.py as a process of its own. The target of a request tells how its answer is framed
and ended: /KIND/FRAMING/ENDING/EARLY/PID. Writes a record of each answer's begin and end to the log, in one write each,
so that they are kept when the process is killed.

Usage: answer_end_workers.py NAME LOG
"""
import json
import os
import random
import signal
import socket
import struct
import sys
import threading
import time

from stop_soak_messages import body_of, head, parse_head, total_events

FRAMINGS = ["length", "chunks", "close"]
# Before a paused reset the worker stops the instance that has sent the request.
ENDINGS = ["close", "half", "reset", "paused-reset"]
SIZES = [200, 4000, 30_000, 100_000, 400_000, 4_000_000]  # of answers to calls; the gateway buffers up to 64 KB
EVENTS = 9
HALF_CLOSED_S = 1.0


def event(request_id, number):
    return b"id: %d\ndata: %s %d\n\n" % (number, request_id.encode(), number)


def events_of(request_id):
    return [event(request_id, number) for number in range(1, total_events(request_id, EVENTS) + 1)]


def whole_body(kind, request_id):
    if kind in ("stream", "resumed"):
        return b"".join(events_of(request_id))
    return body_of(request_id, random.Random(request_id + " size").choice(SIZES))


class Answers:
    """The answers on one connection."""

    def __init__(self, sock, name, log):
        self.sock, self.name, self.log = sock, name, log

    def serve(self):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    part = self.sock.recv(65536)
                    if not part:
                        return
                    data += part
                text, data = data.split(b"\r\n\r\n", 1)
                line, fields = parse_head(text)
                left = int(fields.get("content-length", "0")) - len(data)
                path = line.split(" ")[1].split("/")[1:]
                early = len(path) == 5 and path[3] == "1"
                while left > 0 and not early:
                    part = self.sock.recv(65536)
                    if not part:
                        return
                    left -= len(part)
                data = b""
                if not self.answer(path, fields, early) or early:
                    return
        except OSError:
            pass
        finally:
            self.sock.close()

    def record(self, request_id, framing, ending, unread):
        os.write(self.log, (json.dumps({"id": request_id, "worker": self.name, "framing": framing, "ending": ending,
                                        "unread": unread, "at": time.monotonic()}) + "\n").encode())

    def answer(self, path, fields, early):
        """Returns whether the connection is kept."""
        request_id = fields.get("x-request-id", "")
        known = {"X-Request-Id": request_id}
        if fields.get("x-expect-instance", self.name) != self.name or len(path) != 5:
            self.sock.sendall(head("HTTP/1.1 421 X", {**known, "X-Instance-Id": self.name, "Content-Length": 0}))
            return True
        kind, framing, ending, _, pid = path
        rng = random.Random(request_id + " answer")
        self.record(request_id, framing, "begun", early)
        time.sleep(rng.choice([0, 0.01, 0.05]))
        pieces = self.pieces(kind, request_id, int(fields.get("last-event-id") or "0"), rng)
        marks = {"length": {"Content-Length": sum(map(len, pieces))}, "chunks": {"Transfer-Encoding": "chunked"},
                 "close": {}}[framing]
        self.sock.sendall(head("HTTP/1.1 200 OK", {**known, "X-Response-Seal": "s." + request_id, **marks}))
        sent = len(pieces) if ending == "whole" or not pieces else rng.randrange(len(pieces))
        for piece in pieces[:sent]:
            self.sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece) if framing == "chunks" else piece)
            time.sleep(rng.choice([0, 0.002, 0.02, 0.08]))
        if ending == "whole":
            if framing == "chunks":
                self.sock.sendall(b"0\r\n\r\n")
            self.record(request_id, framing, ending, early)
            return framing != "close"
        if ending == "paused-reset":
            os.kill(int(pid), signal.SIGSTOP)
            if rng.random() < 0.3:
                time.sleep(0.005)
        self.record(request_id, framing, ending, early and ending != "half")  # reads the rest before it closes
        self.end_early(ending)
        return False

    def end_early(self, ending):
        if ending == "half":
            self.sock.shutdown(socket.SHUT_WR)
            self.sock.settimeout(HALF_CLOSED_S)
            while self.sock.recv(65536):
                pass
        elif ending != "close":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    @staticmethod
    def pieces(kind, request_id, after, rng):
        """The parts in which the answer is sent: the events after `after`, of which some are sent in halves."""
        if kind not in ("stream", "resumed"):
            body = whole_body(kind, request_id)
            step = len(body) // 8
            return [body[at:at + step] for at in range(0, len(body), step)]
        pieces = []
        for text in events_of(request_id)[after:]:
            at = rng.randrange(1, len(text)) if rng.random() < 0.2 else len(text)
            pieces += [text[:at], text[at:]] if at < len(text) else [text]
        return pieces


def main():
    name, log = sys.argv[1], os.open(sys.argv[2], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    print("127.0.0.1:%d" % listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        os.write(log, (json.dumps({"accepted": name, "at": time.monotonic()}) + "\n").encode())
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=Answers(sock, name, log).serve, daemon=True).start()


if __name__ == "__main__":
    main()
