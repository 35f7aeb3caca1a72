"""Show what is placed where, without any network or thread."""

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

ROOM = messages.Room(1000, 1000)


class Bench:
    """A fleet state whose orders are collected."""

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
        reports.take(self.state, worker_id, messages.WorkerReport(
            self.now * 1000.0, tuple(running), tuple(ended)),
            self.now, self.now)

    def place(self, wall_ms: float = 1e12) -> list[str]:
        """Place, accept all starts, and return "task@worker" of each."""
        before = len(self.orders)
        self.now += 0.1
        rounds.place(self.state, self.now, wall_ms)
        placed = []
        for worker_id, order in self.orders[before:]:
            if isinstance(order, messages.StartOrder):
                placed.append(f"{order.task}@{worker_id}")
                answers.started(self.state, worker_id, order,
                                self.now * 1000.0, self.now)
        return placed

    def stops(self) -> list[str]:
        return [str(o.task) for _, o in self.orders
                if isinstance(o, messages.StopOrder)]

    def end(self, worker_id: str, task: str, number: int, how: str,
            run: int = 1, saved: str = "") -> None:
        job_id, k, s, i = task.rsplit(".", 3)
        self.now += 0.1
        ended = messages.EndedTask(number, messages.TaskId(
            job_id, int(k), int(s), int(i)), run, how, saved)
        running = [messages.RunningTask(name, number, "", 0)
                   for name, number in self.state.workers[worker_id].tasks
                   if (name, number) != (ended.task, run)]
        self.report(worker_id, running, [ended])


@pytest.mark.parametrize(("step", "workers", "placed"), [
    (messages.Step(3, messages.Room(2000, 10)), 1, 2),
    (messages.Step(3, messages.Room(2000, 10)), 2, 3),
    (messages.Step(3, messages.Room(10, 9000)), 2, 2),
    (messages.Step(1, messages.Room(10, 10, 1)), 2, 0),
    (messages.Step(4, ROOM, max_per_worker=1), 2, 2),
    (messages.Step(1, ROOM, requires="b"), 2, 0),
    (messages.Step(1, ROOM, requires="a"), 2, 1),
    (messages.Step(3, messages.Room(2000, 10), gang=True), 1, 0),
    (messages.Step(3, messages.Room(2000, 10), gang=True), 2, 3),
], ids=["cpu", "cpu-two", "memory", "gpu", "per-worker", "label-missing",
        "label", "gang-none", "gang-all"])
def test_no_worker_is_filled_beyond_its_room_or_rules(step, workers, placed):
    bench = Bench(*(fleetfakes.entry(n) for n in range(workers)))
    bench.add(fleetfakes.job("j", step))
    assert len(bench.place()) == placed
    assert not bench.place()


def test_room_of_a_run_being_stopped_counts_until_its_end_is_listed():
    """Keep a worker within its room while it stops runs.

    Symptom would be a worker over its capacity for the time a stop takes.
    Cause would be to give room back when the stop is ordered.
    """
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Room(4000, 10))))
    assert bench.place() == ["j.0.0.0@i-0"]
    bench.state.cancel("j")
    bench.add(fleetfakes.job("k", messages.Step(
        1, messages.Room(4000, 10))), 21)
    assert not bench.place()
    bench.end("i-0", "j.0.0.0", 1, "stopped")
    assert bench.place() == ["k.0.0.0@i-0"]


def test_urgent_task_gets_room_from_a_patient_one_that_resumes():
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("patient", messages.Step(
        2, messages.Room(2000, 10), checkpoint=True), queue="renewals",
        priority=2))
    assert len(bench.place()) == 2
    bench.add(fleetfakes.job("urgent", messages.Step(
        1, messages.Room(2000, 10))), 21)
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


@pytest.mark.parametrize(("ends", "state"), [
    ((messages.FAILED, messages.FAILED), messages.JOB_FAILED),
    ((messages.FAILED, messages.DONE), messages.COMPLETED),
    (("stopped", "lapsed", messages.DONE), messages.COMPLETED),
    (("stopped", "stopped", "stopped"), messages.PENDING),
], ids=["failed-twice", "second-try", "not-its-fault", "only-stopped"])
def test_only_failed_ends_count_as_attempts(ends, state):
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("j"))
    numbers = {"i-0": 0, "i-1": 0}
    for how in ends:
        bench.now += 5.0
        (placed,) = bench.place()
        worker = placed.split("@")[1]
        numbers[worker] += 1
        run = bench.orders[-1][1].run
        bench.end(worker, "j.0.0.0", numbers[worker], how, run)
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


