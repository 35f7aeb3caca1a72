"""Hold the catalogue of numbered log events and write them as JSON lines.

Every process logs through emit(); each line carries the event number, the
process, its zone, the wall-clock time in seconds and any fields given.  The
catalogue is mirrored in docs/EVENTS.md, and a test keeps the two in step.
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
    """A numbered event of the catalogue."""

    code: str
    level: int
    text: str


INFO = logbook.INFO
WARNING = logbook.WARNING
ERROR = logbook.ERROR

PROCESS_STARTED = Event("SF1001", INFO, "process started")
PROCESS_STOPPING = Event("SF1002", INFO, "planned stop begun")
PROCESS_STOPPED = Event("SF1003", INFO, "process stopped")
SETTINGS_REJECTED = Event("SF1004", ERROR, "settings rejected")

SETTINGS_RELOADED = Event("SF1005", INFO, "settings read again")

MEMBER_JOINED = Event("SF1101", INFO, "entry process joined membership")
MEMBER_LEFT = Event("SF1102", INFO, "entry process left membership")
LEASE_LOST = Event("SF1103", WARNING, "own membership lease lapsed")
CELL_CLAIMED = Event("SF1104", INFO, "cell ownership claimed")
CELL_RELEASED = Event("SF1105", INFO, "cell ownership released")
CELL_TAKEN = Event("SF1106", INFO, "cell's job table taken over")
TABLE_LOST = Event("SF1107", WARNING, "cell's job table has a new owner")

RULES_APPLIED = Event("SF1201", INFO, "rule revision applied")
RULES_CHANGED = Event("SF1202", INFO, "rule change accepted")
RULES_CONFLICT = Event("SF1203", WARNING, "rule change lost a race")
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
JOB_MOVED = Event("SF1406", INFO, "job moved to a cell with room")
STALE_FENCE_REJECTED = Event("SF1407", WARNING, "stale fence refused")
TASK_LEASE_EXPIRED = Event("SF1408", WARNING, "task lease lapsed on worker")
TASK_BEGAN = Event("SF1409", INFO, "worker began a task")
TASK_ENDED = Event("SF1410", INFO, "worker ended a task")
TASK_FAILED = Event("SF1411", WARNING, "task failed on its worker")
TASK_ORPHANED = Event("SF1412", WARNING, "task without a placement stopped")
WORKER_EXCLUDED = Event("SF1413", WARNING, "worker shunned after failures")
WORKER_LOST = Event("SF1414", WARNING, "worker lost; its jobs queued again")
TASK_STOPPED = Event("SF1416", INFO, "task of a cancelled job stopped")
TASK_SUSPECTED = Event("SF1417", WARNING,
                       "task suspected of crashing its worker")
JOB_CANCELLED = Event("SF1415", INFO, "job cancelled by its customer")

KV_UNAVAILABLE = Event("SF1501", WARNING, "key-value service unavailable")
KV_FAULTS_SET = Event("SF1502", INFO, "stand-in faults changed")
CALLER_TOLD_NOT_RUN = Event("SF1701", INFO, "caller told its request was "
                                            "not run")

ENTRY_UNREADABLE = Event("SF1801", WARNING, "entry of another writer skipped")
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
JOB_UNCERTAIN = Event("SF1812", WARNING, "request's fate is not known")
CANCEL_STORED = Event("SF1813", INFO, "cancellation stored")
JOB_PICKED_UP = Event("SF1814", INFO, "owner took up a job")
JOB_ENDED = Event("SF1815", INFO, "job reached a final state")
RUN_ORDERED = Event("SF1816", INFO, "runs ordered")
RUN_REJECTED = Event("SF1817", WARNING, "worker rejected a run")
RUN_UNCERTAIN = Event("SF1818", WARNING, "order got no answer")
RUN_ENDED = Event("SF1819", INFO, "runs ended")
RUN_STOPPED = Event("SF1820", INFO, "run told to stop")
RUN_UNEXPECTED = Event("SF1821", WARNING, "run that should not be there")
RUN_VANISHED = Event("SF1822", WARNING, "run neither runs nor ended")
WORKER_JOINED = Event("SF1823", INFO, "worker joined the fleet")
WORKER_UNRESPONSIVE = Event("SF1824", WARNING, "worker does not answer")
WORKER_RESPONSIVE = Event("SF1825", INFO, "worker answers again")
WORKER_RUNS_LOST = Event("SF1826", WARNING, "worker's runs are certainly over")
WORKER_AVOIDED = Event("SF1827", WARNING, "worker avoided for a while")
PACE_CHANGED = Event("SF1828", INFO, "paces of filling runs changed")
COMMIT_FAILED = Event("SF1829", WARNING, "commit of task outcomes failed")
RECORD_UNREADABLE = Event("SF1830", ERROR, "stored record cannot be read")
THREAD_FAILED = Event("SF1831", ERROR, "unexpected error")
LINES_DROPPED = Event("SF1833", WARNING, "log lines dropped")
FLEET_USAGE = Event("SF1834", INFO, "use of the fleet and of its owner")
ADVICE_GIVEN = Event("SF1835", INFO, "advice on workers given")
ADVICE_MISSING = Event("SF1836", WARNING, "no advice on workers")
SETTING_IGNORED = Event("SF1837", ERROR, "setting asks for what is not there")
WORKER_CRASHED = Event("SF1838", WARNING, "tasks suspected of a crash")
QUARANTINE_STARTED = Event(
    "SF1839", INFO, "suspected tasks tried apart from others")
QUARANTINE_ENDED = Event("SF1840", INFO, "trial of suspected tasks is over")

INVARIANT_BROKEN = Event("SF1601", ERROR, "invariant broken")

CATALOGUE = tuple(value for value in list(globals().values())
                  if isinstance(value, Event))


@dataclasses.dataclass
class Context:
    """Name the process whose events are logged."""

    process: str = "sycamorefield"
    zone: str = ""


CONTEXT = Context()
# How often each event was logged in this process, by number.
COUNTS: collections.Counter[str] = collections.Counter()
_LOGGER = logbook.Logger("sycamorefield")
# Re-entrant: a signal handler may log while the main thread is logging.
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
    """Send this process's events to log_dir/<process>.jsonl and stderr."""
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
    """Send this process's events to standard output without blocking."""
    CONTEXT.process = process
    CONTEXT.zone = zone
    handler = StdoutHandler()
    logbook.NestedSetup([logbook.NullHandler(), handler]).push_application()
    return handler


