"""One gateway freezes for 4 s. Meanwhile two keys are taken away, and then the store is silent for 8 s. Messages of the
others wait in the socket of the frozen gateway; it takes them for new ones when it goes on, and so do the others when
it answers them.
"""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as lib  # noqa: E402

GATEWAYS = 4
FROZEN_S = 4.0
SILENT_S = 8.0
REVOKE_S = lib.BOUNDS["revoke_ms"] / 1000
FIRST, SECOND, KEPT = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "zt4ubnfzs989anu6wsjx"


def config(version, keys):
    routes = [lib.plain_route("r-%d" % n, "/book%d/" % n, "app") for n in range(1, version)]
    return lib.config(version, [lib.plain_service("app")], routes, {"t-1": keys})


def reads_from_others(gateway):
    """Whether the last configuration came from another gateway."""
    lines = [line for line in gateway.lines() if line["event"] == "config" and "source" in line]
    return bool(lines) and lines[-1]["source"] != "store"


async def case(rig):
    workers = [lib.Worker(rig, "i-%d" % n, "app", engine=False, first_s=0.01) for n in range(1, 4)]
    await rig.start_workers(workers)
    await rig.store.put("op", "config", config(2, [FIRST, SECOND, KEPT]))
    await rig.start_gateways(GATEWAYS)
    await asyncio.sleep(3)
    await rig.store.put("op", "config", config(3, [FIRST, SECOND, KEPT]))
    await asyncio.sleep(2)
    frozen = next((gateway for gateway in rig.gateways if reads_from_others(gateway)), None)
    if frozen is None:
        raise lib.NotRun("no gateway reads the configuration from another one")

    sent = {}

    async def client(gateway, key):
        while True:
            rig.spawn(one(gateway, key))
            await asyncio.sleep(0.1)

    async def one(gateway, key):
        request_id, at, _ = await rig.request(gateway, "/book1/x", key, 1500)
        sent[request_id] = (at, key, gateway)

    for gateway in rig.gateways:
        for key in (FIRST, SECOND, KEPT):
            rig.spawn(client(gateway, key))
    await asyncio.sleep(2)

    acknowledged = {}
    if lib.trouble():
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(0.3)
    acknowledged[FIRST] = await rig.store.put("op", "config", config(4, [SECOND, KEPT]))
    rig.record.say("configuration 4 without key %s is acknowledged" % FIRST)
    await asyncio.sleep(0.15)
    acknowledged[SECOND] = await rig.store.put("op", "config", config(5, [KEPT]))
    rig.record.say("configuration 5 without key %s is acknowledged" % SECOND)
    await asyncio.sleep(0.05)
    if lib.trouble():
        rig.store.silent = True
        rig.record.say("the store is silent")
    await asyncio.sleep(FROZEN_S - 0.5)
    if lib.trouble():
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(SILENT_S - FROZEN_S + 0.5)
    rig.store.silent = False
    rig.record.say("the store answers")
    await asyncio.sleep(4)

    late = {}
    for _, worker, request_id, _ in rig.runs():
        at, key, gateway = sent.get(request_id, (0, KEPT, None))
        if key in acknowledged and at > acknowledged[key] + REVOKE_S:
            late.setdefault((gateway.name, key), []).append(at - acknowledged[key])
    for (name, key), ages in sorted(late.items()):
        rig.record.say("%s%s: %d requests with key %s ran, sent %.2f to %.2f s after it was taken away" % (
            name, " (frozen before)" if name == frozen.name else "", len(ages), key, min(ages), max(ages)))
    kept = sum(1 for _, _, request_id, _ in rig.runs() if sent.get(request_id, (0, ""))[1] == KEPT)
    rig.record.say("%d requests with the kept key ran" % kept)
    if kept < 100:
        raise lib.NotRun("the kept key was not served")
    return lib.BROKEN if late else lib.HELD


lib.start(__file__, case)
