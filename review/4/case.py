"""A part of prompts ends each worker that begins to write an answer on it. It stands behind 33 other shared parts, which
sound requests have too.
"""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as lib  # noqa: E402

DEADLY = "dead0001"
PARTS_BEFORE = 33
WORKERS = 8
PERIOD_S = 1.0     # between two requests with the part
DOWN_S = 2.0       # a worker is back after this time
REQUESTS = 20
CONTACT_S = lib.BOUNDS["contact_ms"] / 1000
KEY = "n2ctnfzs989anu6wsjnb"


async def case(rig):
    deadly = DEADLY if lib.trouble() else None
    workers = [lib.Worker(rig, "i-%d" % n, "models", deadly=deadly, down_s=DOWN_S, keeps_id=False)
               for n in range(1, WORKERS + 1)]
    await rig.start_workers(workers)
    await rig.store.put("op", "config", lib.config(
        2, [lib.engine_service("models")], [lib.stream_route("r-1", "/chat/", "models", 12000, 1, False, 600)],
        {"t-1": [KEY]}))
    await rig.start_gateways(2)
    await asyncio.sleep(4)  # the gateways are in touch
    shared = ["%08x:300" % (0x5e5e0000 + n) for n in range(PARTS_BEFORE)]

    async def sound(number):
        while True:
            parts = shared + ["%08x:300" % (0xa000 + number), "%s:50" % rig.new_id()]
            await rig.request(rig.gateways[number % 2], "/chat/x", KEY, 10000, parts=parts)
            await asyncio.sleep(0.5)

    for number in range(12):
        rig.spawn(sound(number))
    await asyncio.sleep(2)
    sent = {}
    for number in range(REQUESTS):
        begun = time.monotonic()
        parts = shared + [DEADLY + ":300", "%s:50" % rig.new_id()]
        request_id, at, answer = await rig.request(rig.gateways[number % 2], "/chat/x", KEY, 10000, parts=parts)
        sent[request_id] = at
        rig.record.say("request %d with the part, %s: answer %s%s" % (
            number + 1, request_id, answer.status or "none", "" if answer.whole else ", cut"))
        await asyncio.sleep(max(0.0, begun + PERIOD_S - time.monotonic()))

    crashes = sorted(at for worker in workers for at in worker.crashes)
    rig.record.say("%d crashes" % len(crashes))
    if len(crashes) < 5:
        return lib.HELD
    since = crashes[4] + CONTACT_S
    late = {request_id for at, worker, request_id, fields in rig.runs()
            if DEADLY in fields.get("x-prompt-prefix", "") and at > since and sent.get(request_id, 0) > since}
    rig.record.say("%d requests with the part reached workers later than %.0f s after the fifth crash; 3 are allowed"
                   % (len(late), CONTACT_S))
    return lib.BROKEN if len(late) > 3 else lib.HELD


lib.start(__file__, case)
