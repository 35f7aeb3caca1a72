"""Test placement on a fleet state, without network or threads."""

import asyncio
import dataclasses

import pytest

from sycamorefield.fleet import answers
from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import progress
from sycamorefield.fleet import recovery
from sycamorefield.fleet import reports
from sycamorefield.fleet import rounds
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerstate
from tests import fleetfakes

TASK_RESOURCES = messages.Resources(1000, 1000)


class Bench:
    """A fleet state that collects the orders it issues."""

    def __init__(self, *entries: messages.WorkerEntry,
                 policy: policy_mod.Policy = policy_mod.Policy()) -> None:
        self.orders: list[tuple[str, state_mod.Order]] = []
        self.state = state_mod.FleetState(
            10, 6000.0, lambda worker, order: self.orders.append(
                (worker, order)), fleetfakes.configuration, policy)
        self.now = 100.0
        for entry in entries:
            self.state.add_worker(entry)
            self.report(entry.worker_id)
        self.state.enrol([e.worker_id for e in entries])

    def add(self, job: messages.Job, created: int = 20) -> None:
        self.state.add_job(job, created)

    def report(self, worker_id: str, running=(), ended=()) -> None:
        reports.apply_report(self.state, worker_id, messages.WorkerReport(
            self.now * 1000.0, tuple(running), tuple(ended)),
            self.now, self.now)

    def place(self, wall_ms: float = 1e12) -> list[str]:
        """Run a round, accept all starts and return "task@worker" of each."""
        before = len(self.orders)
        self.now += 0.1
        rounds.place(self.state, self.now, wall_ms)
        placed = []
        for worker_id, order in self.orders[before:]:
            if isinstance(order, messages.StartOrder):
                placed.append(f"{order.task}@{worker_id}")
                answers.record_started(self.state, worker_id, order, self.now)
        return placed

    def stops(self) -> list[str]:
        return [str(o.task) for _, o in self.orders
                if isinstance(o, messages.StopOrder)]

    def end(self, worker_id: str, task: str, number: int, outcome: str,
            run: int = 1, saved: str = "") -> None:
        job_id, k, s, i = task.rsplit(".", 3)
        self.now += 0.1
        ended = messages.EndedTask(number, messages.TaskId(
            job_id, int(k), int(s), int(i)), run, outcome, saved)
        running = [messages.RunningTask(name, number, "", 0)
                   for name, number in self.state.workers[worker_id].tasks
                   if (name, number) != (ended.task, run)]
        self.report(worker_id, running, [ended])


@pytest.mark.parametrize(("step", "workers", "placed"), [
    (messages.Step(3, messages.Resources(2000, 10)), 1, 2),
    (messages.Step(3, messages.Resources(2000, 10)), 2, 3),
    (messages.Step(3, messages.Resources(10, 9000)), 2, 2),
    (messages.Step(1, messages.Resources(10, 10, 1)), 2, 0),
    (messages.Step(4, TASK_RESOURCES, max_per_worker=1), 2, 2),
    (messages.Step(1, TASK_RESOURCES, requires="b"), 2, 0),
    (messages.Step(1, TASK_RESOURCES, requires="a"), 2, 1),
    (messages.Step(3, messages.Resources(2000, 10), gang=True), 1, 0),
    (messages.Step(3, messages.Resources(2000, 10), gang=True), 2, 3),
], ids=["cpu", "cpu-two", "memory", "gpu", "per-worker", "label-missing",
        "label", "gang-none", "gang-all"])
def test_no_worker_exceeds_its_capacity_or_placement_rules(step, workers,
                                                           placed):
    bench = Bench(*(fleetfakes.entry(n) for n in range(workers)))
    bench.add(fleetfakes.job("j", step))
    assert len(bench.place()) == placed
    assert not bench.place()


def test_stopping_run_keeps_its_resources_until_its_end_is_reported():
    """Releasing resources when a stop is ordered would overcommit a worker.

    The run still uses them until the worker has carried out the stop.
    """
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(4000, 10))))
    assert bench.place() == ["j.0.0.0@i-0"]
    bench.state.cancel("j")
    bench.add(fleetfakes.job("k", messages.Step(
        1, messages.Resources(4000, 10))), 21)
    assert not bench.place()
    bench.end("i-0", "j.0.0.0", 1, "stopped")
    assert bench.place() == ["k.0.0.0@i-0"]


