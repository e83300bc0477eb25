"""Runs the load generator against a site on loopback, optionally with a fault during the run. The
results in docs/measurements.md come from this script. It is not part of the tests, because times
depend on the machine."""

import argparse
import os
import signal
import subprocess
import threading
import time

from processes import Site


def kill_instance(site):
    """Kills one instance and starts a replacement five seconds later."""
    name, process = next(iter(site.instances.items()))
    data_centre = process.data_centre
    process.signal(signal.SIGKILL)
    process.wait(10)
    del site.instances[name]
    time.sleep(5)
    site.start_instance(name + "-new", data_centre)


def freeze_instance(site):
    """Suspends one instance for ten seconds; its connections stay open."""
    process = list(site.instances.values())[1]
    process.signal(signal.SIGSTOP)
    time.sleep(10)
    process.signal(signal.SIGCONT)


def data_centre_leaves_and_returns(site):
    name = site.data_centres[-1]
    site.ctl("datacentre", "out", name)
    time.sleep(12)
    site.ctl("datacentre", "back", name)


FAULTS = {"none": lambda site: None, "kill": kill_instance, "freeze": freeze_instance,
          "data_centre": data_centre_leaves_and_returns}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--fault", choices=FAULTS, default="none")
    parser.add_argument("--fault-after", type=float, default=5,
                        help="delay of the fault in seconds")
    parser.add_argument("--engines", type=int, default=4, help="per data centre")
    parser.add_argument("--instances", type=int, default=2, help="per data centre")
    parser.add_argument("--data-centres", type=int, default=3)
    parser.add_argument("--token-gap-ms", type=int, default=5)
    parser.add_argument("--cold-limit", type=int, default=8)
    parser.add_argument("load_flags", nargs="*", help="flags for the load generator, after --")
    options = parser.parse_intermixed_args()
    names = ["west", "east", "north", "south"][:options.data_centres]
    site = Site(options.build, names, options.engines, options.instances,
                engine_flags=[f"--token_gap_ms={options.token_gap_ms}"],
                settings={"locate_ttl_ms": 5000, "drain_accept_ms": 7000},
                cold_limit=options.cold_limit)
    try:
        site.wait_ready(60)
        addresses = ",".join(instance.address for instance in site.instances.values())
        command = [site.program("chiverail_load"), "--instances=" + addresses,
                   "--manifest=" + os.path.join(site.directory, "manifest.json"),
                   *options.load_flags]
        timer = threading.Timer(options.fault_after, FAULTS[options.fault], [site])
        timer.start()
        code = subprocess.call(command)
        timer.cancel()
        timer.join()
        print(f"load generator: exit code {code}; logs in {site.directory}")
    finally:
        site.close()


if __name__ == "__main__":
    main()
