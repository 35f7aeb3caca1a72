"""Run each batch job once, through outages, lost workers and moves."""

import dataclasses
import threading
import time

import pytest

from sycamorefield import cell as cell_mod
from sycamorefield import jobtable
from sycamorefield import options
from sycamorefield import peers
from sycamorefield import strategy
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import worker
from tests import deployment
from tests import standins


@pytest.fixture
def kv():
    stand_in = standins.Kv()
    yield stand_in
    stand_in.close()


class OneCell:
    """One cell over in-process workers, without membership."""

    def __init__(self, kv, workers=1, run_seconds=0.3,
                 kind=worker.WorkerServer, **timings):
        timings = {"report": 0.1, "task_lease": 0.5, "clock_skew": 0.0,
                   **timings}
        opts = standins.sample_options(kv.port, **timings)
        machines = tuple(dataclasses.replace(
            m, grpc_port=standins.free_port())
            for m in opts.machines[:workers])
        renewal = dataclasses.replace(opts.work["class-renewal"],
                                      run_seconds=run_seconds)
        self.opts = dataclasses.replace(
            opts, machines=machines, cells=1, quiet_machines=frozenset(),
            work=dict(opts.work, **{"class-renewal": renewal}))
        self.servers, self.machines = zip(*(
            worker.serve_grpc("127.0.0.1", m, kind) for m in machines))
        self.renewal = renewal
        self.kv = kv

    def start(self, fence=1, table_number=0, plan="guarded"):
        """Run the cell as its owner under a fence."""
        table = jobtable.JobTable(self.kv.client, table_number, "entry-1",
                                  fence, 0.02, 3600.0)
        cell = cell_mod.Cell(self.opts, 0, fence, table,
                             strategy.named(plan), "entry-1",
                             lambda: True, cell_mod.Counters())
        threading.Thread(target=cell.run, daemon=True).start()
        assert deployment.wait_until(
            lambda: cell.loaded and all(link.reached for link
                                        in cell.links.values()), 3)
        return cell

    def submit(self, cell, job_id, priority="low"):
        """Accept a class renewal and wait until it is durable."""
        version = cell.table.stage(jobtable.new_record(
            job_id, "owners", self.renewal, priority))
        assert cell.table.wait(version, 2)
        cell.wake.set()

    def running(self, index=0):
        """Return the tasks running on one worker."""
        return [t for t in list(self.machines[index].tasks.values())
                if t.state == "running"]

    def close(self, *cells):
        """Stop the cells and the workers."""
        for cell in cells:
            cell.stop(flush=False)
        for machine, server in zip(self.machines, self.servers):
            machine.stopped.set()
            server.stop(0)


LET_SECONDS = 10.0


def state_of(cell, job_id):
    """Return the state of a job in a cell."""
    return cell.table.get(job_id).state


def test_outcome_kept_until_recorded(kv):
    """Keep an ended task on its worker until the owner records it.

    Symptom: a class renewal runs twice, the second time from the start.

    Sequence: the task finishes while the key-value service is down; the
    owner's write of "done" fails; the service comes back.

    Cause: the worker dropped the ended task at the first report, so the
    owner found no task and queued the job again.
    """
    one = OneCell(kv, run_seconds=0.6)
    cell = one.start()
    try:
        one.submit(cell, "j1")
        assert deployment.wait_until(one.running, 3)
        kv.faults(down=True)
        assert deployment.wait_until(
            lambda: [t.state for t in one.machines[0].tasks.values()]
            == ["done"], 3)
        time.sleep(0.5)
        assert [t.state for t in one.machines[0].tasks.values()] == ["done"]
        kv.faults()
        assert deployment.wait_until(
            lambda: cell.table.durable("j1")
            and state_of(cell, "j1") == "done", 3)
        assert deployment.wait_until(
            lambda: not one.machines[0].tasks, 3)
        assert cell.table.get("j1").attempts == 1
    finally:
        one.close(cell)