def test_start_without_answer_is_stopped_before_the_task_runs_elsewhere():
    """Run a task once although an order's answer is lost.

    Symptom would be a task on two workers.  Events: a start gets no answer
    and may be carried out seconds later.  Cause would be to try elsewhere
    before the worker has taken a stop of that run.
    """
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("j"))
    rounds.place(bench.state, bench.now, 0)
    worker_id, order = bench.orders[-1]
    answers.uncertain(bench.state, worker_id, order)
    bench.report(worker_id)
    assert not bench.place()
    answers.stopped(bench.state, worker_id, bench.orders[-1][1], bench.now)
    bench.now += 0.1
    bench.report(worker_id)
    assert len(bench.place()) == 1
    assert bench.orders[-1][1].run > order.run


def test_silent_worker_keeps_its_tasks_until_its_leases_are_over():
    """Restart a silent worker's tasks only when nothing can run there.

    Symptom would be a task on two workers after a cut.  Cause would be to
    take silence for death before the lease has ended on a slow clock.
    """
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("j"))
    (placed,) = bench.place()
    holder = placed.split("@")[1]
    bench.state.workers[holder].lease_until(5000.0, bench.now)
    bench.state.worker_silent(holder, "cut")
    bench.now += 4.9
    bench.state.expire(bench.now)
    assert not bench.place()
    bench.now += 2.0
    bench.state.expire(bench.now)
    (again,) = bench.place()
    assert again.split("@")[1] != holder


@pytest.mark.parametrize("unheard", [False, True])
def test_only_an_owner_whose_lease_holds_counts_leases_as_over(unheard):
    """A successor may have renewed those of a worker that is silent here."""
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    if unheard:
        bench.state.expect(["i-9"], bench.now + 6.0)
    bench.add(fleetfakes.job("j"), created=5 if unheard else 20)
    placed = bench.place()
    assert len(placed) == (not unheard)
    for name in placed:
        holder = name.split("@")[1]
        bench.state.workers[holder].lease_until(5000.0, bench.now)
        bench.state.worker_silent(holder, "cut")
    bench.state.jobs["j"].known_at = bench.now
    bench.state.leased_until = bench.now + 2.0
    bench.now += 7.0
    bench.state.expire(bench.now)
    assert not bench.place()
    bench.state.leased_until = bench.now + 2.0
    bench.state.expire(bench.now)
    assert len(bench.place()) == 1


def test_draining_worker_gets_nothing_new():
    bench = Bench(fleetfakes.entry(0))
    bench.state.add_worker(fleetfakes.entry(0, draining=True))
    bench.add(fleetfakes.job("j"))
    assert not bench.place()


def test_lasting_task_is_restarted_however_it_ends():
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(1, ROOM, perpetual=True)))
    for number, how in enumerate((messages.DONE, messages.FAILED, "lapsed"),
                                 start=1):
        assert len(bench.place()) == 1
        bench.end("i-0", "j.0.0.0", number, how, bench.orders[-1][1].run)
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


def test_old_jobs_wait_for_unheard_workers_and_new_ones_do_not():
    bench = Bench(fleetfakes.entry(0))
    bench.state.unheard["i-9"] = bench.now + 10.0
    bench.add(fleetfakes.job("old"), created=5)
    bench.add(fleetfakes.job("new"), created=11)
    assert bench.place() == ["new.0.0.0@i-0"]
    bench.now += 11.0
    bench.state.expire(bench.now)
    assert bench.place() == ["old.0.0.0@i-0"]


def test_worker_that_left_as_announced_frees_its_tasks_at_once():
    """Restart tasks of a worker that has left without waiting for leases.

    Symptom: lasting tasks of a worker that had been taken away did not run
    for 20 s.  Events: the worker was draining, closed its connections and
    went off the list; then the owner changed, and the successor waited for
    the worker to report.  Cause: leaving was not told from going dark.
    """
    bench = Bench(fleetfakes.entry(0), fleetfakes.entry(1))
    bench.add(fleetfakes.job("j"))
    (placed,) = bench.place()
    holder = placed.split("@")[1]
    bench.state.add_worker(fleetfakes.entry(int(holder[2:]), draining=True))
    bench.state.workers[holder].lease_until(5000.0, bench.now)
    bench.state.worker_silent(holder, "closed", closed=True)
    bench.state.expire(bench.now)
    assert not bench.place()
    bench.state.unlist({"i-0", "i-1"} - {holder}, bench.now)
    bench.state.expire(bench.now)
    (again,) = bench.place()
    assert again.split("@")[1] != holder


