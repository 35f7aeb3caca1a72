"""Workers in memory that start again under their IDs and are cut off.

They keep to the protocol: a life knows nothing of the one before and has a
clock of its own; a lease is shortened to HOLD_MAX_MS by that clock; a call
without an answer may be carried out seconds later, by the next life too.
"""

import asyncio
import collections
import dataclasses
import random
import threading
import typing

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages

HOLD_MAX_MS = 6000.0
# What the clock of each life shows when it begins.
FIRST_CLOCK_MS = 5000.0
NO_ANSWER_S = 0.3
# Calls this long before the end of a life may be carried out late.
LATE_CALLS_S = 0.8
LATE_DELAY_S = (0.2, 4.0)
RunKey = tuple[messages.TaskId, int]
Result = typing.TypeVar("Result")


@dataclasses.dataclass
class Run:
    """A run on a worker; the end is None while it goes on."""

    worker_id: str
    life: int
    run: int
    began_at: float
    duration_s: float
    ended_at: float | None = None
    how: str = ""
    # Whether the leases lapsed before the end was acknowledged: the protocol
    # lets its task start again then.
    lapsed_since: bool = False
    # Whether the owner has let the worker forget the end.
    acknowledged: bool = False


class History:
    """All runs on all workers, by task."""

    def __init__(self) -> None:
        self.runs: dict[messages.TaskId, list[Run]] = (
            collections.defaultdict(list))
        self.late_calls = 0

    def overlaps(self) -> list[tuple[messages.TaskId, Run, Run]]:
        """Return pairs of runs of one task that went on at the same time."""
        found = []
        for task, runs in self.runs.items():
            runs = sorted(runs, key=lambda run: run.began_at)
            found += [(task, first, second)
                      for number, first in enumerate(runs)
                      for second in runs[number + 1:]
                      if first.ended_at is None
                      or second.began_at < first.ended_at]
        return found

    def repeats(self) -> list[tuple[messages.TaskId, Run, Run]]:
        """Return runs that began after an acknowledged success."""
        return [(task, first, second) for task, runs in self.runs.items()
                for first in runs for second in runs
                if first.how == messages.DONE and first.acknowledged
                and first.ended_at is not None
                and second.began_at > first.ended_at]


