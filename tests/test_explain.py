"""Test how jobs are explained from logs alone."""

import json

import pytest

from sycamorefield import causes
from sycamorefield import cli
from sycamorefield import delays
from sycamorefield import events
from sycamorefield import explain
from sycamorefield import historyreader
from sycamorefield import jobhistory
from sycamorefield import logfiles
from sycamorefield import timeline

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
TASK = JOB + ".0.0.0"
SECOND_TASK = JOB + ".0.0.1"
NEXT_STEP_TASK = JOB + ".0.1.0"
OTHER_TASK = OTHER_JOB + ".0.0.0"
OWNER = "edge-1"
ENTRY = "edge-2"
SUCCESSOR = "edge-3"


def line(at, event, process=OWNER, **fields):
    """Return a line as a process logs it."""
    return json.dumps({"t": at, "event": event.code, "process": process,
                       "zone": "z", "msg": event.text, **fields})


def job_stored(at=10.0):
    """Return the line of an entry process that stored the job."""
    return line(at, events.JOB_STORED, ENTRY, job=JOB, queue="q", reason="")


def picked_up(at=10.0, process=OWNER):
    """Return the line of an owner that picked up the job."""
    return line(at, events.JOB_PICKED_UP, process, job=JOB, queue="q",
                revision=5)


def runs_ordered(at, *rows, process=OWNER):
    """Return the line of an owner that ordered runs."""
    return line(at, events.RUN_ORDERED, process, runs=list(rows))


def runs_ended(at, how, *rows, process=OWNER):
    """Return the line of runs that ended."""
    return line(at, events.RUN_ENDED, process, how=how, runs=list(rows))


def job_ended(at, state="completed", process=OWNER):
    """Return the line of the end of the job."""
    return line(at, events.JOB_ENDED, process, job=JOB, state=state)


def fleet_usage(at, reserved=500.0, gap=2.5, busy=0.1, unheard=0,
                evacuated=0):
    """Return the line of the usage of the fleet."""
    return line(at, events.FLEET_USAGE, capacity_cores=1000.0,
                reserved_cores=reserved, widest_gap_cores=gap,
                waiting={"0": 3, "2": 4}, workers_unheard=unheard,
                workers_evacuated=evacuated,
                rounds_busy_s=busy, rounds_waited_s=2.5 - busy)


def fleet_claimed(at, process=OWNER):
    """Return the line of a process that claimed the fleet."""
    return line(at, events.OWNERSHIP_CLAIMED, process, fence=7)


def owner_ready(at, process=OWNER):
    """Return the line of an owner that has read the fleet's state."""
    return line(at, events.FLEET_RECOVERED, process, fence=7, jobs=1,
                workers=2, unheard=0)


def read_history(*texts):
    """Return the history of the job in these lines."""
    return historyreader.read_history(logfiles.parse_all(texts).lines, JOB)


# Parsing

JOB_STORED_LINE = job_stored(10.0)


@pytest.mark.parametrize("text, at, process", [
    (JOB_STORED_LINE, 10.0, ENTRY),
    ("  -15.0186 edge-9 " + JOB_STORED_LINE, -15.0186, "edge-9"),
    ("   4.5 edge-9 " + JOB_STORED_LINE + "\n", 4.5, "edge-9"),
    (json.dumps({"t": 3, "event": "SF1001"}), 3.0, ""),
])
def test_lines_are_parsed_with_and_without_prefix(text, at, process):
    parsed = logfiles.parse(text)
    assert (parsed.at, parsed.process) == (at, process)


@pytest.mark.parametrize("text", [
    "built in 0.3 s; 12684 lines in 94 files",
    "   6.317 s to   10.601 s  platform_lost (late)",
    JOB_STORED_LINE[:-5],
    "  1.5 edge-9 " + JOB_STORED_LINE[:-5],
    "[1, 2]",
    "17",
    json.dumps({"t": "3", "event": "SF1001"}),
    json.dumps({"event": "SF1001"}),
    json.dumps({"t": 3.0}),
    json.dumps({"t": 3.0, "event": 1810}),
])
def test_text_that_is_no_log_line_is_skipped_and_counted(text):
    logs = logfiles.parse_all(["", JOB_STORED_LINE, text, "\n"])
    assert len(logs.lines) == 1
    assert logs.skipped_lines == 1


@pytest.mark.parametrize("texts, times", [
    (["2.0 a " + job_stored(70.0), "1.0 b " + job_stored(80.0)], [1.0, 2.0]),
    (["2.0 a " + job_stored(70.0), "1.0 b " + job_stored(60.0),
      job_stored(65.0)],
     [60.0, 65.0, 70.0]),
])
def test_lines_are_sorted_by_a_single_clock(texts, times):
    assert [line.at for line in logfiles.parse_all(texts).lines] == times