def test_no_start_before_the_placement_is_durable(kv):
    """Send no start while the placement's commit is not known.

    Symptom: a job runs on two workers after its cell changed owners.

    Sequence: the store goes down after a job is accepted; the owner
    places it; the placement cannot be written; the owner dies and a
    successor, who reads "queued", places the job somewhere else.

    Cause guarded against: a start sent for a placement that only the
    owner's memory holds.
    """
    one = OneCell(kv)
    cell = one.start()
    try:
        kv.faults(down=True)
        cell.table.stage(jobtable.new_record("j1", "owners", one.renewal,
                                             "low"))
        cell.wake.set()
        time.sleep(0.6)
        assert not one.machines[0].tasks
        kv.faults()
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "done", 4)
    finally:
        one.close(cell)


def test_lost_workers_jobs_run_elsewhere(kv):
    """Run a lost worker's job elsewhere, after its leases lapsed.

    Symptom: a renewal whose worker VM failed for good never finishes.

    Sequence: a worker dies with a task; nobody ever answers for it again.

    Cause: only a report from the worker itself could queue its jobs again.
    """
    one = OneCell(kv, workers=2, run_seconds=1.0)
    cell = one.start()
    try:
        one.submit(cell, "j1")
        assert deployment.wait_until(
            lambda: one.running(0) or one.running(1), 3)
        gone = 0 if one.running(0) else 1
        one.machines[gone].stopped.set()
        one.servers[gone].stop(0)
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "done", 12)
        assert cell.table.get("j1").worker == one.machines[1 - gone].spec.name
    finally:
        one.close(cell)


def test_successor_takes_over_running_tasks(kv):
    """Carry a running task over to the cell's next owner, untouched.

    Symptom: a renewal starts again, or runs twice, when its owner dies.

    Sequence: the owner dies with a task running; a successor takes the
    cell over under a higher fence; the first owner wakes up and tries to
    record and to start.

    Cause guarded against: two owners that both act on the cell's jobs.
    """
    one = OneCell(kv, run_seconds=2.0, task_lease=2.0)
    first = one.start(fence=1)
    second = None
    try:
        one.submit(first, "j1")
        assert deployment.wait_until(one.running, 3)
        for link in first.links.values():
            link.stop()
        second = one.start(fence=2)
        first.table.stage(jobtable.new_record("j2", "owners", one.renewal,
                                              "low"))
        assert deployment.wait_until(lambda: first.table.lost, 3)
        assert second.table.get("j2") is None
        stale = first.links[one.machines[0].spec.name]
        refused = one.machines[0].StartTask(pb.StartTaskRequest(
            task_id="j2.1", job_id="j2", fence=stale.fence), None)
        assert (refused.accepted, refused.reason) == (False, "stale-fence")
        assert deployment.wait_until(
            lambda: state_of(second, "j1") == "done", 5)
        assert second.table.get("j1").attempts == 1
    finally:
        one.close(first, *([second] if second else []))


class Trusting(worker.WorkerServer):
    """A worker that takes whatever its owners give it, once it is let."""

    def __init__(self, spec):
        super().__init__(spec)
        self.let = threading.Event()

    def missing_resource(self, demand):
        return ""

    def StartTask(self, request, context):
        self.let.wait(LET_SECONDS)
        return super().StartTask(request, context)

    def StopTask(self, request, context):
        return pb.TaskReply(accepted=False, reason="unknown-task")


OWNERSHIP = [
    # how the second owner comes, its fence and table, tasks, overflow
    ("takes the cell over", 2, 0, 5, False),
    ("naive: no fence, a table of its own", 1, 1, 10, True),
]


@pytest.mark.parametrize("label,fence,table_number,tasks,overflows",
                         OWNERSHIP, ids=[row[0] for row in OWNERSHIP])
