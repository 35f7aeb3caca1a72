"""Short seeded runs with injected faults on a local deployment.

bench/chaos.py runs the same for longer.
"""

import os
import subprocess

import pytest

from tests import deployment
from tools import faults


PLANS = [
    # seed, number of faults, seconds, kinds.  Seed 3 has a store outage while
    # batch tasks finish, and an entry process frozen past its lease.
    (3, 6, 12.0, faults.Plan.BASIC_KINDS),
    # Seed 1 loses a worker permanently while one entry process is stopped,
    # another is killed and the store is first down, then slow.
    (1, 6, 15.0, faults.Plan.EXTENDED_KINDS),
    # Seed 6 restarts workers in waves while the store is down and an entry
    # process is killed.
    (6, 5, 15.0, faults.Plan.WAVE_KINDS),
]


@pytest.fixture(name="base_port")
def fixture_base_port():
    with deployment.reserve_ports() as base_port:
        yield base_port


@pytest.mark.parametrize("seed,count,seconds,kinds", PLANS)
def test_invariants_hold_under_seeded_faults(tmp_path, base_port, seed, count,
                                             seconds, kinds):
    """Find no violated invariant in the logs of a run with faults.

    Guards among others against a job that runs twice: a task ends on its
    worker while the key-value service is down, so the owner's write of "done"
    fails.  If the worker drops the ended task at the next report, before the
    owner has acknowledged it, the owner finds no task and queues the job
    again, which then runs from the start.
    """
    deploy = deployment.start(str(tmp_path), base_port)
    try:
        deploy.up()
        plan = faults.Plan(deploy, seed, count, seconds, kinds)
        load = subprocess.Popen(deploy.command_prefix + [
            "load", "--settings", deploy.settings_path,
            "--seconds", str(seconds)],
            stdout=subprocess.PIPE, text=True)
        plan.run()
        out, _ = load.communicate(timeout=seconds + 120)
    finally:
        deploy.down()
    findings = deploy.check()
    assert findings == [], "\n".join(str(f) for f in findings)
    assert "batch runs finished: 12 of 12" in out, out
    assert os.path.exists(deploy.opts.log_dir)
