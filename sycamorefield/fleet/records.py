"""Keys and encodings of the scheduler's records in the store."""

import json

import msgspec

JOB_PREFIX = "in/"
CANCEL_SUFFIX = ".c"
# Progress of jobs that have not ended.
PROGRESS_PREFIX = "run/"
# Final states of jobs that have ended.
FINAL_PREFIX = "st/"
# Stored as the final state of a job that was cancelled while no record of it
# was stored: a write of the job that is executed later then fails, and so
# does a request for the job that is handled later.
NEVER_STORED = b'{"state":"never-stored"}'
OWNER_KEY = "owner/fleet"
# An owner that does not reach enough workers asks for offers to take over.
HANDOVER_REQUEST_KEY = "owner/request"
HANDOVER_OFFER_KEY = "owner/offer"
# An owner asks for relays to workers; each relay has a key of its own.
RELAY_REQUEST_KEY = "owner/relay-request"
RELAY_PREFIX = "owner/relay/"
# Each process that has started recently has a key of its own.
START_PREFIX = "owner/start/"
# The process that released the owner's key last at a planned stop.
PLANNED_RELEASE_KEY = "owner/released"
# A single watch of this prefix covers the operators' keys (op/...) and the
# owner's keys, so that only one call waits instead of two.
WATCHED_PREFIX = "o"
WORKERS_KEY = "fleet/workers"
# Workers that do not answer the owner, how long their leases may last, and
# the tasks that they may run.
SILENT_WORKERS_KEY = "fleet/silent-workers"
# What workers may run after a planned stop of the owner.  It exists only
# while there is no owner.
HANDOVER_KEY = "fleet/handover"
WAITING_JOBS_KEY = "fleet/waiting"
WEIGHTS_KEY = "fleet/learnt"
LEARNED_STATE_KEY = "fleet/learned-state"
BACKLOG_KEY = "fleet/backlog"
# The fences of the last terms of owners.
TERMS_KEY = "fleet/terms"


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOB_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key whose existence means that a job is cancelled."""
    return JOB_PREFIX + job_id + CANCEL_SUFFIX


def progress_key(job_id: str) -> str:
    """Return the key of the progress of a job that has not ended."""
    return PROGRESS_PREFIX + job_id


def final_key(job_id: str) -> str:
    """Return the key of the final state of a job that has ended."""
    return FINAL_PREFIX + job_id


def relay_key(node: str) -> str:
    """Return the key of a process's offer to relay calls."""
    return RELAY_PREFIX + node


def start_key(node: str) -> str:
    """Return the key of a process's notice that it has started."""
    return START_PREFIX + node


def encode_counts(counts: dict[str, int]) -> bytes:
    """Return the stored form of the numbers of waiting jobs by queue."""
    return json.dumps(counts, sort_keys=True).encode()


def encode_addresses(addresses: dict[str, str]) -> bytes:
    """Return the stored form of the workers in use (addresses by ID)."""
    return json.dumps(addresses, sort_keys=True).encode()


def decode_mapping(value: bytes) -> dict[str, str]:
    """Return a stored mapping; raises ValueError if it is unreadable."""
    decoded = json.loads(value)
    if not isinstance(decoded, dict):
        raise ValueError("stored value is not a JSON object")
    return decoded


def decode_addresses(value: bytes) -> dict[str, str]:
    """Return the workers in use; raises ValueError if they are unreadable."""
    try:
        return msgspec.convert(json.loads(value), dict[str, str])
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ValueError(repr(exc)[:200]) from exc