def test_two_owners_never_overfill_a_worker(kv, label, fence, table_number,
                                            tasks, overflows):
    """Give a worker no more than it holds, also when it would take more.

    Symptom: a worker's processors are given away twice.

    Sequence: an owner's lease lapses while it is paused; a second owner
    comes; the first wakes up, and both have jobs that fill the worker
    to place at the same moment. The worker itself refuses nothing.

    Cause guarded against: two owners that each count only their own
    tasks. The successor starts from the first one's committed table, and
    the first one's next commit fails.
    """
    one = OneCell(kv, run_seconds=60.0, task_lease=5.0, kind=Trusting)
    first = one.start(fence=1)
    second = None
    try:
        second = one.start(fence, table_number)
        for cell in (first, second):
            with cell.lock:
                for number in range(5):
                    cell.table.stage(jobtable.new_record(
                        f"{id(cell)}-{number}", "owners", one.renewal,
                        "low"))
            cell.wake.set()
        # No start may show in a report before both owners have decided:
        # an owner that sees the other's tasks counts them.
        assert deployment.wait_until(lambda: all(
            cell.table.lost or len(cell.table.in_state(jobtable.PLACED)) == 5
            for cell in (first, second)), 5)
        one.machines[0].let.set()
        assert deployment.wait_until(lambda: len(one.running()) >= tasks, 5)
        time.sleep(0.5)
        peak_usage = one.machines[0].peak_usage.cpus
        capacity = one.machines[0].spec.capacity.cpus
        assert (peak_usage > capacity) == overflows, (peak_usage, capacity)
    finally:
        one.close(first, *([second] if second else []))


def test_evicted_job_resumes_once_though_its_evictor_dies(kv):
    """Resume an evicted job once, from its checkpoint, whoever owns it.

    Symptom: an evicted renewal is lost, or starts again from nothing.

    Sequence: an urgent job evicts a renewal; the owner dies right after
    the stop reached the worker, before it recorded the eviction.

    Cause guarded against: an eviction known only to the evicting process.
    """
    one = OneCell(kv, run_seconds=3.0, task_lease=5.0)
    first = one.start(fence=1)
    second = None
    try:
        one.submit(first, "old")
        assert deployment.wait_until(one.running, 3)
        time.sleep(0.5)
        for link in first.links.values():
            link.stop()
        first.stop(flush=False)
        time.sleep(0.3)
        one.machines[0].StopTask(pb.StopTaskRequest(
            task_id="old.1", fence=1, checkpoint=True), None)
        checkpoint = one.machines[0].tasks["old.1"].progress
        assert checkpoint > 0.1
        second = one.start(fence=2)
        assert deployment.wait_until(one.running, 3)
        resumed = one.running()[0]
        assert resumed.task_id == "old.2"
        assert resumed.progress >= checkpoint
        record = second.table.get("old")
        assert (record.evictions, record.attempts) == (1, 2)
        assert len(one.running()) == 1
    finally:
        one.close(first, *([second] if second else []))


def test_urgent_job_evicts_only_what_it_needs(kv):
    one = OneCell(kv, run_seconds=30.0, task_lease=5.0)
    cell = one.start()
    try:
        for number in range(5):
            one.submit(cell, f"low-{number}")
        assert deployment.wait_until(lambda: len(one.running()) == 5, 3)
        began = time.monotonic()
        one.submit(cell, "now", priority="urgent")
        assert deployment.wait_until(
            lambda: state_of(cell, "now") == "placed"
            and any(t.job_id == "now" for t in one.running()), 3, 0.01)
        assert time.monotonic() - began < 3
        assert cell.counters.evictions == 1
    finally:
        one.close(cell)


AVOIDED = [
    # why the urgent job keeps off the first worker
    "it failed there",
    "it is kept quiet",
]


@pytest.mark.parametrize("why", AVOIDED)
def test_urgent_job_evicts_only_where_it_would_go(kv, why):
    """Evict nothing on a worker that the urgent job avoids.

    Symptom: one job is evicted a hundred times in a few seconds.

    Sequence: an urgent job fails on a worker and is queued again; all the
    workers are full; a job there is evicted, the urgent one keeps off that
    worker, the evicted one takes its room again.

    Cause: eviction looked at all the workers, placement at those that the
    job does not avoid.
    """
    one = OneCell(kv, workers=2, run_seconds=30.0, task_lease=5.0)
    avoided = one.machines[0].spec.name
    cell = one.start()
    try:
        for number in range(10):
            one.submit(cell, f"low-{number}")
        assert deployment.wait_until(
            lambda: len(one.running(0)) + len(one.running(1)) == 10, 4)
        now = jobtable.new_record("now", "owners", one.renewal, "urgent")
        if why == "it failed there":
            now.failed_on = [avoided]
        else:
            cell.opts = dataclasses.replace(
                cell.opts, quiet_machines=frozenset({avoided}))
        # The other worker's tasks look like the worse ones to evict.
        cell.links[one.machines[1].spec.name].known.remaining = (
            lambda record: 20.0)
        cell.table.stage(now)
        cell.wake.set()
        assert deployment.wait_until(lambda: any(
            t.job_id == "now" for t in one.running(1)), 4)
        assert cell.counters.evictions == 1
    finally:
        one.close(cell)


