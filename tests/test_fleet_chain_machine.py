"""Test random chains of owners with short terms, in simulated time.

Each owner reaches other workers.  One that is cut off from the store acts on
beside two successors.  Workers drain, leave and return; orders and commits
are lost or late.
"""

import dataclasses
import os
import random
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sycamorefield.fleet import messages
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import recovery
from sycamorefield.fleet import state as state_mod
from sycamorefield.fleet import workerstate
from tests import test_fleet_machine as machine_mod

# The first and the last seed of chains of owners to try.
SEEDS_VARIABLE = "SYCAMOREFIELD_CHAIN_SEEDS"
SEEDS_BY_DEFAULT = "0-1"
# The longest wait of a single takeover, and time to detect silence, to store
# it and to place.
TAKEOVER_LIMIT_S = (recovery.MAX_STORE_OUTAGE_S + workerstate.LEASE_EXPIRY_S
                    + 1.0)


class Term(typing.NamedTuple):
    """How a term of an owner in a chain ends, and after how many steps."""

    end: str
    steps: int


STEP_S = 0.3
TERMS = strategies.builds(
    Term, strategies.sampled_from(["stopped", "killed", "cut off"]),
    strategies.integers(1, 12))
# Mostly one worker, so that the owner reaches most of them.
UNREACHED = strategies.sampled_from(
    [set(), {0}, {0}, {1}, {1}, {2}, {2}, {0, 1}, {0, 2}, {1, 2}])


class ChainMachine(machine_mod.FleetMachine):
    """Let owners with short terms follow one another."""

    @stateful.rule(data=strategies.data(),
                   terms=strategies.lists(TERMS, min_size=2, max_size=4))
    def owners_change_in_a_chain(self, data: strategies.DataObject,
                                 terms: list[Term]) -> None:
        if self.store_down:
            return
        for term in terms:
            if not self.has_owner:
                self._take_over(1 - self._partitioned_process(), "answered")
            self._run_term(data, term)
            self._end_term(data, term)

    def _partitioned_process(self) -> int:
        """Return the process that may act behind a partition."""
        process = self.partitioned_term.get("process", self.processes[0])
        return self.processes.index(process)

    def _store_for_successor(self, call_outcome: str,
                             release_outcome: str = "answered") -> None:
        self.fleet.silent_workers.term_ends = True
        self.store_progress(call_outcome)
        self._stop_as_planned(release_outcome)

    def _stop_before_recovery(self, process_index: int) -> None:
        """Let a process claim the fleet and stop before it has read it."""
        process = self.processes[process_index]
        fence = self._claim(process, "answered")
        item = process.handover_item
        process.release(fence, item.value if item is not None else None)

    def _run_term(self, data: strategies.DataObject, term: Term) -> None:
        unreached = data.draw(UNREACHED)
        unreached_if_cut_off = data.draw(UNREACHED)
        call_outcomes = data.draw(strategies.sampled_from(
            [machine_mod.CALL_OUTCOMES, strategies.just("lost")]))
        for _ in range(term.steps):
            self.pass_time(STEP_S)
            self._act(unreached, data.draw(machine_mod.CALL_OUTCOMES))
            with self._as_partitioned_owner() as acts:
                if acts:
                    self._act(unreached_if_cut_off,
                              data.draw(machine_mod.CALL_OUTCOMES))
            if self.has_owner:
                self.store_progress(data.draw(call_outcomes))
            if data.draw(machine_mod.RARELY):
                self.run_ends(data, "done")

    def _act(self, unreached: typing.Container[int],
             call_outcome: str) -> None:
        """Get reports, place tasks and send orders, which may be late."""
        for number, worker in enumerate(self._alive()):
            if self.has_owner and number not in unreached:
                self._report(worker, True)
            elif self.has_owner:
                self.fleet.mark_unresponsive(worker.entry.worker_id, "cut")
        if not self.has_owner:
            return
        self.fleet.expire(self.now)
        self._place()
        for _ in range(len(self.orders_in_flight)):
            self.order_arrives(call_outcome)

    def _end_term(self, data: strategies.DataObject, term: Term) -> None:
        if not self.has_owner:
            return
        if term.end == "stopped":
            self._store_for_successor(data.draw(machine_mod.CALL_OUTCOMES),
                                      data.draw(machine_mod.CALL_OUTCOMES))
            if data.draw(strategies.booleans()):
                self._stop_before_recovery(1 - self._partitioned_process())
        elif term.end == "killed":
            self._step_down()
            self.pass_time(owner_mod.OWNER_LEASE_S)
        elif not self.partitioned_term.get("has_owner"):
            for _ in range(3):
                self.store_down = True
                self.pass_time(0.8)
                self._act(set(), "answered")
            self.partitioned_term = {
                name: getattr(self, name)
                for name in machine_mod.TERM_ATTRIBUTES}
            self.has_owner = self.store_down = False
            self.orders_in_flight, self.commit = [], None

    @stateful.rule(data=strategies.data(), leaves=strategies.booleans())
    def worker_drains(self, data: strategies.DataObject, leaves: bool) -> None:
        """Let a worker drain, or one that drains leave."""
        worker = data.draw(strategies.sampled_from(self._alive()))
        if leaves and worker.entry.draining:
            self._end_worker(worker)
        elif not any(w.entry.draining for w in self._alive()):
            worker.entry = dataclasses.replace(worker.entry, draining=True)


