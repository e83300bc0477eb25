"""Tests of operator actions with real processes and sockets. Prints one line per case."""

import json
import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from processes import get_json, request, run_cases, Site  # noqa: E402

SETTINGS = {"locate_ttl_ms": 1000, "drain_accept_ms": 3000, "first_byte_timeout_ms": 1500,
            "platform_timeout_ms": 500}
CONFLICT = 4
NOT_IN_FORCE = 7


def require(holds, text):
    if not holds:
        raise AssertionError(text)


class Command:
    """One run of chiverailctl in the background."""

    def __init__(self, site, author, *arguments):
        command = [site.program("chiverailctl"), *arguments, "--platform=" + site.platform.address,
                   "--json"]
        if author:
            command.append("--author=" + author)
        self.author = author
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def result(self):
        """Returns the exit code and the parsed output."""
        output, _ = self.process.communicate(timeout=60)
        return self.process.returncode, json.loads(output)


def run(site, *arguments, author="operator"):
    code, document = Command(site, author, *arguments).result()
    require(code == 0, f"{arguments}: exit {code}, {document}")
    return document


def write_manifest(site, name, workspaces):
    manifest = site.manifest()
    manifest["workspaces"] += [{"id": workspace} for workspace in workspaces]
    path = os.path.join(site.directory, name + ".json")
    with open(path, "w") as file:
        json.dump(manifest, file)
    return path


def platform_only():
    """Starts a platform with a first revision and no instances: only operators write to it."""
    site = Site(sys.argv[1], ["west", "east"], engines_per_data_centre=1,
                instances_per_data_centre=0)
    return site


def require_audit(site, newest):
    """Requires one audit entry for each revision, and none for changes that were not accepted."""
    entries = run(site, "audit", author=None)["audit"]
    found = [entry["revision"] for entry in entries]
    require(found == list(range(1, newest + 1)), f"audit entries: {found}, newest is {newest}")
    return entries


def one_of_two_operators_wins():
    """Guards against accepting two manifests based on the same revision, which would silently lose
    one of them."""
    site = platform_only()
    try:
        site.fault(site.platform, slow_ms=30)
        for base in range(1, 6):
            runs = [Command(site, author, "manifest", "apply",
                            write_manifest(site, author, [f"{author}-{base}"]),
                            f"--expect-revision={base}") for author in ("alice", "bob")]
            results = [run.result() for run in runs]
            codes = sorted(code for code, _ in results)
            require(codes == [0, CONFLICT], f"exit codes {codes}: {results}")
            winner = runs[0 if results[0][0] == 0 else 1].author
            message = next(text["error"]["message"] for code, text in results if code == CONFLICT)
            require(f"revision {base + 1}" in message and winner in message,
                    f"{winner} won revision {base + 1}, but the error of the other is: {message}")
            entries = require_audit(site, base + 1)
            require(entries[-1]["author"] == winner, f"{winner} won; audit: {entries[-1]}")
    finally:
        site.close()


def lost_answers_do_not_repeat_a_change():
    """Guards against an accepted change that is reported as failed or applied twice when the
    response to the write is lost."""
    site = platform_only()
    try:
        for number, lost in enumerate([1, 1, 2, 1], start=2):
            site.fault(site.platform, lose_next_answers=lost)
            document = run(site, "manifest", "apply",
                           write_manifest(site, "next", [f"workspace-{number}"]))
            site.fault(site.platform, lose_next_answers=0)
            require(document["revision"] == number and not document["unchanged"],
                    f"{lost} answers lost: {document}")
            require_audit(site, number)
        site.fault(site.platform, lose_next_answers=1)
        document = run(site, "datacentre", "out", "east")
        require(document["revision"] == 6, f"datacentre out: {document}")
        require_audit(site, 6)
    finally:
        site.close()


def racing_changes_of_different_things_are_both_kept():
    """Guards against a concurrent change that overwrites another one: a data centre that returns to
    service, or a manifest that reverts."""
    site = platform_only()
    try:
        site.fault(site.platform, slow_ms=30)
        revision = 1
        for number, step in enumerate(["out", "back", "out", "back", "out"]):
            path = write_manifest(site, "racing", [f"workspace-{number}"])
            runs = [Command(site, "alice", "manifest", "apply", path),
                    Command(site, "bob", "datacentre", step, "east")]
            results = [run.result() for run in runs]
            require([code for code, _ in results] == [0, 0], f"{step}: {results}")
            revision += 2
            status = run(site, "status")
            expected_out = ["east"] if step == "out" else []
            require(status["revision"] == revision and status["data_centres_out"] == expected_out,
                    f"{step}: {status}")
            changes = run(site, "manifest", "diff", path)["changes"]
            require(not changes, f"{step}: the manifest was lost: {changes}")
            require_audit(site, revision)
    finally:
        site.close()


