"""Runs chiverail_gateway as a separate process against callers that don't stay inside the limits: the process lives,
its memory and its descriptors stay under a bound, and an ordinary request is answered beside the crowd.

The machine is a small one: 32 MB of memory, 256 descriptors, bodies of at most 1 MB. Crowds and bounds are fixed; don't
fit them to a change of the product. Run alone, not beside other load.

Usage: hostile_callers_test.py BUILD_DIR
"""
import os
import resource
import socket
import subprocess
import sys
import threading
import time
import unittest

import gateway_standins
from gateway_standins import Gateway, Store, Worker, config, wait_until

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
PROGRAM = os.path.join(BUILD, "chiverail_gateway")

MACHINE = {"memory_mb": 32, "max_fds": 256}  # settings
MAX_BODY = 1 << 20
MAX_MEMORY_KB = 40 * 1024  # the program itself and all that it holds
MAX_DESCRIPTORS = 256

LARGE_CROWD = 60  # callers with bodies of the largest size
WIDE_CROWD = 180  # callers that hold little each
SETTLE_S = 1.0    # until the process has read what was sent


def supported_settings():
    """The settings of the machine that the program knows."""
    page = subprocess.run([PROGRAM, "--print_settings"], capture_output=True, text=True, check=True).stdout
    return {key: value for key, value in MACHINE.items() if "`%s`" % key in page}


class AnsweringWorker(Worker):
    """Answers requests of the crowd late or with much, and ordinary ones at once."""

    def on_request(self, handler):
        if "/slow" in handler.path:
            time.sleep(8)
        if "/much" in handler.path:
            handler.send_response(200)
            for name, value in handler.seal_fields().items():
                handler.send_header(name, value)
            handler.send_header("Content-Length", str(4 << 20))
            handler.end_headers()
            handler.wfile.write(b"x" * (4 << 20))
            return False
        return True