def test_urgent_task_preempts_a_low_priority_one_that_resumes_later():
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("low", messages.Step(
        2, messages.Resources(2000, 10), checkpoint=True), queue="renewals",
        priority=2))
    assert len(bench.place()) == 2
    bench.add(fleetfakes.job("urgent", messages.Step(
        1, messages.Resources(2000, 10))), 21)
    bench.place()
    assert len(bench.stops()) == 1
    bench.place()
    assert len(bench.stops()) == 1
    victim = bench.stops()[0]
    bench.end("i-0", victim, 1, "stopped", saved="s1")
    assert bench.place() == ["urgent.0.0.0@i-0"]
    bench.end("i-0", "urgent.0.0.0", 2, messages.DONE)
    assert bench.place() == [f"{victim}@i-0"]
    assert bench.orders[-1][1].saved == "s1"


@pytest.mark.parametrize(("outcomes", "state"), [
    ((messages.FAILED, messages.FAILED), messages.JOB_FAILED),
    ((messages.FAILED, messages.DONE), messages.COMPLETED),
    (("stopped", "lapsed", messages.DONE), messages.COMPLETED),
    (("stopped", "stopped", "stopped"), messages.PENDING),
], ids=["failed-twice", "second-attempt", "stopped-and-lapsed",
        "only-stopped"])
def test_only_failed_ends_count_as_attempts(outcomes, state):
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("j"))
    end_numbers = {"i-0": 0, "i-1": 0}
    for outcome in outcomes:
        bench.now += 5.0
        (placed,) = bench.place()
        worker = placed.split("@")[1]
        end_numbers[worker] += 1
        run = bench.orders[-1][1].run
        bench.end(worker, "j.0.0.0", end_numbers[worker], outcome, run)
    job = bench.state.jobs["j"]
    assert job.state == state
    if state == messages.JOB_FAILED:
        bench.now += 5.0
        assert not bench.place()


def test_an_end_reported_twice_counts_once():
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("j"))
    (placed,) = bench.place()
    worker = placed.split("@")[1]
    bench.end(worker, "j.0.0.0", 1, messages.FAILED)
    bench.end(worker, "j.0.0.0", 1, messages.FAILED)
    assert bench.state.jobs["j"].state == messages.PENDING


def test_unanswered_start_is_stopped_before_the_task_runs_elsewhere():
    """Starting a task elsewhere too early would run it on two workers.

    A start without a response may be carried out seconds later, so the
    worker must first acknowledge a stop of that run.
    """
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    worker_id, order = bench.orders[-1]
    answers.stop_uncertain_run(bench.state, worker_id, order)
    bench.report(worker_id)
    assert not bench.place()
    answers.record_stopped(bench.state, worker_id,
                           bench.orders[-1][1], bench.now)
    bench.now += 0.1
    bench.report(worker_id)
    assert len(bench.place()) == 1
    assert bench.orders[-1][1].run > order.run


def test_unresponsive_worker_keeps_its_tasks_until_its_leases_expire():
    """Restarting tasks of a partitioned worker too early would run them twice.

    An unresponsive worker may run its tasks until its leases have expired by
    its own clock, which may be slow.
    """
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("j"))
    (placed,) = bench.place()
    holder = placed.split("@")[1]
    bench.state.workers[holder].grant_lease(5000.0, bench.now)
    bench.state.mark_unresponsive(holder, "cut")
    bench.now += 4.9
    bench.state.expire(bench.now)
    assert not bench.place()
    bench.now += 2.0
    bench.state.expire(bench.now)
    (again,) = bench.place()
    assert again.split("@")[1] != holder


@pytest.mark.parametrize("awaited", [False, True])
def test_owner_without_a_lease_expires_no_leases_of_workers(awaited):
    """A successor may have renewed leases of a worker unresponsive here."""
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    if awaited:
        bench.state.await_workers(["i-9"], bench.now + 6.0)
    bench.add(fleetfakes.job("j"), created=5 if awaited else 20)
    placed = bench.place()
    assert len(placed) == (not awaited)
    for name in placed:
        holder = name.split("@")[1]
        bench.state.workers[holder].grant_lease(5000.0, bench.now)
        bench.state.mark_unresponsive(holder, "cut")
    bench.state.jobs["j"].known_at = bench.now
    bench.state.owner_lease_until = bench.now + 2.0
    bench.now += 7.0
    bench.state.expire(bench.now)
    assert not bench.place()
    bench.state.owner_lease_until = bench.now + 2.0
    bench.state.expire(bench.now)
    assert len(bench.place()) == 1


