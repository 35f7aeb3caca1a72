"""Find workers on which runs are slow, fail or hang, and use them less.

A worker with a fifth of its speed still answers and reports, so tasks are
placed there as on any other, and urgent callers wait for them.  What its runs
took tells such a worker from a sound one, if long tasks are told apart: those
whose whole step takes long on every worker, and the few that do by chance.
"""

import collections
import dataclasses
import operator
import statistics
import typing

from sycamorefield import events
from sycamorefield.fleet import messages
from sycamorefield.fleet import progress
from sycamorefield.fleet import runtimes
from sycamorefield.fleet import workerstate

# A run is slow if it takes this many times what is expected.  Run times of
# sound tasks of one step scatter by less than a factor of two.
SLOW_FACTOR = 2.0
# Best-effort tasks share left-over processors and are often slower.
BEST_EFFORT_SLOW_FACTOR = 3.0
# Stands for a failed run, and bounds all factors.
MAX_FACTOR = 100.0
# Progress of a younger run is reported too coarsely.
MIN_ELAPSED_S = 0.5
# Ended runs of a step on other workers that replace the model's prediction.
MIN_SIBLINGS = 3
# Bad runs after which a worker is used less, and not at all.  With 3% of the
# tasks taking seven times as long by chance, three in a row have a
# probability of 3e-5; one or two are frequent.
MIN_BAD_RUNS = 3
MIN_BAD_RUNS_EXCLUDED = 4
MIN_BAD_TASKS = 2
# Share of a worker's recent runs that are bad: tasks seldom fail by
# themselves, while long ones are common.
BAD_SHARE = 0.5
FAILED_SHARE = 1 / 3
# A step of which a greater share fails on other workers fails by itself.
MAX_FAILING_SHARE = 0.2
MIN_FAILED_ELSEWHERE = 2
# Recent runs of a worker that count, and for how long.
MAX_OBSERVATIONS = 12
OBSERVED_S = 20.0
# Time without new runs.  A worker that is slow for some seconds is tried soon
# after it recovers; one that stays slow costs one long run each time.
EXCLUSION_S = 3.0
MAX_EXCLUSION_S = 10.0
GOOD_RUNS_TO_RECOVER = 2
# A worker without a bad run for this long is used as usual again, since with
# free capacity elsewhere it gets no runs that could show its recovery.
FORGET_S = 30.0
# Share of the usable workers of a service that may be excluded at once: more
# would cost more capacity than slow runs do.
MAX_EXCLUDED_SHARE = 0.2
# Bound the memory.
MAX_WORKERS = 8192
MAX_STEPS = 2000
MAX_RUNS_PER_STEP = 32
# Bounds the encoded form to about 12 KB.
MAX_ENCODED_WORKERS = 200
# Log lines of worker speeds in EVENT_PERIOD_S; others are counted.
MAX_EVENTS = 20
EVENT_PERIOD_S = 10.0

USED_LESS = "used less"
EXCLUDED = "excluded"
TRIAL = "trial"
LEVELS = (USED_LESS, EXCLUDED, TRIAL)

RUNNING = "running"


class Observation(typing.NamedTuple):
    """A run on a worker: how it ended, or that it is still in progress.

    run_s is its run time or, in progress, the projected one.  expected_s is
    the model's prediction, 0 if there is none.
    """

    step: messages.StepId
    outcome: str
    run_s: float
    expected_s: float
    limit: float
    at: float


class Assessment(typing.NamedTuple):
    """By which factor a run is slower than expected.

    It is confirmed if runs of the same step on other workers show it.
    """

    factor: float
    limit: float
    confirmed: bool

    def is_bad(self) -> bool:
        """Return whether the run speaks against its worker."""
        return self.factor >= self.limit


class Judgement(typing.NamedTuple):
    """How many runs speak against a worker, and by which factor."""

    bad_runs: int
    factor: float