def test_files_and_all_files_in_folders_are_read(tmp_path):
    folder = tmp_path / "logs"
    (folder / "deeper").mkdir(parents=True)
    (folder / "a.log").write_text(job_stored(2.0) + "\n")
    (folder / "b.jsonl").write_bytes(b"\xff\xfe\n" + picked_up(3.0).encode())
    single = tmp_path / "c.log"
    single.write_text(job_ended(1.0) + "\n")
    logs = logfiles.read([str(single), str(folder)])
    assert [line.at for line in logs.lines] == [1.0, 2.0, 3.0]
    assert logs.skipped_lines == 1


# Which lines name a job

ROW = [TASK, 1, "i-1"]
OTHER_ROW = [OTHER_TASK, 1, "i-1"]


@pytest.mark.parametrize("fields, kept", [
    ({"job": JOB}, {"job": JOB}),
    ({"job": OTHER_JOB}, None),
    ({"request_id": JOB}, {"request_id": JOB}),
    ({"jobs": [OTHER_JOB, JOB]}, {"jobs": [JOB]}),
    ({"jobs": [OTHER_JOB]}, None),
    ({"jobs": 12}, None),
    ({"task": TASK, "run": 1}, {"task": TASK, "run": 1}),
    ({"task": OTHER_TASK}, None),
    ({"task": "1" + TASK}, None),
    ({"step": JOB + ".0.0"}, {"step": JOB + ".0.0"}),
    ({"step": OTHER_JOB + ".0.0"}, None),
    ({"runs": [OTHER_ROW, ROW]}, {"runs": [ROW]}),
    ({"runs": [OTHER_ROW]}, None),
    ({"runs": 7}, None),
    ({"runs": [[], 5, None]}, None),
    ({"changes": [[*ROW, 50, 100], [*OTHER_ROW, 0, 50]]},
     {"changes": [[*ROW, 50, 100]]}),
    ({"key": "in/" + JOB}, {"key": "in/" + JOB}),
    ({"key": "in/" + JOB + ".c"}, {"key": "in/" + JOB + ".c"}),
    ({"key": "in/" + OTHER_JOB}, None),
    ({"task": OTHER_TASK, "reason": "room for " + TASK},
     {"task": OTHER_TASK, "reason": "room for " + TASK}),
    ({"worker": "i-1"}, None),
])
def test_line_keeps_only_entries_of_the_job(fields, kept):
    filtered = logfiles.filter_for_job(
        logfiles.LogLine(1.0, OWNER, "SF1816", fields), JOB)
    assert (filtered.fields if filtered else None) == kept


def test_time_line_of_a_job_has_no_rows_of_other_jobs():
    texts = [job_stored(1.0), line(2.0, events.WORKER_JOINED, worker="i-1"),
             "junk", runs_ordered(3.0, OTHER_ROW, ROW)]
    lines = timeline.filter_lines(logfiles.parse_all(texts).lines, JOB)
    assert [one["event"] for one in lines] == ["SF1810", "SF1816"]
    assert lines[1]["runs"] == [ROW]
    assert OTHER_JOB not in timeline.render(lines[1])


@pytest.mark.parametrize("request_id, times", [
    (None, [1.0, 2.0, 3.0]), ("r1", [2.0]), ("r2", [])])
def test_logs_in_a_folder_are_merged_in_time_order(tmp_path, request_id,
                                                   times):
    (tmp_path / "a.jsonl").write_text(
        line(3.0, events.WORKER_JOINED) + "\n{cut\n"
        + line(1.0, events.WORKER_JOINED) + "\n")
    (tmp_path / "b.jsonl").write_text(
        line(2.0, events.REQUEST_DONE, ENTRY, request_id="r1") + "\n")
    (tmp_path / "c.txt").write_text(job_stored(0.5) + "\n")
    merged = timeline.merge(str(tmp_path), request_id)
    assert [one["t"] for one in merged] == times


# What each kind of line adds to the history

def first_run(history):
    """Return the first run of the first task."""
    return history.tasks[TASK].runs[1]


