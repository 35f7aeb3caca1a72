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


class CellEnv:
    """One cell over in-process workers, without membership."""

    def __init__(self, kv, workers=1, run_seconds=0.3,
                 kind=worker.Machine, **timings):
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

    def start(self, fence=1, table_number=0, policy="guarded"):
        """Run the cell as its owner under a fence."""
        table = jobtable.JobTable(self.kv.client, table_number, "entry-1",
                                  fence, 0.02, 3600.0)
        cell = cell_mod.Cell(self.opts, 0, fence, table,
                             strategy.by_name(policy), "entry-1",
                             lambda: True, cell_mod.Counters())
        threading.Thread(target=cell.run, daemon=True).start()
        assert deployment.wait_until(
            lambda: cell.loaded and all(link.has_reported for link
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


START_GATE_TIMEOUT_S = 10.0


def state_of(cell, job_id):
    """Return the state of a job in a cell."""
    return cell.table.get(job_id).state


def test_worker_keeps_ended_task_until_recorded(kv):
    """Keep an ended task on its worker until the owner records it.

    Symptom: a class renewal runs twice, the second time from the start.

    Sequence: the task finishes while the key-value service is down; the
    owner's write of "done" fails; the service comes back.

    Cause: the worker dropped the ended task at the first report, so the
    owner found no task and queued the job again.
    """
    env = CellEnv(kv, run_seconds=0.6)
    cell = env.start()
    try:
        env.submit(cell, "j1")
        assert deployment.wait_until(env.running, 3)
        kv.faults(down=True)
        assert deployment.wait_until(
            lambda: [t.state for t in env.machines[0].tasks.values()]
            == ["done"], 3)
        time.sleep(0.5)
        assert [t.state for t in env.machines[0].tasks.values()] == ["done"]
        kv.faults()
        assert deployment.wait_until(
            lambda: cell.table.durable("j1")
            and state_of(cell, "j1") == "done", 3)
        assert deployment.wait_until(
            lambda: not env.machines[0].tasks, 3)
        assert cell.table.get("j1").attempts == 1
    finally:
        env.close(cell)


def test_no_start_before_the_placement_is_durable(kv):
    """Send no start while the placement's commit is not known.

    Symptom: a job runs on two workers after its cell changed owners.

    Sequence: the store goes down after a job is accepted; the owner
    places it; the placement cannot be written; the owner dies and a
    successor, who reads "queued", places the job somewhere else.

    Cause guarded against: a start sent for a placement that only the
    owner's memory holds.
    """
    env = CellEnv(kv)
    cell = env.start()
    try:
        kv.faults(down=True)
        cell.table.stage(jobtable.new_record("j1", "owners", env.renewal,
                                             "low"))
        cell.wake.set()
        time.sleep(0.6)
        assert not env.machines[0].tasks
        kv.faults()
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "done", 4)
    finally:
        env.close(cell)


def test_jobs_of_lost_worker_run_elsewhere(kv):
    """Run a lost worker's job elsewhere, after its leases lapsed.

    Symptom: a renewal whose worker VM failed for good never finishes.

    Sequence: a worker dies with a task; nobody ever answers for it again.

    Cause: only a report from the worker itself could queue its jobs again.
    """
    env = CellEnv(kv, workers=2, run_seconds=1.0)
    cell = env.start()
    try:
        env.submit(cell, "j1")
        assert deployment.wait_until(
            lambda: env.running(0) or env.running(1), 3)
        lost = 0 if env.running(0) else 1
        env.machines[lost].stopped.set()
        env.servers[lost].stop(0)
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "done", 12)
        assert cell.table.get("j1").worker == env.machines[1 - lost].spec.name
    finally:
        env.close(cell)


def test_successor_takes_over_running_tasks(kv):
    """Carry a running task over to the cell's next owner, untouched.

    Symptom: a renewal starts again, or runs twice, when its owner dies.

    Sequence: the owner dies with a task running; a successor takes the
    cell over under a higher fence; the first owner wakes up and tries to
    record and to start.

    Cause guarded against: two owners that both act on the cell's jobs.
    """
    env = CellEnv(kv, run_seconds=2.0, task_lease=2.0)
    first = env.start(fence=1)
    second = None
    try:
        env.submit(first, "j1")
        assert deployment.wait_until(env.running, 3)
        for link in first.links.values():
            link.stop()
        second = env.start(fence=2)
        first.table.stage(jobtable.new_record("j2", "owners", env.renewal,
                                              "low"))
        assert deployment.wait_until(lambda: first.table.ownership_lost, 3)
        assert second.table.get("j2") is None
        stale = first.links[env.machines[0].spec.name]
        refused = env.machines[0].StartTask(pb.StartTaskRequest(
            task_id="j2.1", job_id="j2", fence=stale.fence), None)
        assert (refused.accepted, refused.reason) == (False, "stale-fence")
        assert deployment.wait_until(
            lambda: state_of(second, "j1") == "done", 5)
        assert second.table.get("j1").attempts == 1
    finally:
        env.close(first, *([second] if second else []))


