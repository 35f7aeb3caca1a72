"""The catalogue of numbered log events, written as JSON lines.

Every process logs through emit(). Each line has the event number, the
process, its zone, the wall-clock time in Unix seconds and the fields of the
event. The catalogue is mirrored in docs/EVENTS.md; a test compares the two.
"""

import collections
import dataclasses
import json
import os
import queue
import sys
import threading
import time
import traceback

import logbook


@dataclasses.dataclass(frozen=True)
class Event:
    """An event of the catalogue, with its number, level and text."""

    code: str
    level: int
    text: str


INFO = logbook.INFO
WARNING = logbook.WARNING
ERROR = logbook.ERROR

PROCESS_STARTED = Event("SF1001", INFO, "process started")
PROCESS_STOPPING = Event("SF1002", INFO, "planned stop started")
PROCESS_STOPPED = Event("SF1003", INFO, "process stopped")
SETTINGS_REJECTED = Event("SF1004", ERROR, "settings rejected")

SETTINGS_RELOADED = Event("SF1005", INFO, "settings reloaded")

MEMBER_JOINED = Event("SF1101", INFO, "entry process joined membership")
MEMBER_LEFT = Event("SF1102", INFO, "entry process left membership")
LEASE_LOST = Event("SF1103", WARNING, "own membership lease expired")
CELL_CLAIMED = Event("SF1104", INFO, "cell ownership claimed")
CELL_RELEASED = Event("SF1105", INFO, "cell ownership released")
CELL_TAKEN = Event("SF1106", INFO, "cell's job table taken over")
TABLE_LOST = Event("SF1107", WARNING, "cell's job table has a new owner")

RULES_APPLIED = Event("SF1201", INFO, "rule revision applied")
RULES_CHANGED = Event("SF1202", INFO, "rule change accepted")
RULES_CONFLICT = Event(
    "SF1203", WARNING, "rule change conflicts with another one")
WATCH_LOST = Event("SF1204", WARNING, "watch lost; polling")

REQUEST_DONE = Event("SF1301", INFO, "latency-critical request answered")
REQUEST_FAILED = Event("SF1302", WARNING, "latency-critical request failed")
REQUEST_REJECTED = Event("SF1303", INFO, "request rejected by rule")
REQUEST_REPLAYED = Event("SF1304", INFO, "idempotent request answered "
                                         "from record")
BACKEND_LEAVING = Event("SF1305", INFO, "backend server marked leaving")
REQUEST_SERVED = Event("SF1306", INFO, "backend served a request")

JOB_ACCEPTED = Event("SF1401", INFO, "batch job accepted")
TASK_STARTED = Event("SF1402", INFO, "task started on worker")
TASK_FINISHED = Event("SF1403", INFO, "task finished")
TASK_EVICTED = Event("SF1404", WARNING, "task evicted")
TASK_REFUSED = Event("SF1405", WARNING, "worker refused task")
JOB_MOVED = Event("SF1406", INFO, "job moved to a cell with free capacity")
STALE_FENCE_REJECTED = Event("SF1407", WARNING, "stale fencing token rejected")
TASK_LEASE_EXPIRED = Event("SF1408", WARNING, "task lease expired on worker")
TASK_BEGAN = Event("SF1409", INFO, "worker began a task")
TASK_ENDED = Event("SF1410", INFO, "worker ended a task")
TASK_FAILED = Event("SF1411", WARNING, "task failed on its worker")
TASK_ORPHANED = Event("SF1412", WARNING, "task without a placement stopped")
WORKER_EXCLUDED = Event("SF1413", WARNING, "worker excluded after failures")
WORKER_LOST = Event("SF1414", WARNING, "worker lost; its jobs queued again")
TASK_STOPPED = Event("SF1416", INFO, "task of a cancelled job stopped")
TASK_SUSPECTED = Event("SF1417", WARNING,
                       "task suspected of crashing its worker")
JOB_CANCELLED = Event("SF1415", INFO, "job cancelled by its customer")

KV_UNAVAILABLE = Event("SF1501", WARNING, "key-value service unavailable")
KV_FAULTS_SET = Event(
    "SF1502", INFO, "injected faults of the stand-in changed")