def test_draining_worker_gets_no_new_runs():
    bench = Bench(fleetfakes.entry(0))
    bench.state.add_worker(fleetfakes.entry(0, draining=True))
    bench.add(fleetfakes.job("j"))
    assert not bench.place()


def test_long_running_task_is_restarted_however_it_ends():
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        1, TASK_RESOURCES, perpetual=True)))
    for number, outcome in enumerate(
            (messages.DONE, messages.FAILED, "lapsed"), start=1):
        assert len(bench.place()) == 1
        bench.end("i-0", "j.0.0.0", number, outcome, bench.orders[-1][1].run)
        bench.now += 5.0
    assert len(bench.place()) == 1
    assert bench.state.jobs["j"].state == messages.PENDING


def test_scheduled_occurrences_start_when_due_and_may_overlap():
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", start_at_ms=5000.0, repeat_count=2,
                             interval_ms=1000.0))
    assert not bench.place(4999.0)
    assert bench.place(5000.0) == ["j.0.0.0@i-0"]
    assert bench.place(6000.0) == ["j.1.0.0@i-0"]


def test_only_jobs_of_earlier_terms_wait_for_awaited_workers():
    bench = Bench(fleetfakes.entry(0))
    bench.state.awaited_workers["i-9"] = bench.now + 10.0
    bench.add(fleetfakes.job("old"), created=5)
    bench.add(fleetfakes.job("new"), created=11)
    assert bench.place() == ["new.0.0.0@i-0"]
    bench.now += 11.0
    bench.state.expire(bench.now)
    assert bench.place() == ["old.0.0.0@i-0"]


def test_tasks_of_a_worker_that_drained_wait_for_its_leases():
    """Guards against a second run while a draining worker is cut off.

    Its closed connections and its missing entry may both be due to cuts.
    """
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("j"))
    (placed,) = bench.place()
    holder = placed.split("@")[1]
    bench.state.add_worker(fleetfakes.entry(int(holder[2:]), draining=True))
    bench.state.workers[holder].grant_lease(5000.0, bench.now)
    bench.state.mark_unresponsive(holder, "closed before an answer")
    bench.state.update_listed({"i-0", "i-1"} - {holder}, bench.now)
    for passed_s in (0.1, 2.0, 2.5):
        bench.now += passed_s
        bench.state.expire(bench.now)
        assert not bench.place()
    bench.now += 1.0
    bench.state.update_listed({"i-0", "i-1"} - {holder}, bench.now)
    bench.state.expire(bench.now)
    (again,) = bench.place()
    assert again.split("@")[1] != holder


def test_worker_is_awaited_until_a_report_lists_all_of_its_ends():
    """A full list of ends may omit the end of a task that seems unstarted."""
    bench = Bench(fleetfakes.entry(0))
    bench.state.await_workers(["i-9"], bench.now + 14.0)
    bench.state.add_worker(fleetfakes.entry(9))
    bench.add(fleetfakes.job("j"), created=5)
    bench.report("i-9", ended=[
        messages.EndedTask(number, messages.TaskId("k", 0, 0, number), 1,
                           messages.DONE, "")
        for number in range(1, reports.MAX_ENDS_PER_REPORT + 1)])
    assert not bench.place()
    bench.report("i-9", ended=[messages.EndedTask(
        reports.MAX_ENDS_PER_REPORT + 1, messages.TaskId("j", 0, 0, 0), 1,
        messages.DONE, "")])
    assert not bench.place()
    assert not bench.state.awaited_workers
    assert bench.state.jobs["j"].state == messages.COMPLETED


@pytest.mark.parametrize(("reported", "waits_s"), [(0, 14.0), (3, 7.5)])
def test_wait_for_remaining_workers_is_cut_once_most_reported(reported,
                                                              waits_s):
    bench = Bench(*(fleetfakes.entry(n) for n in range(reported)))
    bench.state.await_workers([f"i-{n}" for n in range(5)], bench.now + 14.0)
    for n in range(reported):
        bench.report(f"i-{n}")
    bench.state.expire(bench.now)
    bench.state.expire(bench.now + waits_s - 1.0)
    assert bench.state.awaited_workers
    bench.state.expire(bench.now + waits_s + 1.0)
    assert not bench.state.awaited_workers


