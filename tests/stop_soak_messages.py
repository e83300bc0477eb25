"""What callers and workers of tests/stop_soak.py have in common: messages and the bodies that both sides can check."""
import asyncio
import zlib

HOST = "chat.example"


def total_events(request_id, mean):
    """Number of events of a request's stream: both sides know it, so that the caller sees what is missing."""
    return max(2, int(mean * (0.5 + zlib.crc32(request_id.encode()) % 1000 / 1000)))


def body_of(request_id, size):
    return (request_id.encode() * (size // len(request_id) + 1))[:size]


def head(first_line, fields):
    return (first_line + "\r\n" + "".join("%s: %s\r\n" % field for field in fields.items()) + "\r\n").encode("latin-1")


def parse_head(text):
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def wait_for_end(pipe):
    """Waits until the soak sends a message."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_reader(pipe.fileno(), ended.set)
    await ended.wait()
    loop.remove_reader(pipe.fileno())
    pipe.recv()


def address(text):
    host, port = text.split(":")
    return host, int(port)
