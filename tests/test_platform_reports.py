"""Test that no value in a worker's report costs the worker its runs.

A report that cannot be read counts as no answer: the worker is not used, its
leases end, and all of its runs are lost.
"""

import json

import pytest

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import inputlog
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.platform import jsonclient
from sycamorefield.platform import reportrows
from tests import fleetfakes
from tests import test_fleet_state

TASK = messages.TaskId("a", 0, 0, 0)
LONG = "x" * (reportrows.MAX_SAVED_CHARS + 1)


@pytest.fixture(name="lines")
def fixture_lines(monkeypatch):
    """Return the fields of the lines on replaced values."""
    lines = []
    monkeypatch.setattr(inputlog, "LOG", inputlog.InputLog())
    monkeypatch.setattr(
        events, "emit", lambda event, **fields: lines.append(fields)
        if event is events.INPUT_REPLACED else None)
    return lines


def report(running=(), ended=(), **fields):
    return json.dumps({"clock_ms": 5, "running": running, "ended": ended,
                       **fields}).encode()


@pytest.mark.parametrize(("values", "expected", "place"), [
    (["s", -1], ("s", 0, 0.0), "percentage"),
    (["s", 101, 2.5], ("s", 0, 2.5), "percentage"),
    (["s", 1e300], ("s", 0, 0.0), "percentage"),
    (["s", float("nan")], ("s", 0, 0.0), "percentage"),
    (["s", float("inf")], ("s", 0, 0.0), "percentage"),
    (["s", 10 ** 4000], ("s", 0, 0.0), "percentage"),
    (["s", "50"], ("s", 0, 0.0), "percentage"),
    (["s", [50]], ("s", 0, 0.0), "percentage"),
    (["s", 50, -3.0], ("s", 50, 0.0), "figure"),
    (["s", 50, float("nan")], ("s", 50, 0.0), "figure"),
    (["s", 50, {}], ("s", 50, 0.0), "figure"),
    ([7, 50], ("", 50, 0.0), "saved text"),
    ([{"step": 3}, 50], ("", 50, 0.0), "saved text"),
    ([LONG, 50], ("", 50, 0.0), "saved text"),
    (["\ud800", 50], ("\ud800", 50, 0.0), "")],
    ids=["negative", "over-100", "huge", "nan", "inf", "4000-digits", "text",
         "list", "figure-negative", "figure-nan", "figure-object",
         "saved-number", "saved-object", "saved-long", "saved-surrogate"])
def test_value_out_of_bounds_is_as_if_not_reported(lines, values, expected,
                                                   place):
    data = report([["a.0.0.0", 1, *values], ["a.0.0.1", 1, "t", 30]])
    for _ in range(3):
        first, second = reportrows.decode_report(data, "i-1").running
    assert first == messages.RunningTask(TASK, 1, *expected)
    assert second.percent == 30
    assert len(lines) == (1 if place else 0)
    for line in lines:
        assert line["place"] == f"worker i-1: {place} of a.0.0.0 run 1"
        assert len(str(line)) < 500


@pytest.mark.parametrize("saved", [LONG, 7, ["x"]])
def test_end_with_unusable_saved_text_is_read(lines, saved):
    data = report(ended=[[3, "a.0.0.0", 1, "stopped", saved]])
    decoded = reportrows.decode_report(data, "i-1")
    assert decoded.ended == (messages.EndedTask(3, TASK, 1, "stopped", ""),)
    assert len(lines) == 1


@pytest.mark.parametrize("data", [
    report([["a.0.0.0", -1]]), report([["a.0.0.0", 10 ** 20]]),
    report([["a.0.0", 1, "s", 500]]), report([[]]), report([7]),
    report(ended=[[-1, "a.0.0.0", 1, "done"]]),
    report(ended=[[1, "a.0.0.0", 1, 7]]), report(born=1e300),
    report(born=-1), report(clock_ms=1e300), report(clock_ms=float("nan")),
    b'{"clock_ms": ' + b"9" * 5000 + b"}", b"[" * 100_000,
    b"\xff\xfe", b'{"clock_ms": 5, "born": 1e400}'])
def test_report_that_names_no_run_or_life_is_invalid(data):
    """Guards against an error of another kind, which ends the term.

    A clock or a birth beyond all bounds would keep leases and lives forever.
    """
    with pytest.raises(interfaces.CallFailed):
        reportrows.decode_report(data, "i-1")


def test_lines_on_bad_values_are_bounded(lines, monkeypatch):
    log = inputlog.InputLog()
    for second in (10.0, 11.9):
        monkeypatch.setattr(clock, "now", lambda at=second: at)
        lines.clear()
        for number in range(1000):
            log.note(f"place {second} {number}", 10 ** 5000, "0")
        assert len(lines) == inputlog.MAX_LINES_PER_S
        assert log.unlogged == 1000 - inputlog.MAX_LINES_PER_S
    for number in range(2 * inputlog.MAX_PLACES):
        log.note(f"place {number}", "x" * 10_000, "0")
    assert len(log.places) <= inputlog.MAX_PLACES


def test_percentage_that_goes_back_is_ignored(lines):
    """Guards against a remaining time that grows while a run progresses."""
    bench = test_fleet_state.Bench(fleetfakes.entry(1))
    bench.add(fleetfakes.job("a"))
    assert bench.place() == ["a.0.0.0@i-1"]
    _, task = bench.state.find(TASK)
    for percent, expected in ((40, 40), (0, 40), (20, 40), (60, 60)):
        bench.now += 0.1
        bench.report("i-1", [messages.RunningTask(TASK, 1, "", percent)])
        assert task.percent == expected
    assert len(lines) == 1 and "a.0.0.0" in lines[0]["place"]


@pytest.mark.parametrize("name", ["saved", "task"])
def test_texts_that_are_no_unicode_are_returned_as_reported(name):
    """An order that can't be encoded ends the term of any owner."""
    rows = {"saved": b'["j.0.0.0", 1, "\\ud800"]',
            "task": b'["j\\ud800.0.0.0", 1, ""]'}
    [row] = reportrows.decode_report(
        b'{"clock_ms": 1, "running": [' + rows[name] + b"]}").running
    body = {"task": str(row.task), "saved": row.saved}
    request = jsonclient.RequestEncoder("h:1").encode("POST", "/", body)
    assert json.loads(request.partition(b"\r\n\r\n")[2]) == body