class StepRuns:
    """Recent ends of runs of a step, by worker."""

    def __init__(self) -> None:
        # Worker and run time, or None of a failed run.
        self.runs: collections.deque[tuple[str, float | None]] = (
            collections.deque(maxlen=MAX_RUNS_PER_STEP))
        self.fastest_s = float("inf")

    def add(self, worker_id: str, run_s: float | None) -> None:
        """Record the end of a run; without a run time, it failed."""
        self.runs.append((worker_id, run_s))
        if run_s is not None:
            self.fastest_s = min(self.fastest_s, run_s)

    def elsewhere(self, worker_id: str) -> tuple[list[float], int]:
        """Return the run times, and number of failures, on other workers."""
        others = [run_s for other, run_s in self.runs if other != worker_id]
        done_s = [run_s for run_s in others if run_s is not None]
        return done_s, len(others) - len(done_s)


def assess(observation: Observation, done_elsewhere_s: list[float],
           failed_elsewhere: int) -> Assessment | None:
    """Compare a run with others of its step; None if it tells nothing."""
    confirmed = len(done_elsewhere_s) >= MIN_SIBLINGS
    if observation.outcome == messages.FAILED:
        ended = failed_elsewhere + len(done_elsewhere_s)
        if (failed_elsewhere >= MIN_FAILED_ELSEWHERE
                and failed_elsewhere > MAX_FAILING_SHARE * ended):
            return None
        return Assessment(MAX_FACTOR, observation.limit, confirmed)
    expected_s = (statistics.median(done_elsewhere_s) if confirmed
                  else observation.expected_s)
    if expected_s <= 0.0:
        return None
    return Assessment(min(MAX_FACTOR, observation.run_s / expected_s),
                      observation.limit, confirmed)