def chosen_seeds() -> range:
    """Return the seeds of chains that the environment asks for."""
    first, last = (int(seed) for seed in os.environ.get(
        SEEDS_VARIABLE, SEEDS_BY_DEFAULT).split("-"))
    return range(first, last + 1)


@pytest.mark.parametrize("seed", chosen_seeds())
def test_no_task_runs_twice_in_random_chains_of_owners(seed):
    """Guards against records of silent workers that end waits too early."""
    machine = hypothesis.seed(seed)(type("Machine", (ChainMachine,), {}))
    settings = hypothesis.settings(
        machine_mod.SETTINGS, derandomize=False, database=None,
        max_examples=30)
    stateful.run_state_machine_as_test(machine, settings=settings)


@pytest.fixture(name="machine")
def fixture_machine() -> typing.Iterator[ChainMachine]:
    machine = ChainMachine()
    yield machine
    machine.teardown()


@pytest.mark.parametrize("seed", range(40))
def test_random_chain_delays_tasks_of_a_silent_worker_by_one_takeover(
        machine, seed):
    """Guards against waits that owners of random terms begin anew."""
    chances = random.Random(seed)
    machine.submit((messages.Step(
        3, messages.Resources(500, 10), perpetual=True),))
    for _ in range(4):
        machine.deliver_everything()
    silent = chances.randrange(machine_mod.WORKERS)
    tasks = {task for task, _ in machine._alive()[silent].runs}
    limit = machine.now + TAKEOVER_LIMIT_S
    while not tasks <= running_elsewhere(machine, silent):
        assert machine.now < limit
        is_planned = chances.random() < 0.5
        # A worker is recorded within two steps, or at a planned stop.
        for _ in range(chances.randint(1 if is_planned else 3, 8)):
            machine.pass_time(STEP_S)
            machine._act({silent}, "answered")
            machine.store_progress("answered")
        if is_planned:
            machine._store_for_successor("answered")
        else:
            machine._step_down()
            machine.pass_time(owner_mod.OWNER_LEASE_S)
        process_index = chances.randrange(machine_mod.PROCESSES)
        machine._take_over(process_index, "answered")


# The first owner's lease and the longest wait once most workers report, for
# one that is lost with it, and time to recover, to store and to place.
SHORT_TERMS_LIMIT_S = (owner_mod.OWNER_LEASE_S + state_mod.QUORUM_WINDOW_S
                       + workerstate.LEASE_EXPIRY_S + 1.0)


@pytest.mark.parametrize("terms", range(1, 5))
def test_owners_killed_right_after_their_claim_delay_tasks_by_one_takeover(
        machine, terms):
    """Guards against waits that begin anew after each term of 0.3 s."""
    machine.submit((messages.Step(
        3, messages.Resources(500, 10), perpetual=True),))
    for _ in range(4):
        machine.deliver_everything()
    silent = 0
    tasks = {task for task, _ in machine._alive()[silent].runs}
    limit = machine.now + SHORT_TERMS_LIMIT_S
    for number in range(terms):
        machine._step_down()
        machine.pass_time(owner_mod.OWNER_LEASE_S)
        machine._take_over((number + 1) % machine_mod.PROCESSES, "answered")
        machine._act({silent}, "answered")
        machine.store_progress("answered")
        machine.pass_time(STEP_S)
    # Nothing can start while there is no owner.
    limit = max(limit, machine.now + 1.0)
    while not tasks <= running_elsewhere(machine, silent):
        assert machine.now < limit
        machine.pass_time(STEP_S)
        machine._act({silent}, "answered")
        machine.store_progress("answered")


def running_elsewhere(machine: ChainMachine, number: int
                      ) -> set[messages.TaskId]:
    """Return the tasks that run on the workers but one."""
    return {task for index, worker in enumerate(machine._alive())
            for task, _ in worker.runs if index != number}
