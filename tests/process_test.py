"""Tests with real processes and sockets, for behaviour that simulations in virtual time do not
cover. Prints one line per case."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from processes import get_json, request, run_cases, Site  # noqa: E402

SETTINGS = {"locate_ttl_ms": 1000, "drain_accept_ms": 3000, "first_byte_timeout_ms": 2000,
            "token_gap_timeout_ms": 1500, "platform_timeout_ms": 500}
WORKSPACE = {"X-Workspace": "adoptions"}


def require(holds, text):
    if not holds:
        raise AssertionError(text)


def start_site(**options):
    options.setdefault("settings", SETTINGS)
    site = Site(sys.argv[1], options.pop("data_centres", ["west"]), **options)
    site.wait_ready()
    return site


def book(site, key, address=None, timeout_s=30):
    address = address or next(iter(site.instances.values())).address
    return request(address, "POST", "/v1/call/register/book", "{}",
                   {"Idempotency-Key": key, **WORKSPACE}, timeout_s)


def executions(site, key):
    return get_json(site.plain.address, "/executions")[1].get(key, 0)


def bad_input_gets_typed_errors():
    """Guards against invalid requests that cause a hang, a status without an error code, or a wrong
    `ran`."""
    site = start_site(engines_per_data_centre=1, instances_per_data_centre=1)
    try:
        address = next(iter(site.instances.values())).address
        good = {"request": "r", "workspace": "adoptions", "model": "writer", "chat": "c",
                "prompt_tokens": 1, "max_tokens": 1}
        cases = [("{", 400, "malformed_json"),
                 ({**good, "model": "nobody"}, 404, "unknown_model"),
                 ({**good, "workspace": "nobody"}, 404, "unknown_workspace"),
                 ({**good, "deadline_ms": 0}, 504, "deadline_expired"),
                 ({**good, "max_tokens": "x"}, 400, "invalid_field"),
                 ("x" * 2_000_000, 413, "body_too_large")]
        for body, status, code in cases:
            answer = request(address, "POST", "/v1/chat", body)
            require(answer[0] == status and f'"{code}"' in answer[2] and '"ran":"no"' in answer[2],
                    f"{code}: {answer}")
        answer = request(address, "POST", "/v1/call/register/book", "{}", WORKSPACE)
        require(answer[0] == 400 and "missing_idempotency_key" in answer[2], f"no key: {answer}")
        status, _, text = request(address, "GET", "/metrics")
        require(status == 200 and 'chiverail_refused_total{code="unknown_model"} 1' in text,
                "refusals are not counted")
    finally:
        site.close()


def cut_and_silent_streams_are_resumed():
    """Guards against a stream that ends early or hangs when the connection to an engine fails."""
    site = start_site(engines_per_data_centre=1, instances_per_data_centre=1)
    try:
        engine = next(iter(site.engines.values()))
        for fault in ({"cut_after": 10}, {"silent_after": 10}, {"crossed": True}):
            site.fault(engine, **fault)
            chat = site.chat("r-" + next(iter(fault)), "c", tokens=60)
            if "silent_after" in fault:
                chat.first_token.wait(10)
                time.sleep(0.5)
                site.fault(engine, silent_after=-1)
            chat.join(30)
            require(chat.is_complete(), f"{fault}: {chat.describe()}")
    finally:
        site.close()


def killed_instance_is_replaced_by_another_in_mid_stream():
    """Guards against a stream lost with its instance: the token resumes it at another instance."""
    site = start_site(engines_per_data_centre=1, instances_per_data_centre=2)
    try:
        import http.client
        import json
        first, second = site.locate("c")[:2]
        body = {"request": "r1", "workspace": "adoptions", "model": "writer", "chat": "c",
                "prompt_tokens": 10, "max_tokens": 400}
        connection = http.client.HTTPConnection(first, timeout=20)
        connection.request("POST", "/v1/chat", body=json.dumps(body))
        response = connection.getresponse()
        token = json.loads(response.readline())["start"]["resume_token"]
        text = json.loads(response.readline())["text"]
        site.instances[site.instance_name(first)].signal(signal.SIGKILL)
        body["resume"] = {"token": token, "offset": len(text)}
        connection = http.client.HTTPConnection(second, timeout=20)
        connection.request("POST", "/v1/chat", body=json.dumps(body))
        ended = False
        for line in connection.getresponse():
            line = json.loads(line)
            if "text" in line:
                require(line["offset"] == len(text), f"offset {line['offset']} at {len(text)}")
                text += line["text"]
            ended = ended or "end" in line
        expected = "".join(f"t{i} " for i in range(400))
        require(ended and text == expected, f"{len(text)} bytes, ended {ended}")
        starts = sum(get_json(e.address, "/stats")[1]["starts"] for e in site.engines.values())
        require(starts == 1, f"the engines ran it {starts} times")
    finally:
        site.close()


def bookings_run_once_through_lost_answers_and_outages():
    """Guards against a booking that runs twice, and against one falsely reported as not run."""
    site = start_site(engines_per_data_centre=1, instances_per_data_centre=2)
    try:
        site.fault(site.platform, lose_next_answers=1)
        require(book(site, "lost-claim")[0] == 200, "claim with a lost answer")
        addresses = [instance.address for instance in site.instances.values()]
        for i in range(10):
            site.fault(site.platform, lose_next_answers=i % 3)
            status, _, text = book(site, f"key-{i}", addresses[i % 2])
            require(status == 200, f"key-{i}: {status} {text}")
            again = book(site, f"key-{i}", addresses[(i + 1) % 2])
            require(again[0] == 200 and again[2] == text, f"key-{i} again: {again}")
            require(executions(site, f"key-{i}") == 1, f"key-{i} ran {executions(site, f'key-{i}')}")
        site.fault(site.platform, lose_next_answers=0, table_down=True)
        status, _, text = book(site, "during-outage")
        require(status == 503 and "store_unavailable" in text, f"outage: {status} {text}")
        require(executions(site, "during-outage") == 0, "ran without a claim")
        site.fault(site.platform, table_down=False)
        site.fault(site.plain, silent_after=0)
        status, _, text = book(site, "silent")
        require(status == 502 and "in_doubt" in text and '"ran":"unknown"' in text,
                f"silent upstream: {status} {text}")
        site.fault(site.plain, silent_after=-1)
        status, _, text = book(site, "silent", addresses[1])
        require(status == 502 and "in_doubt" in text, f"repeat of a call in doubt: {status} {text}")
        require(executions(site, "silent") == 1, "a call in doubt was sent again")
    finally:
        site.close()


def chats_go_on_while_the_store_is_down():
    """Guards against a store outage longer than a lease that interrupts service."""
    site = start_site(data_centres=["west", "east"], engines_per_data_centre=1)
    try:
        site.fault(site.platform, table_down=True, objects_down=True)
        end = time.monotonic() + 24
        number = 0
        while time.monotonic() < end:
            number += 1
            chat = site.chat(f"r{number}", f"c{number}", tokens=10)
            chat.join(30)
            require(chat.is_complete(), f"chat {number}: {chat.describe()}")
            time.sleep(0.5)
        site.fault(site.platform, table_down=False, objects_down=False)
        code, text = site.ctl("datacentre", "out", "east")
        require(code == 0, f"data centre out after the outage: {text}")
    finally:
        site.close()


def graceful_shutdown_cuts_nothing():
    """Guards against a graceful shutdown that refuses or cuts requests of callers that still use
    the address of the leaving instance."""
    site = start_site(engines_per_data_centre=2, instances_per_data_centre=3)
    try:
        leaving_name, leaving = next(iter(site.instances.items()))
        chats = [site.chat(f"long-{i}", f"c{i}", tokens=400, address=leaving.address)
                 for i in range(3)]
        for chat in chats:
            chat.first_token.wait(10)
        leaving.signal(signal.SIGTERM)
        end = time.monotonic() + 1.5
        number = 0
        while time.monotonic() < end:
            number += 1
            chats.append(site.chat(f"late-{number}", f"d{number}", tokens=10,
                                   address=leaving.address))
            time.sleep(0.1)
        code = leaving.wait(40)
        for chat in chats:
            chat.join(30)
        bad = [chat.describe() for chat in chats if not chat.is_complete()]
        require(not bad, f"{len(bad)} of {len(chats)} not whole: {bad[:3]}")
        require(code == 0, f"exit code {code}")
        del site.instances[leaving_name]
        after = site.chat("after", "c-after", tokens=10)
        after.join(30)
        require(after.is_complete(), f"after the stop: {after.describe()}")
    finally:
        site.close()


LEASE_S = 15  # kLeaseValidity
LEASE_RENEWAL_S = 5  # kLeaseRenewInterval


def replacement_waits_for_a_killed_owner():
    """Guards against two owners of an engine: an instance that seems killed may only be paused, so
    the new owner must not grant slots before its lease has expired. The lease ends LEASE_S after its
    last renewal, which was at most LEASE_RENEWAL_S before the kill."""
    site = start_site(engines_per_data_centre=8, instances_per_data_centre=2)
    try:
        name, killed = next(iter(site.instances.items()))
        owned = {engine for engine, state in site.engine_states().items()
                 if state["owner"] == name}
        require(owned, "the killed instance owned no engine")
        first_lapse = time.monotonic() + LEASE_S - LEASE_RENEWAL_S
        killed.signal(signal.SIGKILL)
        killed.wait(10)
        last_lapse = time.monotonic() + LEASE_S
        del site.instances[name]
        site.start_instance("west-new", "west")
        listed = True
        gained = set()
        end = time.monotonic() + 40
        while listed and time.monotonic() < end:
            read_at = time.monotonic()
            states = site.engine_states()
            active = {engine for engine, state in states.items()
                      if state["phase"] == "active" and state["owner"] == "west-new"}
            gained |= {engine for engine in owned & set(states)
                       if states[engine]["owner"] == "west-new"}
            # Read after the states: until the lease has surely expired, the new owner must not grant
            # while it still lists the old one.
            status = get_json(site.instances["west-new"].address, "/admin/status")[1]
            members = status.get("members")  # none before the first view
            listed = not members or any(member["id"] == name for member in members)
            allowed = read_at >= (first_lapse if not listed else last_lapse)
            require(allowed or not active & owned, f"granted before the lease expired: {active}")
            time.sleep(0.1)
        require(not listed, "the killed instance was not evicted")
        require(gained, "the replacement gained none of the killed instance's engines")
        site.wait_ready(20)
    finally:
        site.close()


CASES = [bad_input_gets_typed_errors, cut_and_silent_streams_are_resumed,
         killed_instance_is_replaced_by_another_in_mid_stream,
         bookings_run_once_through_lost_answers_and_outages, chats_go_on_while_the_store_is_down,
         graceful_shutdown_cuts_nothing, replacement_waits_for_a_killed_owner]


if __name__ == "__main__":
    sys.exit(run_cases(CASES, sys.argv[2:]))