def judge(assessed: typing.Iterable[
        tuple[workerstate.RunId, Observation, Assessment]]) -> Judgement:
    """Return how many of a worker's recent runs speak against it.

    Runs that only the model's prediction speaks against count as one for
    each step: all tasks of some steps take long on any worker.
    """
    units: dict[typing.Hashable, list[Assessment]] = {}
    tasks: dict[typing.Hashable, messages.TaskId] = {}
    for run, observation, assessment in assessed:
        key: typing.Hashable = (
            run if assessment.confirmed else observation.step)
        units.setdefault(key, []).append(assessment)
        tasks[key] = run[0]
    bad = {}
    for key, assessments in units.items():
        middle = sorted(assessments)[(len(assessments) - 1) // 2]
        if middle.is_bad():
            bad[key] = middle.factor
    if len({tasks[key] for key in bad}) < MIN_BAD_TASKS:
        return Judgement(0, 0.0)
    failed = sum(factor >= MAX_FACTOR for factor in bad.values())
    if (len(bad) <= BAD_SHARE * len(units)
            and not MIN_BAD_RUNS <= failed >= FAILED_SHARE * len(units)):
        return Judgement(0, 0.0)
    return Judgement(len(bad), statistics.median(bad.values()))


@dataclasses.dataclass(slots=True)
class WorkerRecord:
    """What is known of one life of a worker.

    Times are in seconds on clock.now().  level is empty for a worker that is
    used as usual; since is when the present level began.
    """

    born_ms: int
    level: str = ""
    since: float = 0.0
    until: float = 0.0
    exclusion_s: float = EXCLUSION_S
    factor: float = 0.0
    last_bad_at: float = 0.0
    good_runs: int = 0
    observations: dict[workerstate.RunId, Observation] = dataclasses.field(
        default_factory=dict)

    def enter(self, level: str, now: float) -> None:
        """Enter a level."""
        self.level = level
        self.since = now
        self.good_runs = 0
        if level == EXCLUDED:
            self.until = now + self.exclusion_s
            self.exclusion_s = min(MAX_EXCLUSION_S, 2.0 * self.exclusion_s)

    def add(self, run: workerstate.RunId, observation: Observation) -> None:
        """Add or update a run, and drop those that no longer count."""
        self.observations.pop(run, None)
        self.observations[run] = observation
        oldest_at = observation.at - OBSERVED_S
        for known, row in list(self.observations.items()):
            if (len(self.observations) > MAX_OBSERVATIONS
                    or row.at < oldest_at):
                del self.observations[known]


class WorkerSpeeds:
    """The speeds of the workers of a fleet, as far as runs show them.

    All methods are called under the fleet's lock.
    """

    def __init__(self, run_times: runtimes.RunTimeModel,
                 enabled: bool = True) -> None:
        self.run_times = run_times
        self.enabled = enabled
        self.records: dict[str, WorkerRecord] = {}
        # Those of the records that have a level.
        self.degraded: dict[str, WorkerRecord] = {}
        self.steps: dict[messages.StepId, StepRuns] = {}
        # Workers that get no runs in the present round.
        self.excluded: frozenset[str] = frozenset()
        self.event_times: collections.deque[float] = collections.deque(
            maxlen=MAX_EVENTS)
        self.suppressed_events = 0
        # Number for metrics.
        self.exclusions_total = 0

    def note_end(self, worker: workerstate.WorkerState, queue: str,
                 task: progress.TaskState, run: int, outcome: str,
                 started_at: float, now: float) -> None:
        """Record the end of a run.

        started_at is 0 if its run time says nothing of the task.
        """
        if not self.enabled:
            return
        step = task.step
        if outcome == messages.DONE:
            if not started_at or step.perpetual or step.gang:
                return
        elif outcome != messages.FAILED or (step.fills and not started_at):
            return
        step_id = task.task.step_id()
        run_s = now - started_at
        runs = self._step_runs(step_id)
        runs.add(worker.entry.worker_id,
                 run_s if outcome == messages.DONE else None)
        self._observe(worker, (task.task, run), started_at, Observation(
            step_id, outcome, run_s, self._expected_s(queue, step),
            _limit(step), now))

    def note_progress(self, worker: workerstate.WorkerState, queue: str,
                      task: progress.TaskState, now: float) -> None:
        """Record a run in progress if it is much slower than expected."""
        if (not self.enabled or not task.measurable
                or task.pace_percent != 100 or not task.started_at):
            return
        step = task.step
        elapsed_s = now - task.started_at
        if elapsed_s < MIN_ELAPSED_S or step.perpetual or step.gang:
            return
        projected_s = elapsed_s
        if runtimes.MIN_PERCENT <= task.percent <= 100:
            projected_s = elapsed_s * 100.0 / task.percent
        limit = _limit(step)
        step_id = task.task.step_id()
        runs = self.steps.get(step_id)
        expected_s = self._expected_s(queue, step)
        # No reference is below the lower one of these; most runs end here.
        shortest_s = min(runs.fastest_s if runs else float("inf"),
                         expected_s or float("inf"))
        if projected_s < limit * shortest_s or elapsed_s < shortest_s:
            return
        observation = Observation(step_id, RUNNING, projected_s, expected_s,
                                  limit, now)
        assessment = self._assess(worker.entry.worker_id, observation)
        if (assessment is None or not assessment.is_bad()
                or elapsed_s * assessment.factor < projected_s):
            return
        self._observe(worker, (task.task, task.run), task.started_at,
                      observation)

    def _expected_s(self, queue: str, step: messages.Step) -> float:
        """Return the model's prediction, 0 if it has too few samples.

        A declared estimate alone may be off by a factor of ten.
        """
        known = self.run_times.queues.get((queue, step.fills))
        if known is None or known.run_s.count() < runtimes.MIN_SAMPLES:
            return 0.0
        return self.run_times.expected_s(queue, step)

    def _step_runs(self, step_id: messages.StepId) -> StepRuns:
        """Return the runs of a step; drop the oldest beyond MAX_STEPS."""
        runs = self.steps.get(step_id)
        if runs is None:
            if len(self.steps) >= MAX_STEPS:
                del self.steps[next(iter(self.steps))]
            runs = self.steps[step_id] = StepRuns()
        return runs

    def _assess(self, worker_id: str,
                observation: Observation) -> Assessment | None:
        runs = self.steps.get(observation.step)
        done_s, failed = runs.elsewhere(worker_id) if runs else ([], 0)
        return assess(observation, done_s, failed)

    def _record_of(self, worker: workerstate.WorkerState) -> WorkerRecord:
        """Return the record of the present life of a worker."""
        worker_id = worker.entry.worker_id
        record = self.records.get(worker_id)
        if record is None or record.born_ms != worker.born_ms:
            self._forget(worker_id)
            _mark(worker, False, False)
            if len(self.records) >= MAX_WORKERS:
                # Records that affect placement are kept if possible.
                self._forget(next(
                    (known for known in self.records
                     if known not in self.degraded), next(iter(self.records))))
            record = self.records[worker_id] = WorkerRecord(worker.born_ms)
        return record

    def _forget(self, worker_id: str) -> None:
        self.records.pop(worker_id, None)
        self.degraded.pop(worker_id, None)

    def _observe(self, worker: workerstate.WorkerState,
                 run: workerstate.RunId, started_at: float,
                 observation: Observation) -> None:
        """Take a run into account, and change the worker's level."""
        record = self._record_of(worker)
        record.add(run, observation)
        worker_id = worker.entry.worker_id
        assessment = self._assess(worker_id, observation)
        if assessment is None:
            return
        is_later_run = (started_at >= record.since
                        or run == worker.trial_run)
        if assessment.is_bad():
            record.last_bad_at = observation.at
            self._note_bad_run(worker, record, is_later_run)
        elif record.level in (USED_LESS, TRIAL) and is_later_run:
            record.good_runs += 1
            if record.good_runs >= GOOD_RUNS_TO_RECOVER:
                self._recover(worker_id, worker, "good runs", observation.at)

    def _note_bad_run(self, worker: workerstate.WorkerState,
                      record: WorkerRecord, is_later_run: bool) -> None:
        now = record.last_bad_at
        if record.level == TRIAL:
            if is_later_run:
                self._degrade(worker, record, EXCLUDED, 1, now)
            return
        if record.level == EXCLUDED:
            return
        if is_later_run:
            record.good_runs = 0
        judgement = self._judge(worker.entry.worker_id, record)
        if judgement.bad_runs >= MIN_BAD_RUNS:
            record.factor = judgement.factor
        if not record.level and judgement.bad_runs >= MIN_BAD_RUNS:
            self._degrade(worker, record, USED_LESS, judgement.bad_runs, now)
        elif (record.level == USED_LESS
              and judgement.bad_runs >= MIN_BAD_RUNS_EXCLUDED):
            self._degrade(worker, record, EXCLUDED, judgement.bad_runs, now)

    def _judge(self, worker_id: str, record: WorkerRecord) -> Judgement:
        """Judge a worker by its recent runs, as others of their steps show."""
        assessed = []
        for run, observation in record.observations.items():
            assessment = self._assess(worker_id, observation)
            if assessment is not None:
                assessed.append((run, observation, assessment))
        return judge(assessed)

    def _degrade(self, worker: workerstate.WorkerState, record: WorkerRecord,
                 level: str, bad_runs: int, now: float) -> None:
        worker_id = worker.entry.worker_id
        record.enter(level, now)
        self.degraded[worker_id] = record
        self.exclusions_total += level == EXCLUDED
        self._emit(events.WORKER_SLOW, now, worker=worker_id, level=level,
                   born_ms=record.born_ms, bad_runs=bad_runs,
                   factor=round(record.factor, 1))

    def _recover(self, worker_id: str,
                 worker: workerstate.WorkerState | None, reason: str,
                 now: float) -> None:
        """Use a worker as usual again."""
        record = self.degraded[worker_id]
        self._forget(worker_id)
        if worker is not None:
            _mark(worker, False, False)
        self._emit(events.WORKER_SPEED_RECOVERED, now, worker=worker_id,
                   born_ms=record.born_ms, reason=reason)

    def _emit(self, event: events.Event, now: float,
              **fields: typing.Any) -> None:
        """Log an event unless there were many lately."""
        if (len(self.event_times) >= MAX_EVENTS
                and now - self.event_times[0] < EVENT_PERIOD_S):
            self.suppressed_events += 1
            return
        self.event_times.append(now)
        events.emit(event, **fields, suppressed=self.suppressed_events)
        self.suppressed_events = 0

    def update_excluded(self, workers: typing.Mapping[
            str, workerstate.WorkerState],
            usable: list[workerstate.WorkerState], now: float
    ) -> frozenset[str]:
        """Return the usable workers that get no runs in a round.

        Marks those that are used less or for one run at a time.
        """
        if not self.degraded:
            self.excluded = frozenset()
            return self.excluded
        for worker_id in list(self.degraded):
            self._update_level(worker_id, workers.get(worker_id), now)
        limited = choose_slowest(usable, self.degraded)
        excluded = set()
        for worker_id, record in self.degraded.items():
            worker = workers.get(worker_id)
            if worker is None:
                continue
            is_limited = worker_id in limited
            _mark(worker, True, is_limited and record.level == TRIAL)
            if is_limited and (record.level == EXCLUDED
                               or worker.has_trial_run()):
                excluded.add(worker_id)
        self.excluded = frozenset(excluded)
        return self.excluded

    def _update_level(self, worker_id: str,
                      worker: workerstate.WorkerState | None,
                      now: float) -> None:
        """Begin the trial of a worker, or use it as usual, when it is due."""
        record = self.degraded[worker_id]
        if (worker is not None and worker.has_reported
                and worker.born_ms != record.born_ms):
            self._recover(worker_id, worker, "restarted", now)
        elif record.level == EXCLUDED:
            if now >= record.until:
                record.enter(TRIAL, now)
                if worker is not None:
                    # One that hangs must not keep the next from starting.
                    worker.trial_run = None
        elif now - max(record.last_bad_at, record.since) > FORGET_S:
            self._recover(worker_id, worker, "no bad runs", now)

    def encode(self, now: float) -> dict[str, typing.Any]:
        """Return what is known of slow workers, as JSON can represent it.

        Times are encoded as ages and remaining times.
        """
        rows = sorted(self.degraded.items(), key=lambda row: -row[1].factor)
        return {worker_id: [
            record.born_ms, record.level, round(record.factor, 2),
            round(max(0.0, now - record.since), 1),
            round(max(0.0, record.until - now), 1)
            if record.level == EXCLUDED else 0.0]
            for worker_id, record in rows[:MAX_ENCODED_WORKERS]}

    def decode(self, value: object, now: float) -> None:
        """Load encoded speeds; raises ValueError if they are invalid."""
        if not self.enabled:
            return
        if not isinstance(value, dict) or len(value) > MAX_ENCODED_WORKERS:
            raise ValueError("invalid worker speeds")
        records = {str(worker_id): _decode_record(row, now)
                   for worker_id, row in value.items()}
        self.records.update(records)
        self.degraded.update(records)


def _limit(step: messages.Step) -> float:
    """Return the factor from which on a run of a step is slow."""
    return BEST_EFFORT_SLOW_FACTOR if step.fills else SLOW_FACTOR


def _mark(worker: workerstate.WorkerState, slow: bool,
          on_trial: bool) -> None:
    """Set how a worker is used; runs may fit that did not before."""
    if (worker.slow, worker.on_trial) == (slow, on_trial):
        return
    worker.slow, worker.on_trial = slow, on_trial
    if not on_trial:
        worker.trial_run = None
    worker.record_change()


def choose_slowest(usable: list[workerstate.WorkerState],
                   degraded: typing.Mapping[str, WorkerRecord]) -> set[str]:
    """Return the workers that may be excluded or limited to one run.

    Of each service they are the slowest ones, at most MAX_EXCLUDED_SHARE.
    """
    limited = {worker_id for worker_id, record in degraded.items()
               if record.level != USED_LESS}
    if not limited:
        return set()
    counts = collections.Counter(map(
        operator.attrgetter("entry.service"), usable))
    candidates = [w for w in usable if w.entry.worker_id in limited]
    candidates.sort(key=lambda w: -degraded[w.entry.worker_id].factor)
    chosen: set[str] = set()
    taken: collections.Counter[str] = collections.Counter()
    for worker in candidates:
        service = worker.entry.service
        if taken[service] < int(MAX_EXCLUDED_SHARE * counts[service]):
            taken[service] += 1
            chosen.add(worker.entry.worker_id)
    return chosen


def _decode_record(row: typing.Any, now: float) -> WorkerRecord:
    """Return an encoded record; raises ValueError if it is invalid."""
    try:
        born_ms, level, factor, age_s, remaining_s = row
    except TypeError as exc:
        raise ValueError(f"invalid worker speed: {exc!r}") from exc
    if type(born_ms) is not int or born_ms < 0 or level not in LEVELS:
        raise ValueError(f"invalid worker speed {row!r:.80}")
    for number, maximum in ((factor, MAX_FACTOR), (age_s, 1e6),
                            (remaining_s, MAX_EXCLUSION_S)):
        if (type(number) not in (int, float)
                or not 0.0 <= number <= maximum):
            raise ValueError(f"invalid worker speed {row!r:.80}")
    since = now - age_s
    return WorkerRecord(born_ms, level, since, now + remaining_s,
                        factor=float(factor), last_bad_at=since)