def test_a_worker_is_heard_when_a_report_lists_all_of_its_ends():
    """The end of a task may be among those that a full list leaves out."""
    bench = Bench(fleetfakes.entry(0))
    bench.state.expect(["i-9"], bench.now + 14.0)
    bench.state.add_worker(fleetfakes.entry(9))
    bench.add(fleetfakes.job("j"), created=5)
    bench.report("i-9", ended=[
        messages.EndedTask(number, messages.TaskId("k", 0, 0, number), 1,
                           messages.DONE, "")
        for number in range(1, reports.ENDS_PER_REPORT + 1)])
    assert not bench.place()
    bench.report("i-9", ended=[messages.EndedTask(
        reports.ENDS_PER_REPORT + 1, messages.TaskId("j", 0, 0, 0), 1,
        messages.DONE, "")])
    assert not bench.place()
    assert not bench.state.unheard
    assert bench.state.jobs["j"].state == messages.COMPLETED


@pytest.mark.parametrize(("heard", "waits_s"), [(0, 14.0), (3, 7.5)])
def test_the_last_workers_are_waited_for_less_once_most_reported(heard,
                                                                 waits_s):
    bench = Bench(*(fleetfakes.entry(n) for n in range(heard)))
    bench.state.expect([f"i-{n}" for n in range(5)], bench.now + 14.0)
    for n in range(heard):
        bench.report(f"i-{n}")
    bench.state.expire(bench.now)
    bench.state.expire(bench.now + waits_s - 1.0)
    assert bench.state.unheard
    bench.state.expire(bench.now + waits_s + 1.0)
    assert not bench.state.unheard


@pytest.mark.parametrize(("answering", "lease"), [(3, True), (1, False)])
def test_most_workers_must_obey_an_owner_without_the_store(answering, lease):
    bench = Bench(*(fleetfakes.entry(n) for n in range(4)))
    bench.now += 5.0
    for n in range(answering):
        bench.report(f"i-{n}")
    assert bench.state.obeyed_by_most(bench.now) is lease


@pytest.mark.parametrize("reached", [1, 2, 3])
def test_no_lease_outlasts_the_wait_of_a_successor_elsewhere(reached):
    """An owner in a minority must not count itself the majority later."""
    entries = [fleetfakes.entry(n) for n in range(4)]
    earlier, later = Bench(*entries), Bench()
    start = earlier.now
    later.state.expect([e.worker_id for e in entries],
                       start + owner_mod.OWNER_LEASE_S
                       + recovery.MAX_STORE_OUTAGE_S
                       + workerstate.LEASE_OVER_S)
    granted_ms = 0.0
    while later.state.unheard:
        earlier.now += 0.25
        later.now = earlier.now
        silence_s = earlier.now - start
        for n, entry in enumerate(entries):
            if n >= reached:
                earlier.state.worker_silent(entry.worker_id, "cut")
            elif silence_s <= recovery.MAX_STORE_OUTAGE_S:
                if (silence_s <= owner_mod.OWNER_LEASE_S
                        or earlier.state.obeyed_by_most(earlier.now)):
                    granted_ms = earlier.state.workers[
                        entry.worker_id].lease_until(
                            workerstate.LEASE_MS, earlier.now)
                earlier.report(entry.worker_id)
            if n >= reached and silence_s > owner_mod.OWNER_LEASE_S:
                later.state.add_worker(entry)
                later.report(entry.worker_id)
        earlier.state.expire(earlier.now)
        later.state.expire(later.now)
    assert later.now * 1000.0 > granted_ms


@pytest.mark.parametrize("step", [
    messages.Step(1, messages.Room(3000, 10)),
    messages.Step(2, messages.Room(3000, 10), gang=True)],
    ids=["single", "gang"])
@pytest.mark.parametrize("fences", [(10, 20), (10, 11, 12), (10, 20, 90)])
def test_no_worker_refuses_a_run_as_one_of_an_earlier_term(step, fences):
    """A gang of which one member is refused waits for it in vain."""
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
            workers[worker_id].start(order, fence, 0.0)
        for worker_id, order in bench.orders:
            workers[worker_id].stop(messages.StopOrder(
                order.task, order.run), fence)


