"""Check that batch jobs run exactly once despite faults and moves."""

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
    """A cell with in-process workers and without membership."""

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

    def start(self, fence=1, table_number=0, policy="guarded"):
        """Run the cell as an owner with a fencing token."""
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
        """Stage a class-renewal job and wait until it is durable."""
        version = cell.table.stage(jobtable.new_record(
            job_id, "owners", self.renewal, priority))
        assert cell.table.wait(version, 2)
        cell.wake.set()

    def running(self, index=0):
        """Return the running tasks of one worker."""
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
    """Guards against running a finished job a second time from the start.

    The task finishes while the key-value service is down, so the owner's
    write of "done" fails.  If the worker dropped the ended task after its
    first report, the owner would find no task and requeue the job.
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
    """Guards against a job that runs on two workers after a change of owner.

    The store goes down after a job is accepted, so its placement cannot be
    written.  If the owner sent the start for a placement that is only in its
    memory and then died, a successor would read "queued" and place the job
    on another worker.
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
    """Guards against a job that never finishes after its worker VM failed.

    A worker dies with a running task and never answers again.  Its jobs must
    be requeued once the task leases have expired, without a report from it.
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
    """Guards against a job that restarts or runs twice when its owner dies.

    The owner dies while a task is running and a successor takes over the
    cell with a higher fence.  The first owner resumes and tries to commit a
    job and to start a task; both must fail.
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


class UnlimitedMachine(worker.WorkerServer):
    """A worker without a capacity limit; starts wait for starts_allowed."""

    def __init__(self, spec):
        super().__init__(spec)
        self.starts_allowed = threading.Event()

    def missing_resource(self, demand):
        return ""

    def StartTask(self, request, context):
        self.starts_allowed.wait(START_GATE_TIMEOUT_S)
        return super().StartTask(request, context)

    def StopTask(self, request, context):
        return pb.TaskReply(accepted=False, reason="unknown-task")


SECOND_OWNERS = [
    # second owner, its fence and table number, running tasks, overcommitted
    ("takes the cell over", 2, 0, 5, False),
    ("faulty: same fence, separate table", 1, 1, 10, True),
]


@pytest.mark.parametrize("label,fence,table_number,tasks,overcommits",
                         SECOND_OWNERS, ids=[row[0] for row in SECOND_OWNERS])
def test_two_owners_never_overcommit_a_worker(kv, label, fence, table_number,
                                              tasks, overcommits):
    """Guards against two owners that reserve the same CPUs of a worker.

    An owner's lease expires while it is paused and a second owner takes over.
    The first one resumes, and both try to place jobs that fill the worker,
    which refuses nothing.  The successor must start from the first owner's
    committed table, and the first owner's next commit must fail; otherwise
    each counts only its own tasks.
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
        # No start may appear in a report before both owners have placed their
        # jobs: an owner that sees the other's tasks would count them.
        assert deployment.wait_until(lambda: all(
            cell.table.ownership_lost or len(
                cell.table.in_state(jobtable.PLACED)) == 5
            for cell in (first, second)), 5)
        env.machines[0].starts_allowed.set()
        assert deployment.wait_until(lambda: len(env.running()) >= tasks, 5)
        time.sleep(0.5)
        peak_usage = env.machines[0].peak_usage.cpus
        capacity = env.machines[0].spec.capacity.cpus
        assert (peak_usage > capacity) == overcommits, (peak_usage, capacity)
    finally:
        env.close(first, *([second] if second else []))


def test_evicted_job_resumes_once_after_owner_dies(kv):
    """Guards against an evicted job that is lost or restarts from zero.

    An urgent job evicts a running job.  The owner dies after the worker got
    the stop and before the eviction is recorded, so only the dead process
    knew of it.  The successor must resume the job once, from its checkpoint.
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
    # why the urgent job avoids the first worker
    "failed there",
    "quiet worker",
]