WAVES = [
    # strategy, whether urgent jobs come here, evictions, who runs at once
    ("guarded", True, 0, "now"),
    ("guarded", False, 1, "late"),
    ("first-fit", True, 1, "late"),
]


@pytest.mark.parametrize("plan,known,evictions,at_once", WAVES)
def test_new_job_leaves_the_last_room_to_urgent_ones(kv, plan, known,
                                                     evictions, at_once):
    """Leave the last room to urgent jobs that come in the same wave.

    Symptom: half of a wave's urgent jobs each evict a job that had started
    a moment before.

    Sequence: a wave of jobs comes, urgent and other ones mixed; the others
    take the last room; the urgent ones at its end find none.

    Cause: every job was placed as soon as it came.
    """
    one = OneCell(kv, run_seconds=30.0, task_lease=5.0)
    cell = one.start(plan=plan)
    try:
        for number in range(4):
            one.submit(cell, f"low-{number}")
        assert deployment.wait_until(lambda: len(one.running()) == 4, 3)
        if known:
            cell.urgent_at = time.monotonic()
        one.submit(cell, "late")
        time.sleep(cell_mod.HOLD_BACK / 3)
        one.submit(cell, "now", priority="urgent")
        assert deployment.wait_until(lambda: any(
            t.job_id == at_once for t in one.running()), 3, 0.01)
        assert deployment.wait_until(lambda: any(
            t.job_id == "now" for t in one.running()), 3)
        assert cell.counters.evictions == evictions
    finally:
        one.close(cell)


def test_job_held_back_takes_the_room_when_nothing_urgent_comes(kv):
    one = OneCell(kv, run_seconds=30.0, task_lease=5.0)
    cell = one.start()
    try:
        cell.urgent_at = time.monotonic()
        for number in range(5):
            one.submit(cell, f"low-{number}")
        assert deployment.wait_until(lambda: len(one.running()) == 5, 4)
    finally:
        one.close(cell)


def test_customer_keeps_to_its_quota_and_others_go_on(kv):
    one = OneCell(kv, run_seconds=30.0, task_lease=5.0)
    one.opts = dataclasses.replace(one.opts, quotas={"owners": 12.0})
    cell = one.start()
    cell.usage_everywhere = cell.usage
    try:
        for number in range(4):
            one.submit(cell, f"owners-{number}")
        cell.table.stage(jobtable.new_record("other", "port-officers",
                                             one.renewal, "low"))
        cell.wake.set()
        assert deployment.wait_until(lambda: len(one.running()) == 3, 3)
        time.sleep(0.5)
        assert sorted(t.job_id for t in one.running()) == [
            "other", "owners-0", "owners-1"]
        cell.cancel("owners-0")
        assert deployment.wait_until(
            lambda: state_of(cell, "owners-2") == "placed", 3)
    finally:
        one.close(cell)


def test_job_that_fails_everywhere_ends_and_others_go_on(kv):
    """End a job that fails on every worker; keep one bad worker's jobs.

    Symptom: jobs are lost to a worker that fails all it starts.

    Sequence: one of two workers fails every task; jobs keep arriving.

    Cause guarded against: counting a bad worker's failures against the
    jobs, or sending it job after job because it looks free.
    """
    one = OneCell(kv, workers=2, run_seconds=0.2)
    cell = one.start()
    try:
        one.machines[0].faults = pb.WorkerFaults(fail_all=True,
                                                 slow_factor=1.0)
        for number in range(6):
            one.submit(cell, f"j{number}")
        assert deployment.wait_until(
            lambda: all(state_of(cell, f"j{n}") == "done"
                        for n in range(6)), 10)
        one.machines[1].faults = one.machines[0].faults
        one.submit(cell, "never")
        assert deployment.wait_until(
            lambda: state_of(cell, "never") == "failed", 20)
        assert "failed on workers" in cell.table.get("never").reason
    finally:
        one.close(cell)