@pytest.mark.parametrize("text, read_value, expected", [
    (job_stored(), lambda s: s.replies,
     [jobhistory.SubmissionReply(10.0, ENTRY, "stored", "")]),
    (line(1.0, events.JOB_REFUSED, ENTRY, job=JOB, reason="store: gone"),
     lambda s: s.replies,
     [jobhistory.SubmissionReply(1.0, ENTRY, "refused", "store: gone")]),
    (line(1.0, events.JOB_UNCERTAIN, ENTRY, job=JOB, reason="no answer"),
     lambda s: s.replies,
     [jobhistory.SubmissionReply(1.0, ENTRY, "uncertain", "no answer")]),
    (line(1.0, events.CANCEL_STORED, ENTRY, job=JOB),
     lambda s: s.cancelled_at, 1.0),
    (picked_up(2.0), lambda s: s.pickups, [jobhistory.Pickup(2.0, OWNER)]),
    (line(2.0, events.JOB_PICKED_UP, jobs=[OTHER_JOB, JOB], fence=7),
     lambda s: s.pickups, [jobhistory.Pickup(2.0, OWNER)]),
    (job_ended(3.0, "failed"), lambda s: s.job_ends,
     [jobhistory.JobEnd(3.0, OWNER, "failed")]),
    (runs_ordered(3.0, OTHER_ROW, ROW), lambda s: list(s.tasks), [TASK]),
    (runs_ordered(3.0, ROW), lambda s: first_run(s).ordered_at, 3.0),
    (line(3.0, events.RUN_ORDERED, task=TASK, run=1, worker="i-1"),
     lambda s: first_run(s).ordered_at, 3.0),
    (runs_ended(4.0, "lapsed", ROW),
     lambda s: (first_run(s).ended_at, first_run(s).outcome), (4.0, "lapsed")),
    (line(4.0, events.RUN_ENDED, task=TASK, run=1, worker="i-1", how="done"),
     lambda s: (first_run(s).ended_at, first_run(s).outcome), (4.0, "done")),
    (line(4.0, events.RUN_REJECTED, task=TASK, run=1, worker="i-1",
          reason="no room"),
     lambda s: (first_run(s).ended_at, first_run(s).outcome),
     (4.0, "rejected")),
    (line(4.0, events.RUN_VANISHED, task=TASK, run=1, worker="i-1"),
     lambda s: (first_run(s).ended_at, first_run(s).outcome),
     (4.0, "vanished")),
    (line(4.0, events.WORKER_RUNS_LOST, worker="i-1", reason="lease over",
          lost=2, runs=[[OTHER_TASK, 1, 0.5], [TASK, 1, None]]),
     lambda s: (first_run(s).ended_at, first_run(s).outcome),
     (4.0, jobhistory.LOST)),
    (line(4.0, events.RUN_UNCERTAIN, task=TASK, run=1, worker="i-1",
          reason="no answer: timed out"),
     lambda s: first_run(s).unanswered_at, 4.0),
    (line(4.0, events.RUN_UNCERTAIN, task=TASK, run=1, worker="i-1",
          reason="pace got no answer"),
     lambda s: first_run(s).unanswered_at, None),
    (line(4.0, events.RUN_STOPPED, task=TASK, run=1, worker="i-1",
          reason="little progress here"),
     lambda s: first_run(s).stop_reason, "little progress here"),
    (line(4.0, events.RUN_STOPPED, task=OTHER_TASK, run=1, worker="i-1",
          reason="room for " + TASK), lambda s: s.tasks, {}),
    (line(4.0, events.PACE_CHANGED, worker="i-1", worst=1.2,
          changes=[[TASK, 1, "img", 40, 100], [OTHER_TASK, 1, "x", 0, 9]]),
     lambda s: first_run(s).pace_changes, [(4.0, 40.0)]),
    (line(4.0, events.PACE_CHANGED, task=TASK, run=1, worker="i-1", pace=40),
     lambda s: first_run(s).pace_changes, [(4.0, 40.0)]),
    (line(4.0, events.ADVICE_GIVEN, step=JOB + ".0.0", asked=3, good=1),
     lambda s: s.tasks, {}),
])
def test_line_about_the_job_is_added_to_its_history(text, read_value,
                                                    expected):
    history = read_history(text)
    assert read_value(history) == expected
    assert history.invalid_lines == 0


