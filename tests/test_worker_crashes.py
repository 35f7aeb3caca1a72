"""Show what becomes of jobs in a cell when a task crashes its worker."""

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

BACK_AFTER_S = 1.2
GIVEN_UP_S = 30.0
# After the third crash a task is started at most twice more.
MOST_CRASHES = 5


class CrashingMachine(worker.WorkerServer):
    """Begin a new life in this process where a worker's own would end."""

    def __init__(self, spec):
        super().__init__(spec)
        self.down = False
        self.crashes = 0
        self.doomed_jobs = set()

    def StartTask(self, request, context):
        self._abort_if_down(context)
        reply = super().StartTask(request, context)
        if reply.accepted and request.job_id in self.doomed_jobs:
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
        threading.Timer(BACK_AFTER_S, self._come_back).start()

    def _come_back(self):
        self.down = False


@pytest.fixture(name="cells")
def fixture_cells():
    kv = standins.Kv()
    one = test_jobs.OneCell(kv, workers=4, run_seconds=2.0,
                            kind=CrashingMachine, task_lease=3.0)
    cell = one.start()
    yield one, cell
    one.close(cell)
    kv.close()


@pytest.mark.parametrize("bad", [1, 4, 10])
def test_jobs_that_crash_their_workers_are_given_up_alone(cells, bad):
    """Guards against a start that takes worker after worker without end."""
    one, cell = cells
    doomed = [f"bad{number}" for number in range(bad)]
    sound = [f"good{number}" for number in range(8)]
    for machine in one.machines:
        machine.doomed_jobs.update(doomed)
    for job_id in sound[:4] + doomed + sound[4:]:
        cell.table.stage(jobtable.new_record(job_id, "owners", one.renewal,
                                             "low"))
    cell.wake.set()
    assert deployment.wait_until(
        lambda: all(test_jobs.state_of(cell, job_id) == jobtable.FAILED
                    for job_id in doomed), GIVEN_UP_S)
    assert all(cell.table.get(job_id).reason.startswith("crashed the workers")
               for job_id in doomed)
    assert sum(m.crashes for m in one.machines) <= bad * MOST_CRASHES
    assert deployment.wait_until(
        lambda: all(test_jobs.state_of(cell, job_id) == jobtable.DONE
                    for job_id in sound), GIVEN_UP_S)


def test_nothing_starts_beside_a_suspected_job_that_is_tried(cells):
    """Guards against a job given up for a crash by one placed before it."""
    one, cell = cells
    name = one.machines[0].spec.name
    cell.stop()
    for job_id, apart in (("tried", True), ("placed", False)):
        record = jobtable.new_record(job_id, "owners", one.renewal, "low")
        record.state, record.worker = jobtable.PLACED, name
        record.task_id, record.apart = job_id + ".1", apart
        record.placed_at = time.time()
        cell.table.stage(record)
    assert deployment.wait_until(
        lambda: cell.table.durable("tried") and cell.table.durable("placed"),
        3)
    cell._keep_apart(cell.table.get("tried"))
    durable = {start.job_id: start.durable
               for start in cell.expected(name).values()}
    assert durable == {"tried": True, "placed": False}
    time.sleep(cell_mod.APART_SECONDS)
    assert all(start.durable for start in cell.expected(name).values())


def test_what_starts_anew_after_a_crash_counts_as_young(cells):
    """Guards against a trial beside a job that has only just begun again."""
    one, cell = cells
    link = cell.links[one.machines[0].spec.name]
    cell.stop()
    record = jobtable.new_record("j", "owners", one.renewal, "low")
    record.state, record.worker = jobtable.PLACED, link.machine.name
    record.task_id, record.placed_at = "j.1", time.time() - 60.0
    cell.table.stage(record)
    assert cell._youngest_age(link.machine.name) > cell_mod.APART_SECONDS
    cell.worker_crashed(link, [], time.time())
    assert cell._youngest_age(link.machine.name) < cell_mod.APART_SECONDS


def test_a_room_that_shrinks_takes_no_more_than_it_holds(cells):
    """Guards against starts by a room that a worker no longer has."""
    one, cell = cells
    for machine in one.machines:
        machine.SetFaults(pb.WorkerFaults(shrunk_by=0.9999), None)
    assert deployment.wait_until(
        lambda: all(link.capacity.memory_mb < one.renewal.demand.memory_mb
                    for link in cell.links.values()), 3)
    one.submit(cell, "a")
    time.sleep(0.5)
    assert not any(machine.tasks for machine in one.machines)
    for machine in one.machines:
        machine.SetFaults(pb.WorkerFaults(), None)
    assert deployment.wait_until(
        lambda: any(machine.tasks for machine in one.machines), 3)


def test_suspicion_is_kept_with_the_job():
    """Guards against a new owner of a cell that starts anew with counting."""
    record = jobtable.JobRecord(
        "j", "c", "w", "batch", "low", crashed_on=["w1", "w2"],
        crashes_apart=1, apart=True)
    again = jobtable.JobRecord.from_message(record.message())
    assert again == record
    assert cell_mod.MAX_CRASHES_APART > again.crashes_apart