CALLER_TOLD_NOT_RUN = Event("SF1701", INFO, "caller told its request was "
                                            "not run")
JOB_GIVEN_UP = Event(
    "SF1702", WARNING, "submission of a job given up, it was not accepted")

ENTRY_UNREADABLE = Event(
    "SF1801", WARNING, "unreadable entry of another writer skipped")
CONFIG_APPLIED = Event("SF1802", INFO, "configuration applied")
CONFIG_UNREADABLE = Event("SF1803", ERROR, "configuration cannot be read")
STORE_UNREACHABLE = Event("SF1804", WARNING, "store does not answer")
STORE_REACHABLE = Event("SF1805", INFO, "store answers again")
OWNERSHIP_CLAIMED = Event("SF1806", INFO, "fleet ownership claimed")
OWNERSHIP_LOST = Event("SF1807", WARNING, "fleet ownership lost")
OWNERSHIP_RELEASED = Event("SF1808", INFO, "fleet ownership released")
FLEET_RECOVERED = Event("SF1809", INFO, "fleet state read by its new owner")
JOB_STORED = Event("SF1810", INFO, "job stored and accepted")
JOB_REFUSED = Event("SF1811", INFO, "request refused")
JOB_UNCERTAIN = Event("SF1812", WARNING, "outcome of a request is unknown")
CANCEL_STORED = Event("SF1813", INFO, "cancellation stored")
JOB_PICKED_UP = Event("SF1814", INFO, "owner picked up a job")
JOB_ENDED = Event("SF1815", INFO, "job reached a final state")
RUN_ORDERED = Event("SF1816", INFO, "runs ordered")
RUN_REJECTED = Event("SF1817", WARNING, "worker rejected a run")
RUN_UNCERTAIN = Event("SF1818", WARNING, "order got no answer")
RUN_ENDED = Event("SF1819", INFO, "runs ended")
RUN_STOPPED = Event("SF1820", INFO, "run ordered to stop")
RUN_UNEXPECTED = Event("SF1821", WARNING, "unexpected run on a worker")
RUN_VANISHED = Event(
    "SF1822", WARNING, "run is neither active nor reported as ended")
WORKER_JOINED = Event("SF1823", INFO, "worker joined the fleet")
WORKER_UNRESPONSIVE = Event("SF1824", WARNING, "worker does not answer")
WORKER_RESPONSIVE = Event("SF1825", INFO, "worker answers again")
WORKER_RUNS_LOST = Event("SF1826", WARNING, "runs of a lost worker have ended")
WORKER_AVOIDED = Event("SF1827", WARNING, "worker avoided temporarily")
PACE_CHANGED = Event("SF1828", INFO, "paces of best-effort runs changed")
COMMIT_FAILED = Event("SF1829", WARNING, "commit of task outcomes failed")
PROGRESS_REDUCED = Event(
    "SF1889", WARNING, "stored progress of a job lacks what does not fit")
RECORD_UNREADABLE = Event("SF1830", ERROR, "stored record cannot be read")
THREAD_FAILED = Event("SF1831", ERROR, "unexpected error")
LINES_DROPPED = Event("SF1833", WARNING, "log lines dropped")
FLEET_USAGE = Event("SF1834", INFO, "usage of the fleet and load of its owner")
ADVICE_GIVEN = Event("SF1835", INFO, "advice on workers given")
ADVICE_MISSING = Event("SF1836", WARNING, "no advice on workers")
SETTING_IGNORED = Event(
    "SF1837", ERROR, "setting ignored: its target does not exist")
WORKER_CRASHED = Event(
    "SF1838", WARNING, "tasks suspected of crashing a worker")
CRASH_RESOLVED = Event(
    "SF1878", INFO, "suspected crash of a worker resolved")
QUARANTINE_STARTED = Event(
    "SF1839", INFO, "quarantine runs of suspected tasks started")
QUARANTINE_ENDED = Event(
    "SF1840", INFO, "quarantine runs of suspected tasks ended")