@pytest.mark.parametrize("texts, read_value, expected", [
    ([fleet_usage(5.0, 900.0, 1.5, 2.0, 3)], lambda s: s.usages,
     [jobhistory.FleetUsage(5.0, 1000.0, 900.0, 1.5, 7, 3, 2.0, 0.5)]),
    ([fleet_claimed(5.0), owner_ready(5.5)],
     lambda s: [(o.claimed_at, o.ready_at, o.ended_at) for o in s.ownerships],
     [(5.0, 5.5, None)]),
    ([fleet_claimed(5.0), line(6.0, events.OWNERSHIP_LOST, reason="fenced")],
     lambda s: [(o.ended_at, o.reason) for o in s.ownerships],
     [(6.0, "fenced")]),
    ([fleet_claimed(5.0), line(6.0, events.OWNERSHIP_RELEASED, fence=7)],
     lambda s: [o.ended_at for o in s.ownerships], [6.0]),
    ([line(6.0, events.STORE_UNREACHABLE, reason="timed out")],
     lambda s: s.store_outages, [jobhistory.StoreOutage(6.0, OWNER)]),
    ([runs_ordered(5.0, OTHER_ROW), fleet_usage(7.0)],
     lambda s: [(o.claim_logged, o.claimed_at, o.last_active_at)
                for o in s.ownerships], [(False, 5.0, 7.0)]),
    ([fleet_claimed(5.0), line(6.0, events.OWNERSHIP_LOST, reason="fenced"),
      runs_ordered(7.0, OTHER_ROW)],
     lambda s: [o.last_active_at for o in s.ownerships], [5.0]),
])
def test_line_about_the_fleet_is_added_to_the_history(texts, read_value,
                                                      expected):
    assert read_value(read_history(job_stored(1.0), *texts)) == expected


@pytest.mark.parametrize("text", [
    line(3.0, events.RUN_ORDERED, runs=[[TASK, "first", "i-1"]]),
    line(3.0, events.RUN_ORDERED, runs=[[TASK, 1]]),
    line(3.0, events.RUN_ENDED, how=5, runs=[ROW]),
    line(3.0, events.RUN_REJECTED, task=TASK, worker="i-1"),
    line(3.0, events.RUN_STOPPED, task=JOB + ".0.x.0", run=1, worker="i-1"),
    line(3.0, events.PACE_CHANGED, worker="i-1", changes=[[TASK, 1]]),
    line(3.0, events.WORKER_RUNS_LOST, worker="i-1", runs=[[TASK, 1]]),
    line(3.0, events.PACE_CHANGED, worker="i-1",
         changes=[[JOB + ".0.x.0", 1, "img", 0, 100]]),
    line(3.0, events.JOB_ENDED, job=JOB, state=None),
    line(3.0, events.FLEET_USAGE, capacity_cores="many"),
])
def test_line_with_invalid_fields_is_counted(text):
    history = read_history(job_stored(1.0), text)
    assert history.invalid_lines == 1
    assert "1 line has missing or malformed fields" in "\n".join(
        explain.render(history))


def test_end_logged_again_by_the_next_owner_is_ignored():
    history = read_history(job_stored(1.0), runs_ended(4.0, "done", ROW),
                           runs_ended(5.0, "done", ROW, process=SUCCESSOR))
    assert first_run(history).ended_at == 4.0


def test_job_that_no_line_names_has_no_history():
    assert read_history(runs_ordered(3.0, OTHER_ROW),
                        fleet_claimed(1.0)) is None
    assert read_history() is None


# Causes

START = [fleet_claimed(0.0), owner_ready(0.1), fleet_usage(9.9),
         job_stored(10.0), picked_up(10.01)]


def run_row(number, worker="i-1", task=TASK):
    """Return a row of a run."""
    return [task, number, worker]