class UnlimitedMachine(worker.Machine):
    """A worker that takes whatever its owners give it, once it is let."""

    def __init__(self, spec):
        super().__init__(spec)
        self.starts_allowed = threading.Event()

    def lacking(self, demand):
        return ""

    def StartTask(self, request, context):
        self.starts_allowed.wait(START_GATE_TIMEOUT_S)
        return super().StartTask(request, context)

    def StopTask(self, request, context):
        return pb.TaskReply(accepted=False, reason="unknown-task")


SECOND_OWNERS = [
    # how the second owner comes, its fence and table, tasks, overflow
    ("takes the cell over", 2, 0, 5, False),
    ("naive: no fence, a table of its own", 1, 1, 10, True),
]


@pytest.mark.parametrize("label,fence,table_number,tasks,overcommits",
                         SECOND_OWNERS, ids=[row[0] for row in SECOND_OWNERS])
def test_two_owners_never_overcommit_a_worker(kv, label, fence, table_number,
                                              tasks, overcommits):
    """Give a worker no more than it holds, also when it would take more.

    Symptom: a worker's processors are given away twice.

    Sequence: an owner's lease lapses while it is paused; a second owner
    comes; the first wakes up, and both have jobs that fill the worker
    to place at the same moment. The worker itself refuses nothing.

    Cause guarded against: two owners that each count only their own
    tasks. The successor starts from the first one's committed table, and
    the first one's next commit fails.
    """
    env = CellEnv(kv, run_seconds=60.0, task_lease=5.0, kind=UnlimitedMachine)
    first = env.start(fence=1)
    second = None
    try:
        second = env.start(fence, table_number)
        for cell in (first, second):
            with cell.lock:
                for number in range(5):
                    cell.table.stage(jobtable.new_record(
                        f"{id(cell)}-{number}", "owners", env.renewal,
                        "low"))
            cell.wake.set()
        # No start may show in a report before both owners have decided:
        # an owner that sees the other's tasks counts them.
        assert deployment.wait_until(lambda: all(
            cell.table.ownership_lost or len(
                cell.table.in_state(jobtable.PLACED)) == 5
            for cell in (first, second)), 5)
        env.machines[0].starts_allowed.set()
        assert deployment.wait_until(lambda: len(env.running()) >= tasks, 5)
        time.sleep(0.5)
        peak = env.machines[0].peak.cpus
        capacity = env.machines[0].spec.capacity.cpus
        assert (peak > capacity) == overcommits, (peak, capacity)
    finally:
        env.close(first, *([second] if second else []))


def test_evicted_job_resumes_once_after_owner_dies(kv):
    """Resume an evicted job once, from its checkpoint, whoever owns it.

    Symptom: an evicted renewal is lost, or starts again from nothing.

    Sequence: an urgent job evicts a renewal; the owner dies right after
    the stop reached the worker, before it recorded the eviction.

    Cause guarded against: an eviction known only to the evicting process.
    """
    env = CellEnv(kv, run_seconds=3.0, task_lease=5.0)
    first = env.start(fence=1)
    second = None
    try:
        env.submit(first, "old")
        assert deployment.wait_until(env.running, 3)
        time.sleep(0.5)
        for link in first.links.values():
            link.stop()
        first.stop(flush=False)
        time.sleep(0.3)
        env.machines[0].StopTask(pb.StopTaskRequest(
            task_id="old.1", fence=1, checkpoint=True), None)
        checkpoint = env.machines[0].tasks["old.1"].progress
        assert checkpoint > 0.1
        second = env.start(fence=2)
        assert deployment.wait_until(env.running, 3)
        resumed = env.running()[0]
        assert resumed.task_id == "old.2"
        assert resumed.progress >= checkpoint
        record = second.table.get("old")
        assert (record.evictions, record.attempts) == (1, 2)
        assert len(env.running()) == 1
    finally:
        env.close(first, *([second] if second else []))