WORKER_RESTARTED = Event("SF1841", WARNING, "worker started again")
TASKS_WAITING = Event("SF1842", WARNING, "tasks are ready but do not start")
EVACUATION_BEGUN = Event(
    "SF1843", INFO, "evacuation of a data centre requested")
EVACUATION_ENDED = Event(
    "SF1844", INFO, "evacuation of a data centre taken back")
HANDOVER_REQUESTED = Event(
    "SF1846", WARNING, "owner does not reach workers that are alive")
HANDOVER_OFFERED = Event(
    "SF1847", INFO, "offered to take over from an owner")
RELAYS_REQUESTED = Event(
    "SF1870", WARNING, "owner asks for relays to workers out of its reach")
RELAY_OFFERED = Event(
    "SF1871", INFO, "offered to relay calls to workers")
RELAY_LISTENING = Event("SF1872", INFO, "relay accepts connections")
RELAY_UNAVAILABLE = Event(
    "SF1873", WARNING, "relay has no free port to listen on")
TUNNEL_REFUSED = Event("SF1874", WARNING, "tunnel to a worker refused")
WORKER_RELAYED = Event("SF1875", INFO, "worker is called over a relay")
WORKER_DIRECT = Event(
    "SF1876", INFO, "worker is called directly again")
UNWANTED_RUNS_STOPPED = Event(
    "SF1866", WARNING, "runs that no open job wants ordered to stop")
INPUT_REPLACED = Event(
    "SF1867", WARNING, "value out of bounds replaced by a default")
RUNS_IN_DOUBT = Event(
    "SF1845", WARNING, "runs count as current without confirmation")
TAKEOVER_COMPLETED = Event(
    "SF1868", INFO, "no worker of a previous owner is awaited any more")
ESTIMATES_BAD = Event(
    "SF1848", WARNING, "declared estimates of a queue are bad")
ESTIMATES_GOOD = Event(
    "SF1849", INFO, "declared estimates of a queue are good again")
HANDOVER_RECORD_LOADED = Event(
    "SF1888", INFO, "leases and tasks of workers known from the last owner")
LEARNED_STATE_LOADED = Event(
    "SF1850", INFO, "learned state of an earlier owner loaded")
LEARNED_STATE_IGNORED = Event(
    "SF1851", WARNING, "learned state ignored or not stored")
JOB_REJECTED = Event(
    "SF1862", INFO, "job rejected: it could not end in time under load")
WORKER_HOLD_ENDED = Event(
    "SF1885", INFO, "worker no longer held for an overdue best-effort task")
STARTED_AT_LOW_PACE = Event(
    "SF1886", INFO, "task of an overdue best-effort job starts at low pace")
OVERLOAD_CHANGED = Event(
    "SF1863", INFO, "overload of the fleet began or ended")
BACKLOG_UNUSABLE = Event(
    "SF1864", WARNING, "backlog cannot be used; no job is rejected by it")
COPIES_STARTED = Event("SF1852", INFO, "copies of runs were ordered")
COPIES_ENDED = Event(
    "SF1853", INFO, "copies of runs, or the runs they copied, have ended")
COPY_BUDGET_EXHAUSTED = Event(
    "SF1854", INFO, "copies already use as much CPU as they may")
RUNS_PREEMPTED = Event(
    "SF1856", INFO, "runs stopped by the work lost for waiting tasks")
RUNS_NOT_MOVED = Event(
    "SF1881", INFO, "runs stay on a worker that is about to leave")
RECENT_PEAK = Event(
    "SF1857", INFO, "headroom follows waves of finite tasks, or no more")
WORKER_SLOW = Event(
    "SF1859", WARNING, "runs on a worker are slow, fail or hang")
WORKER_SPEED_RECOVERED = Event(
    "SF1860", INFO, "worker used as usual again")
FINAL_STATES_REMOVED = Event(
    "SF1877", INFO, "final states of jobs removed from the store")

FORWARDING_CHANGED = Event(
    "SF1879", INFO, "requests are forwarded to other entry processes, or no "
                    "more")
FORWARDING_FAILED = Event(
    "SF1880", WARNING, "other entry process did not serve a request")
INVARIANT_BROKEN = Event("SF1601", ERROR, "invariant broken")

CATALOGUE = tuple(value for value in list(globals().values())
                  if isinstance(value, Event))


