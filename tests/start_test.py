"""Starts sites of two data centres with two instances each over and over beside busy processes, and
fails if a daemon is not ready in time. Guards against a daemon that never joins because a result of
its first operations was lost.

usage: start_test.py BUILD [--starts N] [--lanes N] [--busy N] [--seed N]"""

import argparse
import concurrent.futures
import os
import random
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from processes import Site  # noqa: E402

READY_TIMEOUT_S = 20
SETTINGS = {"locate_ttl_ms": 1000, "drain_accept_ms": 3000, "platform_timeout_ms": 500}


def start_once(build, seed):
    """Starts one site; returns the time until it was ready, or raises RuntimeError."""
    time.sleep(random.Random(seed).uniform(0, 0.5))
    started = time.monotonic()
    site = Site(build, ["west", "east"], engines_per_data_centre=1, instances_per_data_centre=2,
                settings=SETTINGS)
    try:
        site.wait_ready(READY_TIMEOUT_S)
        return time.monotonic() - started
    finally:
        site.close()


def start_busy_processes(count):
    return [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(count)]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--starts", type=int, default=6)
    parser.add_argument("--lanes", type=int, default=3)
    parser.add_argument("--busy", type=int, default=os.cpu_count())
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    busy = start_busy_processes(options.busy)
    passed, failed = 0, 0
    try:
        with concurrent.futures.ThreadPoolExecutor(options.lanes) as lanes:
            seeds = range(options.seed, options.seed + options.starts)
            runs = {lanes.submit(start_once, options.build, seed): seed for seed in seeds}
            for run in concurrent.futures.as_completed(runs):
                try:
                    print(f"start {runs[run]}: ready after {run.result():.1f} s", flush=True)
                    passed += 1
                except Exception as error:  # the other starts go on
                    print(f"start {runs[run]}: FAILED, {error}", flush=True)
                    failed += 1
    finally:
        for process in busy:
            process.kill()
            process.wait()
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
