"""Measure the memory and processor time of idle processes.

Starts a deployment of the default sample settings, waits until every worker
is owned, then reads the /proc counters of each process at the start and the
end of a window without load.  Prints JSON.
"""

import argparse
import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from tests import deployment  # noqa: E402

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return the user and system processor time of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as handle:
        fields = handle.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as handle:
        return int(handle.read().split()[1]) * PAGE_BYTES / 1e6


def main() -> int:
    """Run the measurement and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--base-port", type=int, default=23400)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as tmp:
        deploy = deployment.start(tmp, args.base_port)
        try:
            deploy.up()
            time.sleep(2.0)
            pids = {name: proc.pid for name, proc in deploy.procs.items()}
            before = {n: cpu_seconds(p) for n, p in pids.items()}
            time.sleep(args.seconds)
            after = {n: cpu_seconds(p) for n, p in pids.items()}
            usage = {name: {"cpu_percent": round(100 * (after[name]
                                                        - before[name])
                                                 / args.seconds, 2),
                            "rss_mb": round(rss_mb(pid), 1)}
                     for name, pid in pids.items()}
        finally:
            deploy.down()
    print(json.dumps({"window_seconds": args.seconds, "processes": usage},
                     indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