@dataclasses.dataclass
class Context:
    """The process whose events are logged, and its zone."""

    process: str = "sycamorefield"
    zone: str = ""


CONTEXT = Context()
# How often this process logged each event, by event number.
COUNTS: collections.Counter[str] = collections.Counter()
_LOGGER = logbook.Logger("sycamorefield")
# Re-entrant, as a signal handler may log while the main thread is logging.
_LOCK = threading.RLock()


def _format(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line = {"t": round(record.extra.get("t", time.time()), 6),
            "event": record.extra.get("event", ""),
            "process": CONTEXT.process,
            "zone": CONTEXT.zone,
            "msg": record.message}
    line.update(record.extra.get("fields", {}))
    return json.dumps(line, sort_keys=False, default=str)


def configure(process: str, zone: str, log_dir: str | None,
              quiet: bool = False) -> logbook.NestedSetup:
    """Write events to log_dir/<process>.jsonl and warnings to stderr."""
    CONTEXT.process = process
    CONTEXT.zone = zone
    handlers: list[logbook.Handler] = [logbook.NullHandler()]
    if log_dir:
        os.makedirs(log_dir, exist_ok=True)
        path = os.path.join(log_dir, process + ".jsonl")
        file_handler = logbook.FileHandler(path, level=logbook.DEBUG,
                                           bubble=True)
        file_handler.formatter = _format
        handlers.append(file_handler)
    if not quiet:
        stream = logbook.StreamHandler(sys.stderr, level=logbook.WARNING,
                                       bubble=True)
        stream.formatter = _format
        handlers.append(stream)
    setup = logbook.NestedSetup(handlers)
    setup.push_application()
    return setup


def configure_stdout(process: str, zone: str) -> "StdoutHandler":
    """Write events to standard output without blocking."""
    CONTEXT.process = process
    CONTEXT.zone = zone
    handler = StdoutHandler()
    logbook.NestedSetup([logbook.NullHandler(), handler]).push_application()
    return handler


# How long a process that ends waits until its last lines are written.
FLUSH_TIMEOUT_S = 0.3
# Lines queued for a slow reader of standard output; about 1 MB.
MAX_QUEUED_LINES = 4000


class StdoutHandler(logbook.Handler):
    """Write lines to standard output from a queue in a separate thread.

    Otherwise a reader that stops reading would block every thread that
    logs, even one that holds the scheduler's lock. Lines that don't fit in
    the queue are dropped and counted.
    """

    def __init__(self) -> None:
        super().__init__(level=logbook.INFO, bubble=True)
        self.formatter = _format
        self.line_queue: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self.dropped_lines = 0
        threading.Thread(target=self._write, daemon=True).start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue one line; drop and count it if the queue is full."""
        try:
            self.line_queue.put_nowait(self.format(record))
        except queue.Full:
            self.dropped_lines += 1

    def finish(self) -> None:
        """Wait up to FLUSH_TIMEOUT_S until all queued lines are written.

        The writing thread ends with the process, and the last lines show
        whether a stop went as planned.
        """
        deadline = time.monotonic() + FLUSH_TIMEOUT_S
        while self.line_queue.unfinished_tasks and time.monotonic() < deadline:
            time.sleep(FLUSH_TIMEOUT_S / 30)

    def _write(self) -> None:
        while True:
            sys.stdout.write(self.line_queue.get() + "\n")
            if self.line_queue.empty():
                sys.stdout.flush()
            self.line_queue.task_done()
            if self.dropped_lines and self.line_queue.empty():
                count, self.dropped_lines = self.dropped_lines, 0
                emit(LINES_DROPPED, lines=count)


def error_location(exc: BaseException) -> str:
    """Return the file name and line at which an error was raised."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return ""
    return f"{os.path.basename(frames[-1].filename)}:{frames[-1].lineno}"


def emit(event: Event, **fields: object) -> None:
    """Log an event with its fields and count it."""
    extra = {"event": event.code, "t": time.time(), "fields": fields}
    with _LOCK:
        COUNTS[event.code] += 1
        _LOGGER.log(event.level, event.text, extra=extra)