def test_urgent_job_evicts_only_what_it_needs(kv):
    env = CellEnv(kv, run_seconds=30.0, task_lease=5.0)
    cell = env.start()
    try:
        for number in range(5):
            env.submit(cell, f"low-{number}")
        assert deployment.wait_until(lambda: len(env.running()) == 5, 3)
        submitted_at = time.monotonic()
        env.submit(cell, "now", priority="urgent")
        assert deployment.wait_until(
            lambda: state_of(cell, "now") == "placed"
            and any(t.job_id == "now" for t in env.running()), 3, 0.01)
        assert time.monotonic() - submitted_at < 3
        assert cell.counters.evictions == 1
    finally:
        env.close(cell)


AVOID_REASONS = [
    # why the urgent job keeps off the first worker
    "it failed there",
    "it is kept quiet",
]


@pytest.mark.parametrize("avoid_reason", AVOID_REASONS)
def test_urgent_job_evicts_only_on_workers_it_may_use(kv, avoid_reason):
    """Evict nothing on a worker that the urgent job avoids.

    Symptom: one job is evicted a hundred times in a few seconds.

    Sequence: an urgent job fails on a worker and is queued again; all the
    workers are full; a job there is evicted, the urgent one keeps off that
    worker, the evicted one takes its room again.

    Cause: eviction looked at all the workers, placement at those that the
    job does not avoid.
    """
    env = CellEnv(kv, workers=2, run_seconds=30.0, task_lease=5.0)
    avoided = env.machines[0].spec.name
    cell = env.start()
    try:
        for number in range(10):
            env.submit(cell, f"low-{number}")
        assert deployment.wait_until(
            lambda: len(env.running(0)) + len(env.running(1)) == 10, 4)
        urgent_job = jobtable.new_record(
            "now", "owners", env.renewal, "urgent")
        if avoid_reason == "it failed there":
            urgent_job.failed_on = [avoided]
        else:
            cell.opts = dataclasses.replace(
                cell.opts, quiet_machines=frozenset({avoided}))
        # The other worker's tasks look like the worse ones to evict.
        cell.links[env.machines[1].spec.name].task_list.remaining_s = (
            lambda record: 20.0)
        cell.table.stage(urgent_job)
        cell.wake.set()
        assert deployment.wait_until(lambda: any(
            t.job_id == "now" for t in env.running(1)), 4)
        assert cell.counters.evictions == 1
    finally:
        env.close(cell)


RESERVE_CASES = [
    # strategy, whether urgent jobs come here, evictions, who runs at once
    ("guarded", True, 0, "now"),
    ("guarded", False, 1, "late"),
    ("first-fit", True, 1, "late"),
]


@pytest.mark.parametrize("policy,urgent_seen,evictions,runs_first",
                         RESERVE_CASES)
def test_new_job_leaves_reserve_to_urgent_jobs(kv, policy, urgent_seen,
                                               evictions, runs_first):
    """Leave the last room to urgent jobs that come in the same wave.

    Symptom: half of a wave's urgent jobs each evict a job that had started
    a moment before.

    Sequence: a wave of jobs comes, urgent and other ones mixed; the others
    take the last room; the urgent ones at its end find none.

    Cause: every job was placed as soon as it came.
    """
    env = CellEnv(kv, run_seconds=30.0, task_lease=5.0)
    cell = env.start(policy=policy)
    try:
        for number in range(4):
            env.submit(cell, f"low-{number}")
        assert deployment.wait_until(lambda: len(env.running()) == 4, 3)
        if urgent_seen:
            cell.urgent_seen_at = time.monotonic()
        env.submit(cell, "late")
        time.sleep(cell_mod.HOLD_BACK_S / 3)
        env.submit(cell, "now", priority="urgent")
        assert deployment.wait_until(lambda: any(
            t.job_id == runs_first for t in env.running()), 3, 0.01)
        assert deployment.wait_until(lambda: any(
            t.job_id == "now" for t in env.running()), 3)
        assert cell.counters.evictions == evictions
    finally:
        env.close(cell)


def test_held_back_job_uses_reserve_without_urgent_jobs(kv):
    env = CellEnv(kv, run_seconds=30.0, task_lease=5.0)
    cell = env.start()
    try:
        cell.urgent_seen_at = time.monotonic()
        for number in range(5):
            env.submit(cell, f"low-{number}")
        assert deployment.wait_until(lambda: len(env.running()) == 5, 4)
    finally:
        env.close(cell)


