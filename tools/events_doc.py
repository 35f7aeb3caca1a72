"""Write docs/EVENTS.md from the event catalogue in sycamorefield/events.py."""

import os
import sys

import logbook

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from sycamorefield import events  # noqa: E402

DOC = os.path.join(os.path.dirname(__file__), "..", "docs", "EVENTS.md")
SOURCES = {"SF10": "every process", "SF11": "entry: membership",
           "SF12": "entry: rules", "SF13": "entry and backend: requests",
           "SF14": "entry and worker: jobs and tasks",
           "SF15": "key-value client and stand-in",
           "SF16": "checked mode (worker, backend, load)",
           "SF17": "load tool",
           "SF18": "fleet: job requests, owner, workers"}
# What the catalogue does not say of an event.
DETAILS = {
    "SF1003": "; `unfinished` counts steps of the stop that were cut short",
    "SF1601": "; an owner that refuses a start",
    "SF1806": "; `waited_s` is the wait before the claim, by `wait_rule`: "
              "`key replaced`, `any order`, `started last`, "
              "`other started later`, `has offered`, `other has offered`"}
HEAD = """# Event catalogue

Every process logs one JSON line per event to `<log_dir>/<process>.jsonl`.
Each line has `t` (Unix seconds), `event` (the number below), `process`,
`zone`, `msg` (the text below) and the event's own fields (`request_id`,
`job`, `task`, `worker`, `fence`, `revision`, ...).
`sycamorefield timeline --log-dir DIR` merges every process's lines into one
time line; `--request-id ID` follows one request across processes.
This page is written by `tools/events_doc.py`; a test compares it with the
catalogue.

| number | level | text | emitted by |
|---|---|---|---|
"""


def main() -> int:
    """Write docs/EVENTS.md."""
    rows = [f"| {e.code} | {logbook.get_level_name(e.level)} | {e.text} "
            f"| {SOURCES[e.code[:4]]}{DETAILS.get(e.code, '')} |"
            for e in events.CATALOGUE]
    with open(DOC, "w", encoding="utf-8") as handle:
        handle.write(HEAD + "\n".join(rows) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