@pytest.mark.parametrize("texts, expected", [
    pytest.param(
        [line(1.0, events.JOB_REFUSED, ENTRY, job=JOB,
              reason="store: store does not answer")],
        ["refused by edge-2: store: store does not answer"], id="refused"),
    pytest.param(
        [line(1.0, events.JOB_UNCERTAIN, ENTRY, job=JOB, reason="timed out"),
         line(2.0, events.JOB_REFUSED, ENTRY, job=JOB, reason="silent")],
        ["the store didn't confirm the write of edge-2",
         "probably wasn't stored: timed out"],
        id="uncertain"),
    pytest.param(
        [line(8.0, events.JOB_UNCERTAIN, ENTRY, job=JOB, reason="timed out"),
         fleet_claimed(0.0), owner_ready(0.1), job_stored(10.0),
         picked_up(10.0), runs_ordered(10.1, ROW),
         runs_ended(10.5, "done", ROW), job_ended(10.5)],
        ["not known to be stored for 2.00 s", "timed out"],
        id="confirmed late by the store"),
    pytest.param(
        [job_stored(1.0)],
        ["not picked up", "no process logged that it owns"],
        id="never an owner"),
    pytest.param(
        [fleet_claimed(0.0), owner_ready(0.1), fleet_usage(2.0),
         job_stored(5.0)],
        ["not picked up", "no owner logged anything after 2.000"],
        id="no owner any longer"),
    pytest.param(
        [job_stored(5.0), runs_ordered(6.0, OTHER_ROW)],
        ["not picked up", "begin only at 6.000"], id="incomplete log"),
    pytest.param(
        [fleet_claimed(0.0), owner_ready(0.1), job_stored(5.0),
         fleet_usage(8.0)],
        ["in the 3.00 s until", "the fleet had no owner for 0.00 s"],
        id="ignored by the owner"),
    pytest.param(
        [fleet_claimed(0.0), owner_ready(0.1), job_stored(10.0),
         fleet_usage(9.0), fleet_claimed(12.0, SUCCESSOR),
         picked_up(12.1, SUCCESSOR), owner_ready(12.2, SUCCESSOR),
         runs_ordered(12.3, ROW, process=SUCCESSOR),
         runs_ended(12.5, "done", ROW, process=SUCCESSOR),
         job_ended(12.5, process=SUCCESSOR)],
        ["without an owner, until edge-3 took over the fleet "
         "(claimed at 12.000)",
         "edge-1 logged nothing as owner after 9.000"],
        id="owner change before the pickup"),
    # An owner that is cut off from the store goes on but sees no new jobs.
    pytest.param(
        [fleet_claimed(0.0), owner_ready(0.1), job_stored(10.0),
         line(10.5, events.STORE_UNREACHABLE, reason="timed out"),
         fleet_usage(11.9), fleet_claimed(12.0, SUCCESSOR),
         picked_up(12.1, SUCCESSOR),
         line(12.2, events.OWNERSHIP_LOST, reason="fenced"),
         owner_ready(12.2, SUCCESSOR),
         runs_ordered(12.3, ROW, process=SUCCESSOR),
         runs_ended(12.5, "done", ROW, process=SUCCESSOR),
         job_ended(12.5, process=SUCCESSOR)],
        ["waited 2.20 s without an owner, until edge-3 took over the fleet",
         "the store didn't answer edge-1, the previous owner, at 10.500"],
        id="owner cut off from the store"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW), runs_ended(10.2, "failed", ROW),
         line(10.3, events.OWNERSHIP_LOST, reason="lease ended"),
         fleet_claimed(13.0, SUCCESSOR), owner_ready(13.1, SUCCESSOR),
         runs_ordered(13.2, run_row(1001), process=SUCCESSOR),
         runs_ended(13.5, "done", run_row(1001), process=SUCCESSOR),
         job_ended(13.5, process=SUCCESSOR)],
        ["waited 2.90 s without an owner", "edge-3",
         "edge-1 lost it at 10.300: lease ended"],
        id="owner change while the job is open"),
    pytest.param(
        [*START[:-1], picked_up(12.0), runs_ordered(12.1, ROW),
         runs_ended(12.5, "done", ROW), job_ended(12.5)],
        ["edge-1 owned the fleet but picked up the job only after 2.00 s"],
        id="picked up late"),
    pytest.param(
        [*START, fleet_usage(11.0, 990.0, 1.5), runs_ordered(12.5, ROW),
         runs_ended(13.0, "done", ROW), job_ended(13.0)],
        ["waited 2.49 s to be placed", "10.010 to 12.500",
         "SF1834 at 11.000 shows 10 of 1000 cores free, at most 1.5 on one "
         "worker, 7 tasks waiting; the fleet was full"], id="fleet full"),
    pytest.param(
        [*START, fleet_usage(11.0), runs_ordered(12.5, ROW),
         runs_ended(13.0, "done", ROW), job_ended(13.0)],
        ["waited 2.49 s to be placed", "the fleet wasn't full"],
        id="fleet not full"),
    pytest.param(
        [*START, fleet_usage(11.0, unheard=4), runs_ordered(12.5, ROW),
         runs_ended(13.0, "done", ROW), job_ended(13.0)],
        ["4 workers of the previous owner hadn't reported"],
        id="workers not reported yet"),
    pytest.param(
        [*START, fleet_usage(11.0, 990.0, evacuated=80),
         runs_ordered(12.5, ROW), runs_ended(13.0, "done", ROW),
         job_ended(13.0)],
        ["80 workers were closed by the evacuation of their data centre"],
        id="evacuated"),
    pytest.param(
        [*START, fleet_usage(11.0, busy=2.4), runs_ordered(12.5, ROW),
         runs_ended(13.0, "done", ROW), job_ended(13.0)],
        ["the owner was saturated"], id="owner saturated"),
    pytest.param(
        [*START[:2], *START[3:], runs_ordered(12.5, ROW),
         runs_ended(13.0, "done", ROW), job_ended(13.0)],
        ["waited 2.49 s to be placed", "no SF1834 near"],
        id="no usage logged"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW, run_row(1, "i-2", SECOND_TASK)),
         runs_ended(10.6, "done", ROW, run_row(1, "i-2", SECOND_TASK)),
         runs_ordered(13.0, run_row(1, "i-3", NEXT_STEP_TASK)),
         runs_ended(13.1, "done", run_row(1, "i-3", NEXT_STEP_TASK)),
         job_ended(13.1)],
        ["waited 2.49 s to be placed", "10.600 to 13.000"],
        id="second step waits"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW), runs_ended(10.6, "done", ROW),
         fleet_usage(14.0)],
        ["open at", "with 0 runs unfinished; until then waited 3.49 s to be "
         "placed", "10.600 to 14.000"],
        id="second step never starts"),
    pytest.param(
        [*START, fleet_usage(14.0, 999.0)],
        ["waited 3.99 s to be placed", "the fleet was full"],
        id="never a run"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW),
         line(11.6, events.RUN_UNCERTAIN, task=TASK, run=1, worker="i-1",
              reason="no answer: timed out"),
         line(11.6, events.RUN_STOPPED, task=TASK, run=1, worker="i-1",
              reason="start got no answer"),
         runs_ended(12.0, "stopped", ROW),
         runs_ordered(12.1, run_row(2, "i-2")),
         runs_ended(12.5, "done", run_row(2, "i-2")), job_ended(12.5)],
        ["1 order got no answer, which took 1.90 s in all, on i-1"],
        id="order unanswered"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW),
         line(11.6, events.RUN_UNCERTAIN, task=TASK, run=1, worker="i-1",
              reason="no answer: timed out"), fleet_usage(12.0)],
        ["1 order got no answer", "on i-1"], id="order unanswered, job open"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW), runs_ended(11.0, "failed", ROW),
         runs_ordered(11.1, run_row(2, "i-2")),
         runs_ended(12.0, "failed", run_row(2, "i-2")),
         runs_ordered(12.1, run_row(3, "i-3")),
         runs_ended(12.5, "done", run_row(3, "i-3")), job_ended(12.5)],
        ["2 runs failed, after 1.80 s in all, on i-1, i-2"],
        id="runs failed"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW), runs_ended(14.0, "lapsed", ROW),
         runs_ordered(14.1, run_row(2, "i-2")),
         runs_ended(14.5, "done", run_row(2, "i-2")), job_ended(14.5)],
        ["1 run lapsed, after 3.90 s in all, on i-1"], id="run lapsed"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW),
         line(12.1, events.RUN_REJECTED, task=TASK, run=1, worker="i-1",
              reason="no lease may be given"),
         runs_ordered(12.2, run_row(2, "i-2")),
         runs_ended(12.5, "done", run_row(2, "i-2")), job_ended(12.5)],
        ["1 run rejected, after 2.00 s"], id="order rejected"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW),
         runs_ordered(13.0, run_row(2, "i-2")),
         runs_ended(13.5, "done", run_row(2, "i-2")), job_ended(13.5)],
        ["1 run without a reported end, after 2.90 s"],
        id="run without end"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW),
         line(12.1, events.RUN_STOPPED, task=TASK, run=1, worker="i-1",
              reason="room for " + OTHER_TASK),
         runs_ended(12.2, "stopped", ROW),
         runs_ordered(12.3, run_row(2, "i-2")),
         runs_ended(12.5, "done", run_row(2, "i-2")), job_ended(12.5)],
        ["1 run preempted for more urgent tasks, after 2.10 s"],
        id="preempted"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW),
         line(10.2, events.PACE_CHANGED, worker="i-1", worst=1.2,
              changes=[[*ROW[:2], "img", 0, 100]]),
         line(12.2, events.PACE_CHANGED, worker="i-1", worst=0.8,
              changes=[[*ROW[:2], "img", 50, 0]]),
         runs_ended(14.2, "done", ROW), job_ended(14.2)],
        ["paces down to 0% cost 3.00 s on i-1"], id="throttled"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW),
         line(10.2, events.PACE_CHANGED, worker="i-1", worst=1.2,
              changes=[[*ROW[:2], "img", 0, 100]]),
         line(12.2, events.RUN_STOPPED, task=TASK, run=1, worker="i-1",
              reason="little progress here"),
         runs_ended(12.2, "stopped", ROW),
         runs_ordered(12.3, run_row(2, "i-2")),
         runs_ended(12.5, "done", run_row(2, "i-2")), job_ended(12.5)],
        ["paces down to 0% cost 2.00 s on i-1"], id="throttled and moved"),
    pytest.param(
        [*START, *(text for number in range(1, 5) for text in (
            runs_ordered(10.0 + number, run_row(number, f"i-{number}")),
            runs_ended(10.5 + number, "failed",
                       run_row(number, f"i-{number}")))),
         job_ended(14.5, "failed")],
        ["failed 4.50 s after its submission", "task 0.0.0 failed 4 times, on "
         "i-1, i-2, i-3, i-4"], id="failed"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW),
         line(10.5, events.CANCEL_STORED, ENTRY, job=JOB),
         job_ended(10.6, "cancelled"),
         line(10.6, events.RUN_STOPPED, task=TASK, run=1, worker="i-1",
              reason="job cancelled"), runs_ended(14.0, "stopped", ROW)],
        ["cancelled by its caller 0.60 s after its submission"],
        id="cancelled"),
    pytest.param(
        [*START, fleet_usage(12.0, 990.0), job_ended(13.0, "cancelled")],
        ["cancelled by its caller 3.00 s after its submission; until then "
         "waited 2.99 s to be placed"], id="cancelled while waiting"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW), runs_ended(14.0, "done", ROW),
         job_ended(14.0)],
        ["completed 4.00 s after its submission, without a delay of"],
        id="on time"),
    pytest.param(
        [*START, runs_ordered(10.1, ROW), fleet_usage(40.0)],
        ["open at its owner's last line, at 40.000, with 1 run unfinished; "
         "no delay"], id="still running"),
])
def test_cause_is_found(texts, expected):
    cause = causes.likely_cause(read_history(*texts))
    for part in expected:
        assert part in cause


