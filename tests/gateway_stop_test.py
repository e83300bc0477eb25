"""Runs chiverail_gateway as separate processes against the stand-ins. Tests answers that are being sent when a
process stops, and signals that come together.

Usage: gateway_stop_test.py BUILD_DIR
"""
import os
import signal
import socket
import sys
import threading
import time
import unittest

from gateway_standins import WAIT_S, Gateway, Store, Worker, config, wait_until

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"

GRACE_S = 3
DEADLINE_S = GRACE_S - 0.9  # at which running work is cut
BODY_BYTES = 6 << 20  # more than the socket buffers hold


class LargeWorker(Worker):
    """Answers each request with a large body."""

    def on_request(self, handler):
        handler.send_response(200)
        for name, value in {**handler.seal_fields(), "Content-Length": str(BODY_BYTES)}.items():
            handler.send_header(name, value)
        handler.end_headers()
        handler.wfile.write(b"x" * BODY_BYTES)
        return False


class RawCaller:
    """A caller that reads when the test tells it to."""

    def __init__(self, gateway, receive_buffer=0):
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(WAIT_S)
        self.socket.connect(("127.0.0.1", gateway.front))
        self.received = bytearray()
        self.ended = False

    def send_head(self, path, framing):
        self.socket.sendall(("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\n"
                             "X-Credential: k-1\r\n%s\r\n\r\n" % (path, os.urandom(8).hex(), framing)).encode())

    def send_request(self, path):
        self.send_head(path, "Content-Length: 4")
        self.socket.sendall(b"body")

    def read(self, size=1 << 16):
        part = self.socket.recv(size)
        self.received += part
        self.ended = not part

    def read_all(self):
        """Reads until the connection ends."""
        try:
            while not self.ended:
                self.read()
        except OSError:
            self.ended = True

    def body(self):
        return self.received.partition(b"\r\n\r\n")[2]


class GatewayStopTest(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.gateways = []
        self.callers = []

    def tearDown(self):
        for caller in self.callers:
            caller.socket.close()
        for gateway in self.gateways:
            gateway.stop()

    def start(self, worker, configured=True):
        self.store.put("servers", "i-1", {
            "service": "s", "address": worker.address, "zone": "west", "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1, "born": 1})
        if configured:
            self.store.put("op", "config", config(2))
        gateway = Gateway(os.path.join(BUILD, "chiverail_gateway"), "front-0", self.store.address,
                          settings={"stop_grace_s": GRACE_S, "drain_accept_ms": 500})
        self.gateways.append(gateway)
        wait_until(gateway.is_ready if configured else lambda: gateway.get(gateway.ready, "/api/ready")[0] == 503,
                   "listening")
        return gateway

    def call(self, gateway, receive_buffer=0):
        self.callers.append(RawCaller(gateway, receive_buffer))
        return self.callers[-1]

    def test_an_answer_that_a_slow_caller_has_not_taken_at_the_deadline_is_delivered(self):
        # LOST: answers whose upstreams had ended long before were cut with the upstreams' connections, or 0.3 s later.
        worker = LargeWorker()
        gateway = self.start(worker)
        callers = [self.call(gateway, 65536) for _ in range(2)]
        for caller in callers:
            caller.send_request("/book/x")
        wait_until(lambda: len(worker.received) == len(callers), "the answers have begun")
        time.sleep(0.2)
        gateway.process.send_signal(signal.SIGTERM)
        begin = time.monotonic()
        time.sleep(DEADLINE_S + 0.1)
        readers = [threading.Thread(target=caller.read_all) for caller in callers]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        self.assertEqual([len(caller.body()) for caller in callers], [BODY_BYTES] * len(callers))
        self.assertEqual(gateway.process.wait(WAIT_S), 0)
        self.assertLess(time.monotonic() - begin, GRACE_S)

    def test_a_caller_that_reads_nothing_does_not_hold_a_process_beyond_its_grace(self):
        gateway = self.start(LargeWorker())
        caller = self.call(gateway, 4096)
        caller.send_request("/book/x")
        time.sleep(0.3)
        gateway.process.send_signal(signal.SIGTERM)
        begin = time.monotonic()
        self.assertEqual(gateway.process.wait(WAIT_S), 0)
        self.assertLess(time.monotonic() - begin, GRACE_S)

    def test_a_body_that_arrives_during_a_stop_is_refused_at_once(self):
        worker = Worker()
        gateway = self.start(worker)
        caller = self.call(gateway)
        caller.send_head("/stream/x", "Transfer-Encoding: chunked")
        caller.socket.sendall(b"4\r\nbody\r\n")
        time.sleep(0.2)
        gateway.process.send_signal(signal.SIGTERM)
        begin = time.monotonic()
        caller.read()
        self.assertLess(time.monotonic() - begin, 0.5)
        self.assertTrue(caller.received.startswith(b"HTTP/1.1 503"), caller.received)
        for _ in range(12):
            time.sleep(0.1)
            caller.socket.sendall(b"4\r\nbody\r\n")
        caller.socket.sendall(b"0\r\n\r\n")
        caller.read_all()
        self.assertEqual(caller.received.count(b"HTTP/1.1"), 1)
        self.assertEqual(worker.received, [])
        self.assertEqual(gateway.process.wait(WAIT_S), 0)

    def test_signals_that_come_together_or_again_cut_no_stream(self):
        for signals in ([signal.SIGHUP, signal.SIGTERM], [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM],
                        [signal.SIGTERM, signal.SIGINT]):
            with self.subTest(signals=signals):
                worker = Worker(events=15)
                gateway = self.start(worker)
                responses = []
                caller = threading.Thread(target=lambda: responses.append(gateway.send_request("/stream/x")))
                caller.start()
                wait_until(lambda: worker.received, "the stream has begun")
                for one in signals:
                    gateway.process.send_signal(one)
                time.sleep(0.6)
                gateway.process.send_signal(signal.SIGTERM)
                caller.join()
                self.assertEqual(responses[0][0], 200)
                self.assertEqual(responses[0][1].count(b"data: x"), 15)
                self.assertEqual(gateway.process.wait(WAIT_S), 0)

    def test_a_process_that_stops_before_its_first_configuration_answers(self):
        worker = Worker()
        gateway = self.start(worker, configured=False)
        kept = self.call(gateway)
        kept.send_request("/stream/x")
        wait_until(lambda: kept.read() or kept.body(), "the first answer")
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        kept.send_request("/stream/x")
        self.assertEqual(gateway.send_request("/stream/x")[0], 503)
        kept.read_all()
        self.assertEqual(kept.received.count(b"HTTP/1.1 503"), 2)
        self.assertEqual(kept.received.count(b"no configuration yet\n"), 2)
        self.assertEqual(gateway.process.wait(WAIT_S), 0)
        self.assertEqual(worker.received, [])


if __name__ == "__main__":
    unittest.main()
