"""Hold the catalogue of numbered log events and write them as JSON lines.

Every process logs through emit(); each line carries the event number, the
process, its zone, the wall-clock time in seconds and any fields given.  The
catalogue is mirrored in docs/EVENTS.md, and a test keeps the two in step.
"""

import dataclasses
import json
import os
import sys
import threading
import time

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
FENCE_REFUSED = Event("SF1407", WARNING, "stale fence refused")
TASK_LAPSED = Event("SF1408", WARNING, "task lease lapsed on worker")
TASK_BEGAN = Event("SF1409", INFO, "worker began a task")
TASK_ENDED = Event("SF1410", INFO, "worker ended a task")
TASK_FAILED = Event("SF1411", WARNING, "task failed on its worker")
TASK_ORPHANED = Event("SF1412", WARNING, "task without a placement stopped")
WORKER_SHUNNED = Event("SF1413", WARNING, "worker shunned after failures")
WORKER_LOST = Event("SF1414", WARNING, "worker lost; its jobs queued again")
TASK_STOPPED = Event("SF1416", INFO, "task of a cancelled job stopped")
JOB_CANCELLED = Event("SF1415", INFO, "job cancelled by its customer")

KV_UNAVAILABLE = Event("SF1501", WARNING, "key-value service unavailable")
KV_FAULTS_SET = Event("SF1502", INFO, "stand-in faults changed")
CALLER_TOLD_NOT_RUN = Event("SF1701", INFO, "caller told its request was "
                                            "not run")

INVARIANT_BROKEN = Event("SF1601", ERROR, "invariant broken")

CATALOGUE = tuple(value for value in list(globals().values())
                  if isinstance(value, Event))


@dataclasses.dataclass
class Context:
    """Name the process whose events are logged."""

    process: str = "sycamorefield"
    zone: str = ""


CONTEXT = Context()
_LOGGER = logbook.Logger("sycamorefield")
_LOCK = threading.Lock()


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


def emit(event: Event, **fields: object) -> None:
    """Log one numbered event with its fields."""
    extra = {"event": event.code, "t": time.time(), "fields": fields}
    with _LOCK:
        _LOGGER.log(event.level, event.text, extra=extra)
