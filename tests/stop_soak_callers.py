"""Callers of tests/stop_soak.py, in processes of their own. Times are of the monotonic clock, which they share."""
import asyncio
import json
import random
import socket
import time

from stop_soak_messages import HOST, address, body_of, head, parse_head, total_events, wait_for_end


class Connection:
    def __init__(self, gateway, reader, writer):
        self.gateway, self.reader, self.writer = gateway, reader, writer
        self.uses = 0
        self.until = float("inf")  # by the Keep-Alive of the last answer


class Callers:
    def __init__(self, settings, number):
        self.settings, self.play = settings, settings["play"]
        self.random = random.Random("%s callers %d" % (self.play["seed"], number))
        self.number, self.next_id, self.rows = number, 0, []
        self.idle = [[] for _ in settings["gateways"]]
        self.writers = set()
        self.known = {zone: list(range(len(self.idle))) for zone in settings["zones"]}

    async def refresh_directory(self):
        """Callers learn where to connect from the directory of any instance."""
        addresses = {gateway["front"]: index for index, gateway in enumerate(self.settings["gateways"])}
        while True:
            for zone in self.known:
                gateway = self.random.choice(self.settings["gateways"])
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address(gateway["directory"])), 1)
                    writer.write(head("GET /api/resolve?name=%s&region=%s&zone=%s HTTP/1.1" %
                                      (HOST, self.settings["region"], zone), {"Host": HOST, "Connection": "close"}))
                    text, body = (await asyncio.wait_for(reader.read(), 1)).split(b"\r\n\r\n", 1)
                    writer.close()
                    if text.split(b" ")[1] == b"200":
                        listed = [addresses[name] for name in json.loads(body)["addresses"] if name in addresses]
                        self.known[zone] = listed or self.known[zone]
                except (OSError, asyncio.TimeoutError, ValueError):
                    pass
            await asyncio.sleep(1)

    async def take_connection(self, zone, new):
        """A kept connection if there is one. Kept ones are used until the process closes them."""
        kept = [index for index, connections in enumerate(self.idle) if connections]
        if not new and kept and self.random.random() < 0.8:
            index = self.random.choice(kept)
            while self.idle[index]:
                connection = self.idle[index].pop(self.random.randrange(len(self.idle[index])))
                if not connection.reader.at_eof() and time.monotonic() < connection.until:
                    return connection
                self.close(connection)
        stale = self.random.random() < 0.1
        index = self.random.randrange(len(self.idle)) if stale else self.random.choice(self.known[zone])
        slow = self.random.random() < self.play["slow_readers"]
        sock = socket.socket()
        sock.setblocking(False)
        if slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            loop = asyncio.get_running_loop()
            await asyncio.wait_for(loop.sock_connect(sock, address(self.settings["gateways"][index]["front"])), 1)
            reader, writer = await asyncio.open_connection(sock=sock, limit=2048 if slow else 65536)
        except (OSError, asyncio.TimeoutError):
            sock.close()
            return None
        connection = Connection(index, reader, writer)
        connection.slow = slow
        self.writers.add(writer)
        return connection

    def close(self, connection):
        connection.writer.close()
        self.writers.discard(connection.writer)

    async def call(self, kind):
        """One request with its retries."""
        give_up = time.monotonic() + kind["deadline_ms"] / 1000
        zone = self.random.choice(self.settings["zones"])
        for attempt in range(2):
            connection = await self.take_connection(zone, attempt > 0)
            if connection is None:
                continue
            row = await self.attempt(kind, connection, give_up)
            if row["complete"] and row["keep"]:
                self.idle[connection.gateway].append(connection)
            else:
                self.close(connection)
            promised = row["status"] in (408, 421, 429, 503)
            if row["status"] in (200, 400, 401, 404) or row["how"] == "left":
                return
            if not promised and not (kind["kind"] == "safe" or kind["resume"]):
                return
            left = give_up - time.monotonic()
            if left < 0.05:
                return
            await asyncio.sleep(min(float(row["retry_after"] or 0.01), left / 3))

    async def attempt(self, kind, connection, give_up):
        rng = self.random
        self.next_id += 1
        request_id = "%x%05x%08x" % (self.number + 1, self.next_id, rng.getrandbits(32))
        size = min(int(rng.expovariate(1) * kind["bytes"]), kind["bytes"] * 6)
        chunked = kind["method"] == "POST" and rng.random() < 0.35
        sent = time.monotonic()
        fields = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": max(1, int((give_up - sent) * 1000)),
                  "X-Credential": rng.choice(self.settings["keys"]), "X-Size": size}
        if kind["kind"] == "stream":
            fields.update({"X-Model": "m", "X-Token-Usage": "830,290", "X-Events": kind["events"],
                           "X-Prompt-Prefix": "5e5e0001:400,%04x:299,%s:130" % (rng.randrange(4000), request_id)})
        row = {"id": request_id, "kind": kind["name"], "gateway": connection.gateway, "sent": sent, "whole": None,
               "end": None, "limit": min(give_up, sent + kind["timeout_ms"] / 1000), "status": 0, "complete": False,
               "keep": False, "how": "", "error": None, "retry_after": None, "slow": connection.slow,
               "framing": "chunks" if chunked else "length", "kept": connection.uses > 0}
        connection.uses += 1
        half = rng.random() < self.play["half_closes"]
        left_at = sent + rng.uniform(0.01, 1.5) if rng.random() < self.play["leaves"] else give_up
        reading = asyncio.create_task(self.read_answer(kind, connection, row))
        body = body_of(request_id, size)
        writing = asyncio.create_task(self.send(kind, connection, row, fields, body, chunked, half))
        try:
            await asyncio.wait_for(asyncio.shield(reading), max(0.01, left_at - time.monotonic()))
        except asyncio.TimeoutError:
            gap = reading.done() and isinstance(reading.exception(), asyncio.TimeoutError)
            row["how"] = "gap" if gap else "left" if left_at < give_up else "deadline"
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError, IndexError) as error:
            row["how"] = type(error).__name__
        finally:
            row["end"] = time.monotonic()
            for task in (reading, writing):
                task.cancel()
            await asyncio.gather(reading, writing, return_exceptions=True)
        if half:
            row["how"], row["keep"] = "half-closed " + row["how"], False
        row["keep"] = row["keep"] and row["whole"] is not None
        self.rows.append(row)
        return row

    async def send(self, kind, connection, row, fields, body, chunked, half):
        line, writer = "%s %s%s HTTP/1.1" % (kind["method"], kind["prefix"], row["id"][:3]), connection.writer
        if chunked:
            writer.write(head(line, {**fields, "Transfer-Encoding": "chunked"}))
            duration = self.random.uniform(0, 2) if self.random.random() < 0.4 else 0
            duration = min(duration, (row["limit"] - row["sent"]) / 2)
            step = len(body) // 8 + 1
            for at in range(0, len(body), step):
                writer.write(b"%x\r\n%s\r\n" % (len(body[at:at + step]), body[at:at + step]))
                await writer.drain()
                await asyncio.sleep(duration / 8)
            writer.write(b"0\r\n\r\n")
        else:
            writer.write(head(line, {**fields, "Content-Length": len(body)} if body else fields) + body)
        await writer.drain()
        row["whole"] = time.monotonic()
        if half:
            writer.write_eof()

    async def read_answer(self, kind, connection, row):
        reader = connection.reader
        line, fields = parse_head((await reader.readuntil(b"\r\n\r\n"))[:-4])
        row["status"], row["retry_after"] = int(line.split(" ")[1]), fields.get("retry-after")
        row["keep"] = fields.get("connection", "").lower() != "close"
        if "timeout=" in fields.get("keep-alive", ""):
            connection.until = time.monotonic() + int(fields["keep-alive"].split("timeout=")[1].split(",")[0])
        good = row["status"] == 200
        if good and (fields.get("x-request-id") != row["id"] or
                     not fields.get("x-response-seal", "").startswith("s." + row["id"])):
            row["error"] = "a success without the seal or of another request"
        if fields.get("transfer-encoding") == "chunked":
            await self.read_chunks(kind, connection, row, good)
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
            if good and body != body_of(row["id"], 800):
                row["error"] = "a body that isn't the worker's"
        row["complete"] = True

    async def read_chunks(self, kind, connection, row, good):
        reader, text, seen = connection.reader, b"", 0
        count = total_events(row["id"], kind["events"]) if kind["kind"] == "stream" else 0
        gap_s = max(2.0, 4 * kind["objective_ms"] / 1000, 3.2)
        while True:
            size = int((await asyncio.wait_for(reader.readuntil(b"\r\n"), gap_s)).strip(), 16)
            text += (await reader.readexactly(size + 2))[:size]
            while good and b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                seen += 1
                if not event.startswith(b"id: %d\ndata: %s %d " % (seen, row["id"].encode(), count)):
                    row["error"] = "event %d of %d is %r" % (seen, count, event[:60])
            if size == 0:
                break
            if connection.slow:
                await asyncio.sleep(0.1)
        if good and (seen != count or text):
            row["error"] = "a stream that ends as complete after event %d of %d" % (seen, count)

    async def run(self, pipe):
        tasks = {asyncio.create_task(self.refresh_directory())}
        pacer = asyncio.create_task(self.pace(tasks))
        await wait_for_end(pipe)
        pacer.cancel()
        await asyncio.wait(tasks, timeout=1)
        for task in tasks:
            task.cancel()
        await asyncio.gather(pacer, *tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()
        pipe.send(self.rows)

    async def pace(self, tasks):
        kinds, rate = self.settings["kinds"], self.settings["rate"]
        next_at = time.monotonic()
        while True:
            next_at += self.random.expovariate(rate)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            kind = self.random.choices(kinds, [kind["per_s"] for kind in kinds])[0]
            task = asyncio.create_task(self.call(kind))
            tasks.add(task)
            task.add_done_callback(tasks.discard)


def run_callers(settings, number, pipe):
    """Sends its rows, one for each request, when the soak tells it to end."""
    asyncio.run(Callers(settings, number).run(pipe))