@pytest.mark.parametrize(("responding", "lease"), [(3, True), (1, False)])
def test_owner_without_the_store_needs_a_majority_of_workers(responding,
                                                             lease):
    bench = Bench(*(fleetfakes.entry(n) for n in range(4)))
    bench.now += 5.0
    for n in range(responding):
        bench.report(f"i-{n}")
    assert bench.state.has_quorum(bench.now) is lease


@pytest.mark.parametrize("reached", [1, 2, 3])
def test_no_lease_outlasts_the_wait_of_a_successor(reached):
    """An owner in a minority must not consider itself in the majority later.

    It would, if it counted only the workers that it has not removed yet.
    """
    entries = [fleetfakes.entry(n) for n in range(4)]
    earlier, later = Bench(*entries), Bench()
    start = earlier.now
    later.state.await_workers([e.worker_id for e in entries],
                              start + owner_mod.OWNER_LEASE_S
                              + recovery.MAX_STORE_OUTAGE_S
                              + workerstate.LEASE_EXPIRY_S)
    granted_end_ms = 0.0
    while later.state.awaited_workers:
        earlier.now += 0.25
        later.now = earlier.now
        silence_s = earlier.now - start
        for n, entry in enumerate(entries):
            if n >= reached:
                earlier.state.mark_unresponsive(entry.worker_id, "cut")
            elif silence_s <= recovery.MAX_STORE_OUTAGE_S:
                if (silence_s <= owner_mod.OWNER_LEASE_S
                        or earlier.state.has_quorum(earlier.now)):
                    granted_end_ms = earlier.state.workers[
                        entry.worker_id].grant_lease(
                            workerstate.LEASE_MS, earlier.now)
                earlier.report(entry.worker_id)
            if n >= reached and silence_s > owner_mod.OWNER_LEASE_S:
                later.state.add_worker(entry)
                later.report(entry.worker_id)
        earlier.state.expire(earlier.now)
        later.state.expire(later.now)
    assert later.now * 1000.0 > granted_end_ms


@pytest.mark.parametrize("step", [
    messages.Step(1, messages.Resources(3000, 10)),
    messages.Step(2, messages.Resources(3000, 10), gang=True)],
    ids=["single", "gang"])
@pytest.mark.parametrize("fences", [(10, 20), (10, 11, 12), (10, 20, 90)])
def test_run_numbers_of_a_new_term_exceed_those_of_earlier_terms(step, fences):
    """A worker would reject a run number that it takes for a stale one.

    A gang would wait for the rejected member for ever.
    """
    entries = [fleetfakes.entry(n) for n in range(step.count)]
    workers = {e.worker_id: fleetfakes.MemoryWorker(e.worker_id)
               for e in entries}
    for fence in fences:
        bench = Bench(*entries)
        bench.state.fence = fence
        bench.add(fleetfakes.job("j", step), created=5)
        bench.place()
        assert len(bench.orders) == step.count
        for worker_id, order in bench.orders:
            asyncio.run(workers[worker_id].start(order, fence, 0.0))
        for worker_id, order in bench.orders:
            asyncio.run(workers[worker_id].stop(messages.StopOrder(
                order.task, order.run), fence))


@pytest.mark.parametrize("state", [
    messages.PENDING, messages.COMPLETED, messages.CANCELLED])
def test_progress_survives_encoding_and_decoding(state):
    job = fleetfakes.job("j", messages.Step(3, TASK_RESOURCES), messages.Step(
        2, TASK_RESOURCES, after=(0,), checkpoint=True))
    first = progress.JobState(job, 5)
    first.create_tasks(0)
    first.state = state
    tasks = first.tasks[0, 0]
    tasks[1].done = True
    tasks[2].failed_runs = {1, 4}
    tasks[2].last_run = 4
    tasks[0].saved = "abc"
    tasks[0].has_run = True
    second = progress.JobState(progress.decode_job(
        progress.encode_job(job)), 5)
    progress.apply_progress(second, progress.encode_progress(first))
    assert second.job == job
    assert second.state == state
    if state == messages.PENDING:
        again = second.tasks[0, 0]
        assert [t.done for t in again] == [False, True, False]
        assert again[2].failed_runs == {1, 4}
        assert again[2].last_run == 4
        assert again[0].saved == "abc"
        assert [t.has_run for t in again] == [True, False, False]