def head(path, *fields):
    lines = ["POST %s HTTP/1.1" % path, "Host: h.example", "X-Request-Id: " + os.urandom(8).hex(),
             "X-Deadline-Ms: 8000", "X-Credential: k-1", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(payload):
    return b"%x\r\n%s\r\n" % (len(payload), payload)


class HostileCallersTest(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.worker = AnsweringWorker()
        self.store.put("servers", "i-1", {
            "service": "s", "address": self.worker.address, "zone": "west", "version": "v1", "slots": 1000,
            "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1})
        allowed = config(2)
        allowed["limits"]["max_body_bytes"] = MAX_BODY
        self.store.put("op", "config", allowed)
        self.sockets = []
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, limits[1]))  # inherited by the process
        try:
            self.gateway = Gateway(PROGRAM, "front-0", self.store.address, settings=supported_settings())
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        wait_until(self.gateway.is_ready, "ready")
        self.assertEqual(self.gateway.send_request("/book/x")[0], 200)  # has read the limits

    def tearDown(self):
        for caller in self.sockets:
            caller.close()
        self.gateway.stop()

    def connect(self):
        caller = socket.create_connection(("127.0.0.1", self.gateway.front), timeout=5)
        self.sockets.append(caller)
        return caller

    def send(self, caller, data):
        """Sends until the process closes the connection or takes no more."""
        try:
            caller.sendall(data)
            return True
        except OSError:
            return False

    def crowd(self, count, data):
        for _ in range(count):
            try:
                self.send(self.connect(), data)
            except OSError:
                pass  # not accepted

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.gateway.process.pid))

    def check(self):
        time.sleep(SETTLE_S)
        self.assertIsNone(self.gateway.process.poll(), "the process has ended")
        descriptors = self.descriptors()
        status = self.gateway.send_request("/book/x")[0]
        self.assertIsNone(self.gateway.process.poll(), "the process has ended")
        memory = self.gateway.peak_kb()
        print("%s: peak %d KB, %d descriptors, ordinary request %s" %
              (self._testMethodName, memory, descriptors, status), flush=True)
        self.assertEqual(status, 200)
        self.assertLess(memory, MAX_MEMORY_KB)
        self.assertLess(descriptors, MAX_DESCRIPTORS)

    def test_trailers_without_end(self):
        for _ in range(4):
            caller = self.connect()
            self.send(caller, head("/book/x", "Transfer-Encoding: chunked") + chunk(b"x") + b"0\r\n")
            for _ in range(256):  # 16 MB
                if not self.send(caller, b"X-Field: value\r\n" * 4096):
                    break
        self.check()

    def test_bodies_one_byte_short(self):
        data = head("/book/x", "Content-Length: %d" % MAX_BODY) + b"x" * (MAX_BODY - 1)
        self.crowd(LARGE_CROWD, data)
        self.check()

    def test_bodies_in_pieces_one_byte_short(self):
        callers = [self.connect() for _ in range(LARGE_CROWD)]
        for caller in callers:
            self.send(caller, head("/book/x", "Content-Length: %d" % MAX_BODY))
        for number in range(64):
            for caller in callers:
                self.send(caller, b"x" * (MAX_BODY // 64 - (number == 63)))
        self.check()

    def test_whole_bodies_while_the_worker_is_slow(self):
        data = head("/book/slow", "Content-Length: %d" % MAX_BODY) + b"x" * MAX_BODY
        self.crowd(LARGE_CROWD, data)
        self.check()

    def test_large_chunks_that_stop_short_of_the_end(self):
        body = chunk(b"x" * 65536) * 15 + b"10000\r\n" + b"x" * 65535
        self.crowd(LARGE_CROWD, head("/book/x", "Transfer-Encoding: chunked") + body)
        self.check()

    def test_tiny_chunks_that_stop_short_of_the_end(self):
        body = chunk(b"x") * (MAX_BODY - 1)
        self.crowd(LARGE_CROWD, head("/book/x", "Transfer-Encoding: chunked") + body)
        self.check()

    def test_chunk_extensions_without_end(self):
        for _ in range(4):
            caller = self.connect()
            self.send(caller, head("/book/x", "Transfer-Encoding: chunked") + b"1")
            for _ in range(256):  # 16 MB
                if not self.send(caller, b";name=value12345" * 4096):
                    break
        self.check()

    def test_heads_of_many_fields_with_a_body_that_never_comes(self):
        fields = ["a:"] * 3900
        self.crowd(WIDE_CROWD, head("/book/x", *fields, "Content-Length: 10"))
        self.check()

    def test_pipelined_requests_behind_a_slow_one(self):
        one = head("/book/slow", "Content-Length: 1000") + b"x" * 1000
        for _ in range(WIDE_CROWD):
            try:
                caller = self.connect()
                caller.settimeout(0.2)
                self.send(caller, one * 300)
            except OSError:
                pass
        self.check()

    def test_answers_that_are_never_read(self):
        for _ in range(WIDE_CROWD):
            try:
                caller = socket.socket()
                self.sockets.append(caller)
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.settimeout(5)
                caller.connect(("127.0.0.1", self.gateway.front))
                self.send(caller, head("/book/much", "Content-Length: 0"))
            except OSError:
                pass
        self.check()

    def test_connections_that_send_nothing(self):
        for _ in range(2 * MAX_DESCRIPTORS):
            try:
                self.connect()
            except OSError:
                pass
        self.check()
        self.assertTrue(self.gateway.is_ready())

    def test_a_single_body_of_the_largest_size_is_served(self):
        for fields, body in (("Content-Length: %d" % MAX_BODY, b"x" * MAX_BODY),
                             ("Transfer-Encoding: chunked", chunk(b"x") * MAX_BODY + b"0\r\n\r\n")):
            caller = self.connect()
            caller.settimeout(gateway_standins.WAIT_S)
            self.assertTrue(self.send(caller, head("/book/x", fields) + body))
            self.assertIn(b" 200 ", caller.recv(65536).split(b"\r\n")[0])
        self.check()


    def test_ten_bodies_of_the_largest_size_at_once_are_served_or_refused(self):
        callers = [self.connect() for _ in range(10)]
        data = head("/book/x", "Content-Length: %d" % MAX_BODY) + b"x" * MAX_BODY
        threads = [threading.Thread(target=self.send, args=(caller, data)) for caller in callers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        before = len(self.worker.received)
        statuses = []
        for caller in callers:
            caller.settimeout(gateway_standins.WAIT_S)
            statuses.append(caller.recv(65536).split(b" ")[1])
        self.assertLessEqual(set(statuses), {b"200", b"503"})
        self.assertIn(b"200", statuses)
        self.assertGreaterEqual(len(self.worker.received), statuses.count(b"200"))
        self.assertLessEqual(before, 1 + 10 - statuses.count(b"503"))  # what is refused has not run
        self.check()


if __name__ == "__main__":
    unittest.main(verbosity=0)