def test_quota_limits_only_its_own_customer(kv):
    env = CellEnv(kv, run_seconds=30.0, task_lease=5.0)
    env.opts = dataclasses.replace(env.opts, quotas={"owners": 12.0})
    cell = env.start()
    cell.fleet_usage = cell.usage
    try:
        for number in range(4):
            env.submit(cell, f"owners-{number}")
        cell.table.stage(jobtable.new_record("other", "port-officers",
                                             env.renewal, "low"))
        cell.wake.set()
        assert deployment.wait_until(lambda: len(env.running()) == 3, 3)
        time.sleep(0.5)
        assert sorted(t.job_id for t in env.running()) == [
            "other", "owners-0", "owners-1"]
        cell.cancel("owners-0")
        assert deployment.wait_until(
            lambda: state_of(cell, "owners-2") == "placed", 3)
    finally:
        env.close(cell)


def test_job_failing_everywhere_ends_and_others_run(kv):
    """End a job that fails on every worker; keep one bad worker's jobs.

    Symptom: jobs are lost to a worker that fails all it starts.

    Sequence: one of two workers fails every task; jobs keep arriving.

    Cause guarded against: counting a bad worker's failures against the
    jobs, or sending it job after job because it looks free.
    """
    env = CellEnv(kv, workers=2, run_seconds=0.2)
    cell = env.start()
    try:
        env.machines[0].faults = pb.WorkerFaults(fail_all=True,
                                                 slow_factor=1.0)
        for number in range(6):
            env.submit(cell, f"j{number}")
        assert deployment.wait_until(
            lambda: all(state_of(cell, f"j{n}") == "done"
                        for n in range(6)), 10)
        env.machines[1].faults = env.machines[0].faults
        env.submit(cell, "never")
        assert deployment.wait_until(
            lambda: state_of(cell, "never") == "failed", 20)
        assert "failed on workers" in cell.table.get("never").reason
    finally:
        env.close(cell)


CANCELS = [("queued", 0), ("running", 1)]


@pytest.mark.parametrize("label,running", CANCELS,
                         ids=[row[0] for row in CANCELS])
def test_cancelled_job_stops_and_never_runs_again(kv, label, running):
    env = CellEnv(kv, run_seconds=30.0)
    cell = env.start()
    try:
        if not running:
            for link in cell.links.values():
                link.excluded_until = time.monotonic() + 60
        env.submit(cell, "j1")
        if running:
            assert deployment.wait_until(env.running, 3)
        cell.cancel("j1")
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "cancelled", 3)
        time.sleep(0.4)
        assert not env.running()
    finally:
        env.close(cell)


def _runs_after_late_message(machine, message):
    past = time.time() - 1.0
    start = pb.StartTaskRequest(task_id="j1.1", job_id="j1", fence=1,
                                lease_ms=300, run_seconds=60.0)
    if message == "start":
        start.not_after = past
        return machine.StartTask(start, None).accepted
    assert machine.StartTask(start, None).accepted
    time.sleep(0.4)
    machine.Report(pb.ReportRequest(
        fence=1, renew=True, not_after=past if message == "renewal" else 0),
        None)
    if message == "repeat":
        machine.StartTask(start, None)
    return machine.tasks["j1.1"].state == "running"


@pytest.mark.parametrize("message", ["start", "renewal", "wake", "repeat"])
def test_late_message_after_a_freeze_has_no_effect(message):
    """Ignore starts and renewals that waited while the worker was frozen.

    Symptom: a job runs in two places after a worker thaws.

    Sequence: the worker freezes with messages in its socket; its owner
    counts it as lost and runs the job elsewhere; it thaws and reads them.

    Cause guarded against: a late start that begins the job here too, a
    late renewal that revives a lapsed lease, a repeated start of a task
    that ended.
    """
    spec = standins.sample_options(1).machines[0]
    assert not _runs_after_late_message(worker.Machine(spec), message)


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
    local_peers = peers.Peers(opts, "entry-1", server=None, members=None)
    local_peers.own = pb.StatusReply(cells=[
        pb.CellStatus(cell=0, room=pb.Resources(cpus=30, memory_mb=125000)),
        pb.CellStatus(cell=1, room=pb.Resources(cpus=12,
                                                memory_mb=125000))])
    demand = opts.work["class-renewal"].demand
    assert local_peers.move_target(0, demand) == 1
    assert local_peers.move_target(1, demand) == 0
    assert local_peers.move_target(0, options.Capacity(20, 1000)) == (
        jobtable.NO_CELL)