@pytest.mark.parametrize("avoid_reason", AVOID_REASONS)
def test_urgent_job_evicts_only_on_workers_it_may_use(kv, avoid_reason):
    """Guards against evicting one job a hundred times in a few seconds.

    An urgent job fails on a worker and is requeued while all workers are
    full.  If eviction considered all workers but placement only those that
    the job does not avoid, a job on the avoided worker would be evicted and
    placed there again and again.
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
        if avoid_reason == "failed there":
            urgent_job.failed_on = [avoided]
        else:
            cell.opts = dataclasses.replace(
                cell.opts, quiet_machines=frozenset({avoided}))
        # Make the tasks of the other worker the less preferred to evict.
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
    # policy, whether urgent jobs were seen, evictions, job that runs first
    ("guarded", True, 0, "now"),
    ("guarded", False, 1, "late"),
    ("first-fit", True, 1, "late"),
]


@pytest.mark.parametrize("policy,urgent_seen,evictions,runs_first",
                         RESERVE_CASES)
def test_new_job_leaves_reserve_to_urgent_jobs(kv, policy, urgent_seen,
                                               evictions, runs_first):
    """Guards against urgent jobs that evict jobs which have just started.

    Urgent and other jobs arrive in one burst.  If every job were placed at
    once, the others would take the last capacity, and half of the urgent jobs
    would each have to evict one of them.
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
    """Guards against jobs that fail because one worker fails every task.

    One of two workers fails every task while jobs arrive.  Its failures must
    not end sound jobs, and it must not attract all jobs because it looks
    free.  A job that fails on every worker must end as failed.
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


def test_end_of_failing_job_depends_on_no_earlier_failures(kv):
    """Guards against a job that fails everywhere but does not end.

    Earlier failures of other jobs exclude one of two workers for half a
    minute.  The job would fail on the other one alone, with a longer and
    longer delay between its attempts.
    """
    env = CellEnv(kv, workers=2, run_seconds=0.1)
    cell = env.start()
    try:
        for machine in env.machines:
            machine.faults = pb.WorkerFaults(fail_all=True, slow_factor=1.0)
        excluded = cell.links[env.machines[0].spec.name]
        excluded.excluded_until = time.monotonic() + 30.0
        excluded.exclusion_s = 30.0
        env.submit(cell, "never")
        assert deployment.wait_until(
            lambda: state_of(cell, "never") == "failed", 10)
        assert set(cell.table.get("never").failed_on) == set(cell.links)
    finally:
        env.close(cell)


FAILED_ON = [
    ("once-on-each-of-two", [0, 1], 2, False),
    ("three-times-on-two", [1, 0, 1], 2, True),
    ("three-times-on-one-of-two", [1, 1, 1], 2, False),
    ("six-times-on-one-of-two", [1] * 6, 2, True),
    ("three-times-on-the-only-one", [0, 0, 0], 1, False),
    ("two-of-three", [0, 1, 1], 3, False),
    ("all-of-three", [0, 1, 2], 3, True),
    ("all-but-a-quiet-one", [0, 1, 1], "quiet", True),
]


@pytest.mark.parametrize("label,failed_on,workers,ends", FAILED_ON,
                         ids=[row[0] for row in FAILED_ON])
def test_failures_end_a_job_only_on_every_capable_worker(
        kv, label, failed_on, workers, ends):
    """Guards against ending a sound job for failures of its workers."""
    env = CellEnv(kv, workers=3 if workers == "quiet" else workers)
    names = [machine.spec.name for machine in env.machines]
    if workers == "quiet":
        env.opts = dataclasses.replace(
            env.opts, quiet_machines=frozenset(names[2:]))
    cell = env.start()
    try:
        record = jobtable.new_record("j1", "owners", env.renewal, "low")
        for number in failed_on[:-1]:
            record.failed_on.append(names[number])
        cell._after_failure(record, names[failed_on[-1]])
        assert (record.state == jobtable.FAILED) == ends
    finally:
        env.close(cell)


def test_failures_of_tasks_placed_together_exclude_a_worker_once(kv):
    """Guards against a worker excluded for 30 s by one batch of failures."""
    env = CellEnv(kv)
    cell = env.start()
    try:
        link, = cell.links.values()
        for _ in range(6):
            link.note_failure()
        assert link.excluded_until - time.monotonic() <= 1.0
        link.excluded_until = 0.0
        link.note_failure()
        assert 1.0 < link.excluded_until - time.monotonic() <= 2.0
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
    """Guards against a job that runs twice after a frozen worker resumes.

    A worker freezes with unread messages in its socket.  Its owner counts it
    as lost and runs the job elsewhere; then the worker resumes and reads the
    messages.  It must ignore a late start, a late renewal of an expired
    lease and a repeated start of an ended task.
    """
    spec = standins.sample_options(1).machines[0]
    assert not _runs_after_late_message(worker.WorkerServer(spec), message)


def test_job_never_moves_to_the_cell_it_leaves(kv):
    """Guards against jobs that are marked "moved" but never run.

    The only usable worker of a cell is excluded after failures, so its
    queued jobs need another cell.  When the worker is usable again, the cell
    itself has the most free capacity.  If it chose itself, it would find the
    job already recorded there and treat the move as complete.
    """
    opts = standins.sample_options(kv.port)
    local_peers = peers.Peers(opts, "entry-1", server=None, members=None)
    local_peers.own_status = pb.StatusReply(cells=[
        pb.CellStatus(cell=0, room=pb.Resources(cpus=30, memory_mb=125000)),
        pb.CellStatus(cell=1, room=pb.Resources(cpus=12,
                                                memory_mb=125000))])
    demand = opts.work["class-renewal"].demand
    assert local_peers.move_target(0, demand) == 1
    assert local_peers.move_target(1, demand) == 0
    assert local_peers.move_target(0, options.Capacity(20, 1000)) == (
        jobtable.NO_CELL)


def test_commit_wakes_links_of_placements_it_contains(kv):
    """Guards against one in fifty urgent jobs starting half a second late.

    A job is placed and staged while a commit is in progress that does not
    contain it.  The end of that commit must not use up the wake-up that
    belongs to the next commit, which contains the placement.
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
    """Guards against a cancelled job that runs to its end.

    A placed job is cancelled before its start is sent, or its owner dies
    between committing the cancellation and sending the stop.  If the stop
    were sent only once, a worker that did not know the task yet would start
    it afterwards.
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
    """Guards against a cell that stops placing after a change of settings.

    A job is queued, its kind of work is removed from the settings, and the
    cell's next owner reads the job.  The failed lookup of the work must not
    end the thread that places jobs.
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
    """Guards against a job that stays "placed" forever.

    A job is placed on a worker, the worker is removed from the settings, and
    the cell's next owner reads the job.  No link exists that could count the
    worker as lost, so the cell must requeue the job itself.
    """
    env = CellEnv(kv)
    table = jobtable.JobTable(kv.client, 0, "entry-0", 1, 0.02, 3600.0)
    assert table.load()
    table.stage(jobtable.JobRecord(
        "j1", "owners", "class-renewal", "batch", "low", state="placed",
        worker="removed", task_id="j1.1", attempts=1))
    assert table.commit_once()
    cell = env.start(fence=2)
    try:
        assert deployment.wait_until(
            lambda: state_of(cell, "j1") == "done", 6)
        assert cell.table.get("j1").attempts == 2
    finally:
        env.close(cell)


def test_task_can_be_evicted_before_its_start_is_sent(kv):
    """Guards against an urgent job that starts late behind an evicted task.

    An urgent job evicts a placed task before its start is sent, so the stop
    reaches the worker first.  If the stop were dropped because the worker
    does not know the task, the task would start and keep running.
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
