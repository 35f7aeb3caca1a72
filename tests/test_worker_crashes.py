"""Test how a cell handles tasks that crash their workers."""

import random
import threading
import time

import grpc
import pytest

from sycamorefield import cell as cell_mod
from sycamorefield import jobtable
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import worker
from tests import deployment
from tests import standins
from tests import test_jobs

RESTART_AFTER_S = 1.2
OUTCOME_TIMEOUT_S = 30.0
# A job is started at most twice more after its third crash.
MAX_CRASHES_PER_JOB = 5


class CrashingMachine(worker.WorkerServer):
    """A worker that simulates crashes and restarts inside the test process.

    It crashes shortly after each start of a job in crashing_jobs.
    """

    def __init__(self, spec):
        super().__init__(spec)
        self.down = False
        self.crashes = 0
        self.crashing_jobs = set()

    def StartTask(self, request, context):
        self._abort_if_down(context)
        reply = super().StartTask(request, context)
        if reply.accepted and request.job_id in self.crashing_jobs:
            threading.Timer(worker.CRASH_DELAY_S, self.crash).start()
        return reply

    def Report(self, request, context):
        self._abort_if_down(context)
        reply = super().Report(request, context)
        self._abort_if_down(context)
        return reply

    def _abort_if_down(self, context):
        if self.down:
            context.abort(grpc.StatusCode.UNAVAILABLE, "crashed")

    def crash(self):
        with self.lock:
            if self.down:
                return
            self.down = True
            self.crashes += 1
            self.tasks.clear()
            self.incarnation = random.getrandbits(62) + 1
            self.sequence = 1
            self.fence_seen = 0
            self.report_ready.notify_all()
        threading.Timer(RESTART_AFTER_S, self._restart).start()

    def _restart(self):
        self.down = False


@pytest.fixture(name="crashing_cell")
def fixture_crashing_cell():
    kv = standins.Kv()
    env = test_jobs.CellEnv(kv, workers=4, run_seconds=2.0,
                            kind=CrashingMachine, task_lease=3.0)
    cell = env.start()
    yield env, cell
    env.close(cell)
    kv.close()


@pytest.mark.parametrize("crashing_count", [1, 4, 10])
def test_only_jobs_that_crash_their_workers_fail(
        crashing_cell, crashing_count):
    """Guards against a job that crashes one worker after another forever."""
    env, cell = crashing_cell
    crashing = [f"bad{number}" for number in range(crashing_count)]
    healthy = [f"good{number}" for number in range(8)]
    for machine in env.machines:
        machine.crashing_jobs.update(crashing)
    for job_id in healthy[:4] + crashing + healthy[4:]:
        cell.table.stage(jobtable.new_record(job_id, "owners", env.renewal,
                                             "low"))
    cell.wake.set()
    assert deployment.wait_until(
        lambda: all(test_jobs.state_of(cell, job_id) == jobtable.FAILED
                    for job_id in crashing), OUTCOME_TIMEOUT_S)
    assert all(cell.table.get(job_id).reason.startswith("crashed the workers")
               for job_id in crashing)
    assert (sum(m.crashes for m in env.machines)
            <= crashing_count * MAX_CRASHES_PER_JOB)
    assert deployment.wait_until(
        lambda: all(test_jobs.state_of(cell, job_id) == jobtable.DONE
                    for job_id in healthy), OUTCOME_TIMEOUT_S)


def test_nothing_starts_beside_a_job_in_quarantine(crashing_cell):
    """Guards against failing a job for a crash caused by another one."""
    env, cell = crashing_cell
    name = env.machines[0].spec.name
    cell.stop()
    for job_id, apart in (("quarantined", True), ("placed", False)):
        record = jobtable.new_record(job_id, "owners", env.renewal, "low")
        record.state, record.worker = jobtable.PLACED, name
        record.task_id, record.apart = job_id + ".1", apart
        record.placed_at = time.time()
        cell.table.stage(record)
    assert deployment.wait_until(
        lambda: (cell.table.durable("quarantined")
                 and cell.table.durable("placed")), 3)
    cell._quarantine_worker(cell.table.get("quarantined"))
    may_start = {placed.job_id: placed.may_start
                 for placed in cell.placements(name).values()}
    assert may_start == {"quarantined": True, "placed": False}
    time.sleep(cell_mod.QUARANTINE_S)
    assert all(placed.may_start for placed in cell.placements(name).values())


def test_task_restarted_after_a_crash_counts_as_new(crashing_cell):
    """Guards against a quarantine run beside a job that just restarted."""
    env, cell = crashing_cell
    link = cell.links[env.machines[0].spec.name]
    cell.stop()
    record = jobtable.new_record("j", "owners", env.renewal, "low")
    record.state, record.worker = jobtable.PLACED, link.machine.name
    record.task_id, record.placed_at = "j.1", time.time() - 60.0
    cell.table.stage(record)
    assert cell._newest_task_age_s(link.machine.name) > cell_mod.QUARANTINE_S
    cell.worker_crashed(link, [], time.time())
    assert cell._newest_task_age_s(link.machine.name) < cell_mod.QUARANTINE_S


def test_no_start_exceeds_shrunken_capacity(crashing_cell):
    """Guards against starts that exceed a worker's reduced capacity."""
    env, cell = crashing_cell
    for machine in env.machines:
        machine.SetFaults(pb.WorkerFaults(shrunk_by=0.9999), None)
    assert deployment.wait_until(
        lambda: all(link.capacity.memory_mb < env.renewal.demand.memory_mb
                    for link in cell.links.values()), 3)
    env.submit(cell, "a")
    time.sleep(0.5)
    assert not any(machine.tasks for machine in env.machines)
    for machine in env.machines:
        machine.SetFaults(pb.WorkerFaults(), None)
    assert deployment.wait_until(
        lambda: any(machine.tasks for machine in env.machines), 3)


def test_crash_counts_are_stored_with_the_job():
    """Guards against a new owner of a cell that resets crash counts."""
    record = jobtable.JobRecord(
        "j", "c", "w", "batch", "low", crashed_on=["w1", "w2"],
        crashes_apart=1, apart=True)
    restored = jobtable.JobRecord.from_message(record.to_message())
    assert restored == record
    assert cell_mod.MAX_QUARANTINE_CRASHES > restored.crashes_apart