@pytest.mark.parametrize(("second_tail_ms", "placed"), [(10.0, 1), (40.0, 0)],
                         ids=["low-load", "high-load"])
def test_best_effort_tasks_use_cpu_left_idle_by_long_running_ones(
        second_tail_ms, placed):
    """Assuming that a fixed share of reserved CPU is in use would be wrong.

    At low load a sixth of the fleet was idle while best-effort tasks waited,
    and at high load tail latencies of long-running tasks were at twice their
    target.  The load is estimated from the tail latency instead.
    """
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("service", messages.Step(
        1, messages.Resources(3000, 10), perpetual=True, image="s",
        target_ms=1000.0)))
    bench.place()
    name = messages.TaskId("service", 0, 0, 0)
    for figure in (10.0, second_tail_ms):
        bench.report("i-0", [messages.RunningTask(name, 1, "", 100, figure)])
    bench.add(fleetfakes.job("best-effort", messages.Step(
        1, messages.Resources(2000, 10), fills=True, image="f"),
        accepted_ms=1e12))
    assert len(bench.place(1e12)) == placed


@pytest.mark.parametrize("order", [("i-0", "i-9"), ("i-9", "i-0")],
                         ids=["old-first", "new-first"])
def test_stale_entry_of_an_old_incarnation_removes_no_worker(order):
    """Taking an entry unknown to the owner for the newer one ran tasks twice.

    A worker that crashed during a partition and restarted under another ID is
    listed twice for some seconds.  If at each reading of the list the unknown
    entry replaced the known one, runs of the live incarnation would be taken
    for ended and started elsewhere, and workers be overcommitted.  One task
    ran on two workers for 0.48 s.  Only a call to the address shows which
    incarnation is running.
    """
    old = fleetfakes.entry(0)
    new = dataclasses.replace(old, worker_id="i-9")
    entries = {"i-0": old, "i-9": new}
    bench = Bench(old, fleetfakes.entry(1))
    bench.state.add_worker(new)
    bench.report("i-9")
    bench.state.enrol(["i-9"])
    bench.state.mark_unresponsive("i-0", "cut")
    bench.add(fleetfakes.job("j", messages.Step(
        3, TASK_RESOURCES, requires="r0")))
    assert bench.place() == [f"j.0.0.{n}@i-9" for n in range(3)]
    for _ in range(3):
        for worker_id in order:
            bench.state.add_worker(entries[worker_id])
        bench.now += 0.8
        bench.state.expire(bench.now)
        assert not bench.place()
        assert len(bench.state.workers["i-9"].reserved) == 3


@pytest.mark.parametrize("first", ["i-0", "i-9"])
def test_second_entry_at_an_address_releases_no_runs(first):
    """Runs are released when the worker itself rejects a call, not by a list.

    Either entry may be the stale one.
    """
    entries = [fleetfakes.entry(0),
               dataclasses.replace(fleetfakes.entry(0), worker_id="i-9")]
    entries.sort(key=lambda entry: entry.worker_id != first)
    bench = Bench(entries[0])
    bench.add(fleetfakes.job("j"))
    assert bench.place() == [f"j.0.0.0@{first}"]
    bench.state.add_worker(entries[1])
    bench.report(entries[1].worker_id)
    bench.state.enrol([entries[1].worker_id])
    assert not bench.place()
    bench.state.mark_dead(first, "reborn")
    assert bench.place() == [f"j.0.0.0@{entries[1].worker_id}"]


@pytest.mark.parametrize("outcome", ["", "lapsed", "stopped", messages.FAILED])
def test_long_running_task_of_an_earlier_owner_is_marked_as_run(outcome):
    """A task that is down must be restarted before new ones are started.

    Taken for one that never ran, it would wait as a new task does.
    """
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Resources(1000, 1000), perpetual=True)), created=5)
    if outcome:
        bench.end("i-0", "j.0.0.0", 1, outcome)
    else:
        bench.report("i-0", [messages.RunningTask(
            messages.TaskId("j", 0, 0, 0), 1, "", 0, 0.0)])
    job = bench.state.jobs["j"]
    assert job.tasks[0, 0][0].has_run
    assert job.dirty