CANCELS = [("queued", 0), ("running", 1)]


@pytest.mark.parametrize("label,running", CANCELS,
                         ids=[row[0] for row in CANCELS])
def test_cancelled_job_stops_and_never_runs_again(kv, label, running):
    one = OneCell(kv, run_seconds=30.0)
    cell = one.start()
    try:
        if not running:
            for link in cell.links.values():
                link.shunned_until = time.monotonic() + 60
        one.submit(cell, "j1")
        if running:
            assert deployment.wait_until(one.running, 3)
        cell.cancel("j1")
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "cancelled", 3)
        time.sleep(0.4)
        assert not one.running()
    finally:
        one.close(cell)


def _late(machine, what):
    past = time.time() - 1.0
    start = pb.StartTaskRequest(task_id="j1.1", job_id="j1", fence=1,
                                lease_ms=300, run_seconds=60.0)
    if what == "start":
        start.not_after = past
        return machine.StartTask(start, None).accepted
    assert machine.StartTask(start, None).accepted
    time.sleep(0.4)
    machine.Report(pb.ReportRequest(
        fence=1, renew=True, not_after=past if what == "renewal" else 0),
        None)
    if what == "repeat":
        machine.StartTask(start, None)
    return machine.tasks["j1.1"].state == "running"


@pytest.mark.parametrize("what", ["start", "renewal", "wake", "repeat"])
def test_message_from_before_a_freeze_has_no_effect(what):
    """Ignore starts and renewals that waited while the worker was frozen.

    Symptom: a job runs in two places after a worker thaws.

    Sequence: the worker freezes with messages in its socket; its owner
    counts it as lost and runs the job elsewhere; it thaws and reads them.

    Cause guarded against: a late start that begins the job here too, a
    late renewal that revives a lapsed lease, a repeated start of a task
    that ended.
    """
    spec = standins.sample_options(1).machines[0]
    assert not _late(worker.WorkerServer(spec), what)


def test_job_never_moves_to_the_cell_it_leaves(kv):
    """Move a job to another cell only.

    Symptom: jobs vanish: "moved", but never run anywhere.

    Sequence: a cell's only usable worker is shunned after failures; its
    queued jobs look for a cell with room; the worker is free again and
    the cell itself offers the most room.

    Cause: the cell chose itself, found the job already there, and took
    that for a finished hand-over.
    """
    opts = standins.sample_options(kv.port)
    board = peers.Peers(opts, "entry-1", server=None, members=None)
    board.own_status = pb.StatusReply(cells=[
        pb.CellStatus(cell=0, room=pb.Resources(cpus=30, memory_mb=125000)),
        pb.CellStatus(cell=1, room=pb.Resources(cpus=12,
                                                memory_mb=125000))])
    demand = opts.work["class-renewal"].demand
    assert board.move_target(0, demand) == 1
    assert board.move_target(1, demand) == 0
    assert board.move_target(0, options.Capacity(20, 1000)) == (
        jobtable.NO_CELL)


def test_commit_wakes_placements_staged_during_an_earlier_one(kv):
    """Wake a worker's link by the commit that makes its placement durable.

    Symptom: one urgent job in fifty starts half a second late.

    Sequence: a commit is under way; a job is placed and staged; the
    commit, which does not hold it, ends; the next commit holds it.

    Cause: the first commit's end used up the wake meant for the second.
    """
    one = OneCell(kv)
    table = jobtable.JobTable(kv.client, 0, "entry-1", 1, 0.02, 3600.0)
    cell = cell_mod.Cell(one.opts, 0, 1, table, strategy.named("guarded"),
                         "entry-1", lambda: True, cell_mod.Counters())
    try:
        assert table.load()
        name, link = next(iter(cell.links.items()))
        cell.unsent.add(name)
        table.stage(jobtable.JobRecord(
            "j1", "owners", "class-renewal", "batch", "urgent",
            state="placed", worker=name, task_id="j1.1"))
        table.on_commit()
        link.wake.clear()
        table.commit_once()
        assert link.wake.is_set()
    finally:
        one.close(cell)


