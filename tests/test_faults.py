"""Keep every promise through a seeded run of faults on the local deployment.

The run is short and bounded; bench/chaos.py runs the same for longer.
"""

import os
import subprocess

import pytest

from tests import deployment
from tools import faults

BASE_PORT = 22400

PLANS = [
    # seed, faults, seconds, kinds: seed 3 holds a store outage while batch
    # tasks finish, and an entry process frozen past its lease.
    (3, 6, 12.0, faults.Plan.BASIC_KINDS),
    # Seed 1 loses a worker for good while an entry process is stopped, one
    # is killed and the store is down, then slow.
    (1, 6, 15.0, faults.Plan.EXTENDED_KINDS),
]


@pytest.mark.parametrize("seed,count,seconds,kinds", PLANS)
def test_invariants_hold_under_seeded_faults(tmp_path, seed, count,
                                             seconds, kinds):
    """Find no broken invariant in the time line of a faulted run.

    Symptom: a class renewal finished twice, once from the start again.

    Sequence: a task finishes on its worker while the key-value service is
    down; the owner's write of "done" fails; the worker drops the ended
    task at the next report; the owner, seeing no task, queues the job.

    Cause: the worker forgot an ended task before its owner had recorded
    the outcome; it now keeps it until the owner acknowledges it.
    """
    deploy = deployment.start(str(tmp_path), BASE_PORT)
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