@pytest.mark.parametrize("texts, periods", [
    ([fleet_claimed(5.0), owner_ready(5.5)], [(1.0, 5.5)]),
    ([runs_ordered(5.0, OTHER_ROW)], []),
    ([fleet_claimed(5.0), owner_ready(5.5), fleet_usage(9.0),
      fleet_claimed(12.0, SUCCESSOR), owner_ready(12.5, SUCCESSOR)],
     [(1.0, 5.5), (9.0, 12.5)]),
    # The previous owner goes on until it learns of its successor.
    ([fleet_claimed(5.0), owner_ready(5.5), fleet_claimed(8.0, SUCCESSOR),
      fleet_usage(8.2), line(8.3, events.OWNERSHIP_LOST, reason="fenced"),
      owner_ready(8.1, SUCCESSOR)], [(1.0, 5.5)]),
])
def test_periods_without_an_owner_are_found(texts, periods):
    assert delays.periods_without_owner(
        read_history(job_stored(1.0), *texts)) == periods


@pytest.mark.parametrize(("stored_at", "takeover_s", "cause"), [
    (11.0, 2.0, "held back for 2.00 s"),
    (12.2, 0.0, "waited 2.10 s to be placed"),
], ids=["accepted-before-the-claim", "accepted-later"])
def test_wait_for_workers_after_a_takeover_is_told_from_one_for_capacity(
        stored_at, takeover_s, cause):
    """Guards against operators who look for capacity that is not missing."""
    history = read_history(
        fleet_claimed(5.0), owner_ready(5.5), job_stored(stored_at),
        fleet_claimed(12.0, SUCCESSOR), owner_ready(12.5, SUCCESSOR),
        picked_up(12.5, SUCCESSOR),
        line(14.5, events.TAKEOVER_COMPLETED, SUCCESSOR, workers=2),
        runs_ordered(14.6, run_row(1001, "i-3"), process=SUCCESSOR),
        runs_ended(15.0, "done", run_row(1001, "i-3"), process=SUCCESSOR),
        job_ended(15.0, process=SUCCESSOR))
    found = delays.total_by_kind(delays.find_delays(history))
    assert found.get(delays.TAKEOVER, 0.0) == pytest.approx(takeover_s)
    assert cause in causes.likely_cause(history)