def book(site, key):
    address = next(iter(site.instances.values())).address
    status, _, text = request(address, "POST", "/v1/call/register/book", "{}",
                              {"Idempotency-Key": key, "X-Workspace": "adoptions"})
    return status, text


def executions(site, key):
    return get_json(site.plain.address, "/executions")[1].get(key, 0)


def calls_in_doubt(site):
    return [call["call"] for call in run(site, "calls")["calls"]]


def calls_in_doubt_are_settled():
    """Guards against a call in doubt that operators cannot list or settle, and against a settlement
    that lets a call run twice."""
    site = Site(sys.argv[1], ["west"], engines_per_data_centre=1, instances_per_data_centre=1,
                settings=SETTINGS)
    try:
        site.wait_ready()
        # This call is executed, but its answer is never sent.
        site.fault(site.plain, silent_after=0)
        require(book(site, "ran")[0] == 502, "a call without an answer")
        # This call is sent to a process that never reads it.
        address = site.plain.address
        site.plain.signal(signal.SIGSTOP)
        status, text = book(site, "lost")
        require(status == 502 and "in_doubt" in text, f"a frozen upstream: {status} {text}")
        site.plain.stop()
        site.plain = site.start("register-again", [site.program("upstream_standin"), "--kind=plain",
                                                   "--id=register-1", "--listen=" + address])
        require(calls_in_doubt(site) == ["adoptions/lost", "adoptions/ran"],
                f"calls in doubt: {calls_in_doubt(site)}")
        require(book(site, "lost")[0] == 502 and executions(site, "lost") == 0,
                "a call in doubt was sent again")
        answer = os.path.join(site.directory, "answer.json")
        with open(answer, "w") as file:
            file.write('{"slot":17}')
        run(site, "calls", "settle", "adoptions/lost", "--as=not-run")
        run(site, "calls", "settle", "adoptions/ran", "--as=ran", "--answer=" + answer)
        require(calls_in_doubt(site) == [], f"after settling: {calls_in_doubt(site)}")
        answers = [book(site, "lost") for _ in range(3)]
        require(all(entry == answers[0] and entry[0] == 200 for entry in answers), f"{answers}")
        require(executions(site, "lost") == 1, f"ran {executions(site, 'lost')} times")
        require(book(site, "ran") == (200, '{"slot":17}'), f"settled as ran: {book(site, 'ran')}")
        require(executions(site, "ran") == 0, "a call settled as ran was sent")
        code, document = Command(site, "operator", "calls", "settle", "adoptions/lost",
                                 "--as=not-run").result()
        require(code == CONFLICT and executions(site, "lost") == 1,
                f"settling a call that is done: {code} {document}")
    finally:
        site.close()


def wait_means_in_force_everywhere():
    """Guards against --wait returning while an instance still uses an older revision."""
    site = Site(sys.argv[1], ["west", "east"], engines_per_data_centre=1, settings=SETTINGS)
    try:
        site.wait_ready()
        for number in range(4):
            path = write_manifest(site, "waited", [f"workspace-{number}"])
            document = run(site, "manifest", "apply", path, "--wait")
            behind = [name for name, instance in site.instances.items()
                      if get_json(instance.address, "/readyz")[1]["revision"]
                      < document["revision"]]
            require(not behind and document["live_instances"] == 4, f"{document}: {behind} behind")
            shown = {entry["revision"] for entry in run(site, "status")["instances"]}
            require(shown == {document["revision"]}, f"status shows {shown}, not {document}")
        frozen = site.instances["east-2"]
        frozen.signal(signal.SIGSTOP)
        code, document = Command(site, "operator", "datacentre", "out", "west", "--wait",
                                 "--wait-timeout-ms=2000").result()
        frozen.signal(signal.SIGCONT)
        require(code == NOT_IN_FORCE and "east-2" in document["error"]["message"],
                f"one instance frozen: {code} {document}")
        document = run(site, "datacentre", "out", "west", "--wait")
        require(document["unchanged"] and document["live_instances"] == 4, f"again: {document}")
        _, _, metrics = request(frozen.address, "GET", "/metrics")
        for line in (f"chiverail_revision_in_force {document['revision']}",
                     'chiverail_data_centre_out{data_centre="west"} 1'):
            require(line in metrics, f"{line} is missing:\n{metrics}")
    finally:
        site.close()


CASES = [one_of_two_operators_wins, lost_answers_do_not_repeat_a_change,
         racing_changes_of_different_things_are_both_kept, calls_in_doubt_are_settled,
         wait_means_in_force_everywhere]


if __name__ == "__main__":
    sys.exit(run_cases(CASES, sys.argv[2:]))