@pytest.mark.parametrize("begun", [False, True],
                         ids=["start not sent yet", "stop never sent"])
def test_cancelled_placement_does_not_run_on(kv, begun):
    """Stop, or never start, a placed job that is cancelled.

    Symptom: a cancelled renewal runs to its end.

    Sequence: a job is placed; it is cancelled before its start is sent,
    or its owner dies between the cancellation's commit and the stop.

    Cause: the stop was sent once and forgotten, and a worker that did not
    know the task yet began it afterwards.
    """
    one = OneCell(kv, run_seconds=60.0, task_lease=5.0)
    name = one.machines[0].spec.name
    if begun:
        one.machines[0].StartTask(pb.StartTaskRequest(
            task_id="j1.1", job_id="j1", fence=1, lease_ms=5000,
            run_seconds=60.0), None)
    table = jobtable.JobTable(kv.client, 0, "entry-0", 1, 0.02, 3600.0)
    assert table.load()
    table.stage(jobtable.JobRecord(
        "j1", "owners", "class-renewal", "batch", "low", state="placed",
        worker=name, task_id="j1.1", cancelled=True))
    assert table.commit_once()
    cell = one.start(fence=2)
    try:
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "cancelled", 3)
        assert not one.running()
    finally:
        one.close(cell)


def test_job_of_work_no_longer_in_the_settings(kv):
    """End a job whose work is gone; go on with the others.

    Symptom: after a change of settings a cell places nothing any more.

    Sequence: a job is queued; the settings lose its kind of work; the
    cell's next owner reads the job.

    Cause: looking the work up failed and ended the cell's placing task.
    """
    one = OneCell(kv)
    cell = one.start()
    try:
        cell.table.stage(jobtable.JobRecord(
            "old", "owners", "no-such-work", "batch", "urgent"))
        one.submit(cell, "j1")
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "done", 4)
        assert state_of(cell, "old") == "failed"
    finally:
        one.close(cell)


def test_job_placed_on_a_worker_no_longer_in_the_settings(kv):
    """Queue a job again whose worker was taken out of the settings.

    Symptom: a renewal stays "placed" for ever.

    Sequence: a job is placed on a worker; the settings lose that worker;
    the cell's next owner reads the job, and nobody reports for it.

    Cause: only a worker's own link could count it as lost.
    """
    one = OneCell(kv)
    table = jobtable.JobTable(kv.client, 0, "entry-0", 1, 0.02, 3600.0)
    assert table.load()
    table.stage(jobtable.JobRecord(
        "j1", "owners", "class-renewal", "batch", "low", state="placed",
        worker="taken-out", task_id="j1.1", attempts=1))
    assert table.commit_once()
    cell = one.start(fence=2)
    try:
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "done", 6)
        assert cell.table.get("j1").attempts == 2
    finally:
        one.close(cell)


def test_eviction_of_a_task_whose_start_is_still_to_be_sent(kv):
    """Evict a placed task that its worker does not know yet.

    Symptom: an urgent job starts late; the task that should have given
    way runs on.

    Sequence: a job is placed; before its start is sent an urgent job has
    it evicted; the stop reaches the worker first.

    Cause: the stop was forgotten when the worker did not know the task.
    """
    one = OneCell(kv, run_seconds=30.0, task_lease=5.0)
    cell = one.start()
    try:
        with cell.lock:
            cell.evicting.add("j1.1")
            cell.table.stage(jobtable.JobRecord(
                "j1", "owners", "class-renewal", "batch", "low",
                state="placed", worker=one.machines[0].spec.name,
                task_id="j1.1", attempts=1))
        assert deployment.wait_until(lambda: any(
            t.task_id == "j1.2" for t in one.running()), 3)
        assert [t.task_id for t in one.running()] == ["j1.2"]
        assert not cell.evicting
    finally:
        one.close(cell)