def test_open_task_with_the_longest_delay_gives_the_cause():
    history = read_history(
        *START, runs_ordered(10.1, run_row(1, "i-1"),
                             run_row(1, "i-2", SECOND_TASK)),
        runs_ended(20.0, "lapsed", run_row(1, "i-2", SECOND_TASK)),
        runs_ordered(20.1, run_row(2, "i-3", SECOND_TASK)), fleet_usage(30.0))
    assert "1 run lapsed" in causes.likely_cause(history)


def test_explanation_has_all_parts():
    history = read_history(
        *START, runs_ordered(10.5, ROW, run_row(1, "i-2", SECOND_TASK)),
        runs_ended(11.0, "failed", ROW),
        line(12.0, events.OWNERSHIP_LOST, reason="fenced"),
        fleet_claimed(12.5, SUCCESSOR), picked_up(12.6, SUCCESSOR),
        owner_ready(12.7, SUCCESSOR),
        runs_ordered(13.0, run_row(1001, "i-3"), process=SUCCESSOR),
        runs_ended(13.5, "done", run_row(1, "i-2", SECOND_TASK),
                   process=SUCCESSOR),
        runs_ended(14.0, "done", run_row(1001, "i-3"), process=SUCCESSOR),
        job_ended(14.0, process=SUCCESSOR))
    assert explain.render(history) == [
        f"job {JOB} (queue q)",
        "  submitted  10.000 at edge-2, stored",
        "  picked up  10.010 (+0.010 s) by edge-1",
        "  taken over 12.600 (+2.600 s) by edge-3",
        "  owner      12.000 (+2.000 s) edge-1 lost the fleet: fenced",
        "  owner      12.500 (+2.500 s) edge-3 claimed the fleet, "
        "ready 12.700 (+2.700 s)",
        "  step 0.0   2 tasks, first orders 10.500 (+0.500 s); "
        "3 runs ordered; 2 done, 1 failed; "
        "order to done 1.00 to 3.00 s, median 2.00",
        "  delays     no owner 1.70 s, room 0.79 s, failed 0.50 s",
        "  final      completed 14.000 (+4.000 s) by edge-3",
        "  cause      waited 1.70 s without an owner, until edge-3 took over "
        "the fleet (claimed at 12.500); edge-1 lost it at 12.000: fenced"]


