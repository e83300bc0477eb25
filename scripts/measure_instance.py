"""Measures CPU time and memory of one instance: idle, per open stream and per request. The results
in docs/CAPACITY.md come from this script. It is not part of the tests, because times depend on the
machine."""

import os
import sys
import time

from processes import Site, request

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    with open(f"/proc/{process.process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_kb(process):
    with open(f"/proc/{process.process.pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def control_bytes(process):
    text = request(process.address, "GET", "/metrics")[2]
    return sum(float(line.split()[-1]) for line in text.splitlines()
               if line.startswith("chiverail_control_bytes_total"))


def main():
    build = sys.argv[1]
    instances = int(sys.argv[2]) if len(sys.argv) > 2 else 2
    site = Site(build, ["west", "east"], engines_per_data_centre=4,
                instances_per_data_centre=instances, cold_limit=32,
                engine_flags=["--token_gap_ms=20"])
    try:
        site.wait_ready(60)
        instance = next(iter(site.instances.values()))
        seconds = 20
        cpu, sent = cpu_seconds(instance), control_bytes(instance)
        time.sleep(seconds)
        print(f"idle, {2 * instances} instances: {(cpu_seconds(instance) - cpu) / seconds:.4f} "
              f"of a core, {rss_kb(instance)} kB, "
              f"{(control_bytes(instance) - sent) / seconds:.0f} bytes/s to peers")
        before = rss_kb(instance)
        chats = [site.chat(f"m{i}", f"mc{i}", tokens=600, address=instance.address)
                 for i in range(60)]
        for chat in chats:
            chat.first_token.wait(30)
        cpu = cpu_seconds(instance)
        time.sleep(5)
        used = cpu_seconds(instance) - cpu
        open_now = sum(1 for chat in chats if chat.is_alive())
        print(f"{open_now} streams of 50 tokens/s: {used / 5:.4f} of a core, "
              f"{(rss_kb(instance) - before) / max(open_now, 1):.1f} kB per stream")
        for chat in chats:
            chat.join(60)
        cpu = cpu_seconds(instance)
        count = 300
        for i in range(count):
            chat = site.chat(f"s{i}", f"sc{i % 40}", tokens=1, address=instance.address)
            chat.join(30)
        print(f"{1e6 * (cpu_seconds(instance) - cpu) / count:.0f} us of CPU time per chat "
              "request of one token")
        cpu = cpu_seconds(instance)
        for i in range(count):
            request(instance.address, "POST", "/v1/call/register/book", "{}",
                    {"Idempotency-Key": f"k{i}", "X-Workspace": "adoptions"})
        print(f"{1e6 * (cpu_seconds(instance) - cpu) / count:.0f} us of CPU time per "
              "non-idempotent call")
    finally:
        site.close()


if __name__ == "__main__":
    main()