class RebornWorker(interfaces.Worker):
    """One worker; crash() begins its next life, cut() keeps calls away."""

    def __init__(self, worker_id: str, history: History,
                 rng: random.Random, late_share: float) -> None:
        self.worker_id = worker_id
        self.history = history
        self.rng = rng
        self.late_share = late_share
        self.lock = threading.RLock()
        self.life = 0
        # When the present life ends, if that is planned.
        self.next_crash_at = float("inf")
        self.unreachable_until = 0.0
        # The life that gave the last report, over a connection to it.
        self.reported_life = 0
        self._begin_life(clock.now())

    def _begin_life(self, now: float) -> None:
        self.life += 1
        self.born_ms = self.birth_ms(now)
        self.began_at = now
        self.fence = 0
        self.until_ms = 0.0
        self.runs: dict[messages.TaskId, Run] = {}
        self.over: dict[messages.TaskId, int] = {}
        self.ends: dict[int, tuple[messages.TaskId, Run]] = {}
        self.end_count = 0

    def birth_ms(self, now: float) -> int:
        """Return what a life states as its birth that begins now."""
        return 1_000 * self.life

    def clock_ms(self, now: float) -> float:
        """Return the time by the clock of the present life."""
        return (now - self.began_at) * 1000.0 + FIRST_CLOCK_MS

    def crash(self, dark_s: float) -> None:
        """End the present life; the next one answers after dark_s."""
        with self.lock:
            now = clock.now()
            self._advance(now)
            for run in self.runs.values():
                run.ended_at, run.how = now, "crashed"
            self.unreachable_until = now + dark_s
            self._begin_life(now + dark_s)

    def cut(self, seconds: float) -> None:
        """Keep calls away, while runs go on."""
        with self.lock:
            self.unreachable_until = clock.now() + seconds

    def advance(self) -> None:
        """Let the runs end that are due."""
        with self.lock:
            self._advance(clock.now())

    def _advance(self, now: float) -> None:
        lapses_at = self.began_at + (
            self.until_ms - FIRST_CLOCK_MS) / 1000.0
        for task, run in sorted(
                self.runs.items(),
                key=lambda row: row[1].began_at + row[1].duration_s):
            done_at = run.began_at + run.duration_s
            if min(done_at, lapses_at) <= now:
                self._end(task, min(done_at, lapses_at),
                          messages.DONE if done_at <= lapses_at else "lapsed")
        if lapses_at <= now:
            for _, run in self.ends.values():
                run.lapsed_since = True

    def _end(self, task: messages.TaskId, at: float, how: str) -> None:
        run = self.runs.pop(task)
        run.ended_at, run.how = at, how
        self.over[task] = max(self.over.get(task, 0), run.run)
        self.end_count += 1
        self.ends[self.end_count] = task, run

    def _carry_out(self, fence: int, call: typing.Callable[
            [float], Result]) -> Result:
        with self.lock:
            now = clock.now()
            self._advance(now)
            if fence < self.fence:
                raise interfaces.OrderRejected(interfaces.FENCED)
            self.fence = fence
            return call(now)

    def _carry_out_late(self, fence: int, call: typing.Callable[
            [float], object]) -> None:
        with self.lock:
            begins_in_s = self.began_at - clock.now()
        if begins_in_s > 0.0:
            # A worker carries out nothing between two lives.
            self._defer(begins_in_s, fence, call)
            return
        try:
            self._carry_out(fence, call)
        except interfaces.OrderRejected:
            return
        self.history.late_calls += 1

    def _defer(self, seconds: float, fence: int,
               call: typing.Callable[[float], object]) -> None:
        timer = threading.Timer(
            seconds, self._carry_out_late, (fence, call))
        timer.daemon = True
        timer.start()

    async def _call(self, fence: int,
                    call: typing.Callable[[float], Result]) -> Result:
        """Carry out a call now, late or not at all."""
        now = clock.now()
        if now < self.unreachable_until:
            await asyncio.sleep(NO_ANSWER_S)
            raise interfaces.CallFailed("no answer")
        left_s = self.next_crash_at - now
        if (0.0 <= left_s < LATE_CALLS_S
                and self.rng.random() < self.late_share):
            self._defer(max(left_s + 0.1, self.rng.uniform(*LATE_DELAY_S)),
                        fence, call)
            await asyncio.sleep(NO_ANSWER_S)
            raise interfaces.CallFailed("no answer")
        life = self.life
        result = self._carry_out(fence, call)
        self._require_answer(life)
        return result

    def _require_answer(self, life: int) -> None:
        if self.life != life or clock.now() < self.unreachable_until:
            raise interfaces.CallFailed("no answer")

    def _extend(self, lease_end_ms: float, now: float) -> None:
        self.until_ms = max(self.until_ms, min(
            lease_end_ms, self.clock_ms(now) + HOLD_MAX_MS))

    async def renew(self, fence: int, recorded_upto: int,
                    lease_end_ms: float | None, wait_ms: int,
                    answer_s: float = interfaces.REPORT_ANSWER_S
                    ) -> messages.WorkerReport:
        """Extend the leases and return a report."""
        times_out_at = clock.now() + wait_ms / 1000.0 + answer_s
        if self.reported_life != self.life:
            # The first call over a connection acknowledges nothing.
            recorded_upto = 0

        def hold(now: float) -> int:
            for number in [n for n in self.ends if n <= recorded_upto]:
                _, run = self.ends.pop(number)
                run.acknowledged = not run.lapsed_since
            if lease_end_ms is not None:
                self._extend(lease_end_ms, now)
            return self.life
        life = await self._call(fence, hold)
        waits_until = clock.now() + wait_ms / 1000.0
        while (not self.ends and self.life == life
               and clock.now() < waits_until):
            await asyncio.sleep(0.02)
            self.advance()
        if self.life != life:
            # The connection ended with its life, without a sign of it.
            await asyncio.sleep(times_out_at - clock.now())
        self._require_answer(life)
        with self.lock:
            now = clock.now()
            self._advance(now)
            self.reported_life = life
            return messages.WorkerReport(
                self.clock_ms(now),
                tuple(messages.RunningTask(task, run.run, "", 10)
                      for task, run in self.runs.items()),
                tuple(messages.EndedTask(number, task, run.run, run.how, "")
                      for number, (task, run) in sorted(self.ends.items())),
                self.born_ms)

    async def start(self, order: messages.StartOrder, fence: int,
                    lease_end_ms: float) -> float:
        """Start a run that takes as long as its spec says."""
        def start(now: float) -> float:
            clock_ms = self.clock_ms(now)
            if lease_end_ms <= clock_ms:
                raise interfaces.OrderRejected(interfaces.LEASE_EXPIRED)
            self._extend(lease_end_ms, now)
            present = self.runs.get(order.task)
            if present is not None and present.run == order.run:
                return clock_ms
            if present is not None or order.run <= self.over.get(
                    order.task, 0):
                raise interfaces.OrderRejected(interfaces.STALE_RUN)
            run = Run(self.worker_id, self.life, order.run, now,
                      float(order.spec))
            self.runs[order.task] = run
            self.history.runs[order.task].append(run)
            return clock_ms
        return await self._call(fence, start)

    async def stop(self, order: messages.StopOrder, fence: int) -> float:
        """Stop a run, or keep it from beginning."""
        def stop(now: float) -> float:
            present = self.runs.get(order.task)
            if present is not None and present.run <= order.run:
                self._end(order.task, now, "stopped")
            self.over[order.task] = max(
                self.over.get(order.task, 0), order.run)
            return self.clock_ms(now)
        return await self._call(fence, stop)

    async def pace(self, order: messages.PaceOrder, fence: int) -> float:
        """Accept a pace."""
        return await self._call(fence, self.clock_ms)

    def close(self) -> None:
        """Do nothing: there is no connection."""