# How long the end of a process waits for its last lines to be written.
FLUSH_TIMEOUT_S = 0.3
# Lines that wait for a slow reader of standard output; about 1 MB.
MAX_QUEUED_LINES = 4000


class StdoutHandler(logbook.Handler):
    """Write lines from a thread of its own; count what does not fit.

    A reader that stands still would otherwise hold every thread that logs,
    while it holds the scheduler's lock.
    """

    def __init__(self) -> None:
        super().__init__(level=logbook.INFO, bubble=True)
        self.formatter = _format
        self.lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self.dropped = 0
        threading.Thread(target=self._write, daemon=True).start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue one line, or count it as dropped."""
        try:
            self.lines.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1

    def finish(self) -> None:
        """Wait a moment until all lines so far are written.

        The thread that writes ends with the process, and the last lines tell
        whether a stop went as planned.
        """
        until = time.monotonic() + FLUSH_TIMEOUT_S
        while self.lines.unfinished_tasks and time.monotonic() < until:
            time.sleep(FLUSH_TIMEOUT_S / 30)

    def _write(self) -> None:
        while True:
            sys.stdout.write(self.lines.get() + "\n")
            if self.lines.empty():
                sys.stdout.flush()
            self.lines.task_done()
            if self.dropped and self.lines.empty():
                count, self.dropped = self.dropped, 0
                emit(LINES_DROPPED, lines=count)


def error_location(exc: BaseException) -> str:
    """Return the file and line at which an error arose."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return ""
    return f"{os.path.basename(frames[-1].filename)}:{frames[-1].lineno}"


def emit(event: Event, **fields: object) -> None:
    """Log one numbered event with its fields."""
    extra = {"event": event.code, "t": time.time(), "fields": fields}
    with _LOCK:
        COUNTS[event.code] += 1
        _LOGGER.log(event.level, event.text, extra=extra)