def test_commit_wakes_links_of_placements_it_contains(kv):
    """Wake a worker's link by the commit that makes its placement durable.

    Symptom: one urgent job in fifty starts half a second late.

    Sequence: a commit is under way; a job is placed and staged; the
    commit, which does not hold it, ends; the next commit holds it.

    Cause: the first commit's end used up the wake meant for the second.
    """
    env = CellEnv(kv)
    table = jobtable.JobTable(kv.client, 0, "entry-1", 1, 0.02, 3600.0)
    cell = cell_mod.Cell(env.opts, 0, 1, table, strategy.by_name("guarded"),
                         "entry-1", lambda: True, cell_mod.Counters())
    try:
        assert table.load()
        name, link = next(iter(cell.links.items()))
        cell.uncommitted_workers.add(name)
        table.stage(jobtable.JobRecord(
            "j1", "owners", "class-renewal", "batch", "urgent",
            state="placed", worker=name, task_id="j1.1"))
        table.on_commit()
        link.wake.clear()
        table.commit_once()
        assert link.wake.is_set()
    finally:
        env.close(cell)


@pytest.mark.parametrize("start_sent", [False, True],
                         ids=["start not sent yet", "stop never sent"])
def test_cancelled_placement_is_stopped_or_never_started(kv, start_sent):
    """Stop, or never start, a placed job that is cancelled.

    Symptom: a cancelled renewal runs to its end.

    Sequence: a job is placed; it is cancelled before its start is sent,
    or its owner dies between the cancellation's commit and the stop.

    Cause: the stop was sent once and forgotten, and a worker that did not
    know the task yet began it afterwards.
    """
    env = CellEnv(kv, run_seconds=60.0, task_lease=5.0)
    name = env.machines[0].spec.name
    if start_sent:
        env.machines[0].StartTask(pb.StartTaskRequest(
            task_id="j1.1", job_id="j1", fence=1, lease_ms=5000,
            run_seconds=60.0), None)
    table = jobtable.JobTable(kv.client, 0, "entry-0", 1, 0.02, 3600.0)
    assert table.load()
    table.stage(jobtable.JobRecord(
        "j1", "owners", "class-renewal", "batch", "low", state="placed",
        worker=name, task_id="j1.1", cancelled=True))
    assert table.commit_once()
    cell = env.start(fence=2)
    try:
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "cancelled", 3)
        assert not env.running()
    finally:
        env.close(cell)


def test_job_of_removed_work_fails_and_others_run(kv):
    """End a job whose work is gone; go on with the others.

    Symptom: after a change of settings a cell places nothing any more.

    Sequence: a job is queued; the settings lose its kind of work; the
    cell's next owner reads the job.

    Cause: looking the work up failed and ended the cell's placing task.
    """
    env = CellEnv(kv)
    cell = env.start()
    try:
        cell.table.stage(jobtable.JobRecord(
            "old", "owners", "no-such-work", "batch", "urgent"))
        env.submit(cell, "j1")
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "done", 4)
        assert state_of(cell, "old") == "failed"
    finally:
        env.close(cell)


def test_job_on_removed_worker_is_requeued(kv):
    """Queue a job again whose worker was taken out of the settings.

    Symptom: a renewal stays "placed" for ever.

    Sequence: a job is placed on a worker; the settings lose that worker;
    the cell's next owner reads the job, and nobody reports for it.

    Cause: only a worker's own link could count it as lost.
    """
    env = CellEnv(kv)
    table = jobtable.JobTable(kv.client, 0, "entry-0", 1, 0.02, 3600.0)
    assert table.load()
    table.stage(jobtable.JobRecord(
        "j1", "owners", "class-renewal", "batch", "low", state="placed",
        worker="taken-out", task_id="j1.1", attempts=1))
    assert table.commit_once()
    cell = env.start(fence=2)
    try:
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "done", 6)
        assert cell.table.get("j1").attempts == 2
    finally:
        env.close(cell)


def test_task_can_be_evicted_before_its_start_is_sent(kv):
    """Evict a placed task that its worker does not know yet.

    Symptom: an urgent job starts late; the task that should have given
    way runs on.

    Sequence: a job is placed; before its start is sent an urgent job has
    it evicted; the stop reaches the worker first.

    Cause: the stop was forgotten when the worker did not know the task.
    """
    env = CellEnv(kv, run_seconds=30.0, task_lease=5.0)
    cell = env.start()
    try:
        with cell.lock:
            cell.evicting.add("j1.1")
            cell.table.stage(jobtable.JobRecord(
                "j1", "owners", "class-renewal", "batch", "low",
                state="placed", worker=env.machines[0].spec.name,
                task_id="j1.1", attempts=1))
        assert deployment.wait_until(lambda: any(
            t.task_id == "j1.2" for t in env.running()), 3)
        assert [t.task_id for t in env.running()] == ["j1.2"]
        assert not cell.evicting
    finally:
        env.close(cell)
