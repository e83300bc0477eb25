"""Demo: serves requests through four instances in two data centres, takes one data centre out of
service while streams are running, restores it, and stops all instances. Exits with 1 if a check
fails."""

import sys
import time

from processes import Site, get_json, request

DRAIN_SETTINGS = {"locate_ttl_ms": 1000, "drain_accept_ms": 3000}


def all_complete(chats):
    """Returns whether all answers are complete; prints those that are not."""
    for chat in chats:
        if not chat.is_complete():
            print(f"        {chat.body['request']}: {chat.describe()}")
    return all(chat.is_complete() for chat in chats)


class Checks:
    def __init__(self):
        self.failed = 0

    def check(self, passed, text):
        print(("ok      " if passed else "FAILED  ") + text, flush=True)
        self.failed += 0 if passed else 1


def serve_chats(site, checks):
    chats = [site.chat(f"request-{i}", f"chat-{i}") for i in range(8)]
    for i, chat in enumerate(chats):
        chat.join(30)
        instance = site.instance_name(chat.address)
        checks.check(chat.is_complete(),
                     f"chat-{i}: {chat.tokens} tokens, complete, through {instance}")
    again = site.chat("request-again", "chat-0", turn=2)
    again.join(30)
    same = again.address == chats[0].address
    checks.check(again.is_complete() and same,
                 "chat-0, second turn: complete, through the same instance")


def book_twice(site, checks):
    address = next(iter(site.instances.values())).address
    other = list(site.instances.values())[-1].address
    headers = {"Idempotency-Key": "slot-17", "X-Workspace": "adoptions"}
    first = request(address, "POST", "/v1/call/register/book", '{"slot":17}', headers)
    second = request(other, "POST", "/v1/call/register/book", '{"slot":17}', headers)
    runs = get_json(site.plain.address, "/executions")[1]
    checks.check(first[0] == 200 and second[0] == 200,
                 "booking submitted twice, through two instances")
    checks.check(first[2] == second[2] and runs.get("slot-17") == 1,
                 f"booking executed {runs.get('slot-17')} time, "
                 "both submissions got the same answer")
    status, _, text = request(address, "POST", "/v1/call/register/book", "{}",
                              {"X-Workspace": "adoptions"})
    checks.check(status == 400 and "missing_idempotency_key" in text,
                 "booking without an idempotency key is refused with missing_idempotency_key")


def take_out(site, checks):
    running = [site.chat(f"long-{i}", f"long-chat-{i}", tokens=900) for i in range(6)]
    for chat in running:
        chat.first_token.wait(30)
    _, output = site.ctl("datacentre", "out", "east")
    print("        " + output.strip().replace("\n", "\n        "))
    time.sleep(3)
    before = site.generations("east")
    new = [site.chat(f"while-out-{i}", f"new-chat-{i}") for i in range(8)]
    for chat in new:
        chat.join(30)
    checks.check(all_complete(new), "8 new chats while east is out: all complete")
    checks.check(site.generations("east") == before, "none of the new chats ran in east")
    for chat in running:
        chat.join(60)
    checks.check(all_complete(running),
                 "6 streams that were running when east was taken out: all complete")
    site.ctl("datacentre", "back", "east")
    time.sleep(3)
    before = site.generations("east")
    back = [site.chat(f"back-{i}", f"back-chat-{i}") for i in range(12)]
    for chat in back:
        chat.join(30)
    checks.check(all_complete(back) and site.generations("east") > before,
                 "east is back and serves chats again")


def stop(site, checks):
    running = [site.chat(f"stop-{i}", f"stop-chat-{i}", tokens=900) for i in range(6)]
    for chat in running:
        chat.first_token.wait(30)
    codes = site.stop_instances()
    for chat in running:
        chat.join(60)
    checks.check(all_complete(running),
                 "SIGTERM to every instance: all 6 running streams complete")
    checks.check(all(code == 0 for code in codes.values()), f"exit codes: {codes}")


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    checks = Checks()
    site = Site(build, ["west", "east"], settings=DRAIN_SETTINGS)
    try:
        print(f"        logs in {site.directory}")
        site.wait_ready()
        checks.check(True, "4 instances in west and east are ready, every engine has an owner")
        serve_chats(site, checks)
        book_twice(site, checks)
        take_out(site, checks)
        stop(site, checks)
    finally:
        site.close()
    print(f"demo {'failed' if checks.failed else 'passed'}")
    return 1 if checks.failed else 0


if __name__ == "__main__":
    sys.exit(main())