@pytest.mark.parametrize("state", [
    messages.PENDING, messages.COMPLETED, messages.CANCELLED])
def test_progress_survives_its_record(state):
    job = fleetfakes.job("j", messages.Step(3, ROOM), messages.Step(
        2, ROOM, after=(0,), checkpoint=True))
    first = progress.JobState(job, 5)
    first.occurrence(0)
    first.state = state
    tasks = first.tasks[0, 0]
    tasks[1].done = True
    tasks[2].failed_runs = {1, 4}
    tasks[2].last_run = 4
    tasks[0].saved = "abc"
    tasks[0].ran = True
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
        assert [t.ran for t in again] == [True, False, False]


@pytest.mark.parametrize(("tail_ms", "placed"), [(10.0, 1), (40.0, 0)],
                         ids=["low-load", "high-load"])
def test_filling_tasks_take_what_serving_ones_leave_unused(tail_ms, placed):
    """Place filling tasks by the load of serving ones, told by their tail.

    Symptom: at low load a sixth of the fleet was unused while filling tasks
    waited, and at high load serving tasks were at twice their target.
    Cause: a fixed share of what is reserved was taken to be in use.
    """
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("lasting", messages.Step(
        1, messages.Room(3000, 10), perpetual=True, image="s",
        target_ms=1000.0)))
    bench.place()
    name = messages.TaskId("lasting", 0, 0, 0)
    for figure in (10.0, tail_ms):
        bench.report("i-0", [messages.RunningTask(name, 1, "", 100, figure)])
    bench.add(fleetfakes.job("filling", messages.Step(
        1, messages.Room(2000, 10), fills=True, image="f")))
    assert len(bench.place()) == placed


@pytest.mark.parametrize("order", [("i-0", "i-9"), ("i-9", "i-0")],
                         ids=["old-first", "new-first"])
def test_lingering_entry_of_an_old_incarnation_displaces_nobody(order):
    """Leave it to the address itself which incarnation of a worker lives.

    Symptom: tasks ran on two workers, and workers were overfilled.  Events:
    a worker crashed behind a cut and came back under another ID; its old
    entry stayed on the list for some seconds beside the new one; with each
    reading of the list the one that was not known displaced the other, and
    the runs of the living one were taken for ended and started elsewhere.
    Cause: an entry that is new to the owner was taken for the newer one.
    Evidence: a run began at 26.165 s on a worker that had come back, its
    successor elsewhere at 26.337 s; the first was stopped at 26.821 s.
    """
    old = fleetfakes.entry(0)
    new = dataclasses.replace(old, worker_id="i-9")
    entries = {"i-0": old, "i-9": new}
    bench = Bench(old, fleetfakes.entry(1))
    bench.state.add_worker(new)
    bench.report("i-9")
    bench.state.enrol(["i-9"])
    bench.state.worker_silent("i-0", "cut")
    bench.add(fleetfakes.job("j", messages.Step(3, ROOM, requires="r0")))
    assert bench.place() == [f"j.0.0.{n}@i-9" for n in range(3)]
    for _ in range(3):
        for worker_id in order:
            bench.state.add_worker(entries[worker_id])
        bench.now += 0.8
        bench.state.expire(bench.now)
        assert not bench.place()
        assert len(bench.state.workers["i-9"].reserved) == 3


@pytest.mark.parametrize("first", ["i-0", "i-9"])
def test_two_entries_at_one_address_free_nothing_by_themselves(first):
    """Free a worker's tasks when its address says so, not when a list does."""
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
    bench.state.worker_dead(first, "reborn")
    assert bench.place() == [f"j.0.0.0@{entries[1].worker_id}"]


@pytest.mark.parametrize("how", ["", "lapsed", "stopped", messages.FAILED])
def test_a_lasting_task_that_an_earlier_owner_ran_is_known_to_have_run(how):
    """One that is down must come back, not wait as one that is new does."""
    bench = Bench(fleetfakes.entry(0))
    bench.add(fleetfakes.job("j", messages.Step(
        1, messages.Room(1000, 1000), perpetual=True)), created=5)
    if how:
        bench.end("i-0", "j.0.0.0", 1, how)
    else:
        bench.report("i-0", [messages.RunningTask(
            messages.TaskId("j", 0, 0, 0), 1, "", 0, 0.0)])
    job = bench.state.jobs["j"]
    assert job.tasks[0, 0][0].ran
    assert job.dirty