def test_cancellation_is_explained():
    lines = explain.render(read_history(
        *START, line(10.5, events.CANCEL_STORED, ENTRY, job=JOB),
        job_ended(10.6, "cancelled")))
    assert "  cancelled  10.500 (+0.500 s) by its caller" in lines


def test_long_lists_are_truncated():
    texts = [job_stored(10.0 + number) for number in range(9)]
    lines = explain.render(read_history(*texts))
    assert (sum("submitted" in text for text in lines)
            == explain.MAX_LINES_PER_KIND)
    assert any(text.strip() == "and 3 more" for text in lines)


# The command line

@pytest.fixture(name="log")
def fixture_log_path(tmp_path):
    """Write a log with prefixes and a line that is no log line."""
    path = tmp_path / "day.log"
    texts = [job_stored(10.0), picked_up(10.0),
             runs_ordered(10.1, ROW, OTHER_ROW),
             runs_ended(10.5, "done", ROW), job_ended(10.5)]
    path.write_text("a report\n" + "".join(
        f"  {number}.5 {OWNER} {text}\n"
        for number, text in enumerate(texts)))
    return str(path)


def call(*tokens):
    """Run the command line and return its exit code."""
    try:
        cli.app(list(tokens))
    except SystemExit as end:
        return end.code or 0
    return 0


def test_explain_reads_a_log_file(log, capsys):
    assert call("explain", JOB, log) == 0
    out, err = capsys.readouterr()
    assert "  submitted  0.500 at edge-1, stored" in out
    assert "  cause      " in out
    assert err == "1 line(s) skipped that are no log lines\n"


@pytest.mark.parametrize("tokens, code, expected", [
    (["explain", "00000000000000cc", "LOG"], cli.EXIT_NOT_FOUND,
     "names job 00000000000000cc"),
    (["explain", JOB, "LOG.gone"], cli.EXIT_NOT_FOUND, "cannot read logs"),
    (["explain", JOB], cli.EXIT_SETTINGS, "name the logs"),
    (["timeline", "LOG.gone"], cli.EXIT_NOT_FOUND, "cannot read logs"),
])
def test_missing_log_or_job_is_an_error(log, capsys, tokens, code, expected):
    assert call(*[token.replace("LOG", log) for token in tokens]) == code
    out, err = capsys.readouterr()
    assert expected in err
    assert not out


@pytest.mark.parametrize("options, count", [
    ([], 5), (["--id", JOB], 5), (["--id", OTHER_JOB], 1), (["--id", "x"], 0)])
def test_timeline_command_reads_files_and_folders(log, capsys, options, count):
    for path in (log, log.rpartition("/")[0]):
        assert call("timeline", path, *options) == 0
        out, err = capsys.readouterr()
        assert len(out.splitlines()) == count
        assert "1 line(s) skipped" in err
