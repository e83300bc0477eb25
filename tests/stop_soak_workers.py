"""Workers of tests/stop_soak.py, in processes of their own. Times are of the monotonic clock, which they share."""
import asyncio
import random
import time

from stop_soak_messages import body_of, head, parse_head, total_events, wait_for_end

EVENT_S = (0.025, 0.035)  # between two events of a stream
LONGEST_EVENT_S = 0.4
PAUSE_S = (0.95, 1.8)     # an engine that preempts a request makes no event for so long


def dechunk(data):
    """The body of a message in chunks and the bytes after it; (None, data) while it isn't whole."""
    body, at = b"", 0
    while True:
        line_end = data.find(b"\r\n", at)
        if line_end < 0:
            return None, data
        size = int(data[at:line_end], 16)
        end = line_end + 2 + size + 2
        if len(data) < end:
            return None, data
        body += data[line_end + 2:end - 2]
        at = end
        if size == 0:
            return body, data[end:]


class Worker:
    def __init__(self, play, name, engine, grey):
        self.play, self.name, self.engine, self.grey = play, name, engine, grey
        self.slots = asyncio.Semaphore(64 if engine else 6)
        self.port = None

    def fails(self):
        first, last, share = self.play["grey_window"]
        grey = self.grey and first <= time.monotonic() - self.play["start"] <= last
        return self.play["random"].random() < (share if grey else self.play["errors"])


class WorkerConnection(asyncio.Protocol):
    """One connection to a worker. A request whose connection closes is dropped at once."""

    def __init__(self, worker):
        self.worker, self.data, self.task, self.transport = worker, b"", None, None

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, _):
        if self.task:
            self.task.cancel()

    def data_received(self, data):
        self.data += data
        self.next_request()

    def next_request(self):
        if self.task or b"\r\n\r\n" not in self.data:
            return
        text, rest = self.data.split(b"\r\n\r\n", 1)
        line, fields = parse_head(text)
        if fields.get("transfer-encoding") == "chunked":
            body, rest = dechunk(rest)
            if body is None:
                return
        else:
            size = int(fields.get("content-length", "0"))
            if len(rest) < size:
                return
            body, rest = rest[:size], rest[size:]
        self.data = rest
        self.task = asyncio.get_running_loop().create_task(self.answer(line, fields, body))
        self.task.add_done_callback(self.answered)

    def answered(self, task):
        self.task = None
        if not task.cancelled():
            task.result()
            self.next_request()

    def reply(self, status, fields, body=b""):
        self.transport.write(head("HTTP/1.1 %d X" % status, {**fields, "Content-Length": len(body)}) + body)

    async def answer(self, line, fields, body):
        target = line.split(" ")[1]
        if target == "/health":
            return self.reply(200, {"X-Instance-Id": self.worker.name})
        request_id = fields.get("x-request-id", "")
        known = {"X-Request-Id": request_id}
        if fields.get("x-expect-instance", self.worker.name) != self.worker.name:
            return self.reply(421, {**known, "X-Instance-Id": self.worker.name})
        run = {"id": request_id, "worker": self.worker.name, "begin": time.monotonic(), "last": None, "end": None,
               "gap_s": 0.0, "how": "dropped", "error": None}
        try:
            async with self.worker.slots:
                limit = run["begin"] + int(fields.get("x-deadline-ms", "60000")) / 1000
                run["begin"] = time.monotonic()
                self.worker.play["runs"].append(run)
                if body != body_of(request_id, int(fields["x-size"])) or "x-credential" in fields:
                    run["error"] = "a run with another body or with the key"
                seal = {**known, "X-Response-Seal": "s.%s.%s" % (request_id, self.worker.name)}
                await self.work(run, fields, seal, limit)
        finally:
            run["end"] = time.monotonic()

    async def work(self, run, fields, seal, limit):
        play, rng = self.worker.play, self.worker.play["random"]
        if self.worker.fails():
            run["how"] = "500"
            return self.reply(500, seal)
        if not self.worker.engine:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * play["work_s"])
            run["how"] = "whole"
            return self.reply(200, seal, body_of(run["id"], 800))
        count = total_events(run["id"], int(fields["x-events"]))
        event_s = rng.uniform(*EVENT_S)
        if rng.random() < play["stretched"]:
            event_s = max(event_s, min(LONGEST_EVENT_S, rng.uniform(0.5, play["longest"]) / count))
        first = int(fields.get("last-event-id", "0")) + 1
        pause_at = rng.randrange(first, count + 1) if rng.random() < play["pauses"] and first <= count else 0
        await asyncio.sleep(rng.uniform(0.02, 0.2))
        if pause_at == first:  # before the head
            await asyncio.sleep(rng.uniform(*PAUSE_S))
        self.transport.write(head("HTTP/1.1 200 OK", {**seal, "Content-Type": "text/event-stream",
                                                      "X-Weight-Versions": "1", "Transfer-Encoding": "chunked"}))
        for number in range(first, count + 1):
            if number == pause_at != first:
                await asyncio.sleep(rng.uniform(*PAUSE_S))
            if time.monotonic() > limit:
                run["how"] = "deadline"
                return self.transport.abort()
            event = b"id: %d\ndata: %s %d %s\n\n" % (number, run["id"].encode(), count, b"t" * play["event_bytes"])
            self.transport.write(b"%x\r\n%s\r\n" % (len(event), event))
            now = time.monotonic()
            run["gap_s"] = max(run["gap_s"], now - (run["last"] or run["begin"]))
            run["last"] = now
            if number < count:
                await asyncio.sleep(event_s)
        run["how"] = "whole"
        return self.transport.write(b"0\r\n\r\n")


def run_workers(settings, names, pipe):
    """`names`: [name, whether it is an engine, whether it is grey] of each worker. Sends the ports, then the runs."""
    async def run():
        play = {**settings, "random": random.Random("%s workers %s" % (settings["seed"], names[0][0])), "runs": []}
        ports = {}
        for name, engine, grey in names:
            worker = Worker(play, name, engine, grey)
            server = await asyncio.get_running_loop().create_server(lambda worker=worker: WorkerConnection(worker),
                                                                    "127.0.0.1", 0, backlog=512)
            ports[name] = server.sockets[0].getsockname()[1]
        pipe.send(ports)
        await wait_for_end(pipe)
        pipe.send(play["runs"])

    asyncio.run(run())
