"""Test that some workers are kept for wide urgent tasks."""

import pytest

from bench import urgent_peak
from sycamorefield.fleet import messages
from sycamorefield.fleet import widetasks
from sycamorefield.fleet import workerstate
from tests import fleetfakes


def wide_tasks(*rows: tuple[int, int, float], priority: int = 0
               ) -> widetasks.WideTasks:
    """Return arrivals at time 0 of steps of tasks by CPU, count and time."""
    wide = widetasks.WideTasks()
    for cpu, count, run_s in rows:
        wide.add(messages.Step(count, messages.Resources(cpu, 10)), priority,
                 run_s, 0.0)
    return wide


NARROW = (3000, 100, 1.0)


@pytest.mark.parametrize(("rows", "max_cpu", "now", "expected"), [
    ([NARROW], 1e6, 1.0, None),
    ([NARROW, (6000, 10, 1.0)], 1e6, 1.0, None),
    ([NARROW, (32_000, 1, 1.0)], 1e6, 1.0, widetasks.Slots(1, 32_000.0)),
    # Four at a time, and two for the scatter.
    ([NARROW, (32_000, 240, 1.0)], 1e6, 1.0, widetasks.Slots(6, 32_000.0)),
    # A single task of still more CPU does not count.
    ([NARROW, (16_000, 40, 1.0), (30_000, 1, 1.0)], 1e6, 1.0,
     widetasks.Slots(2, 16_000.0)),
    ([NARROW, (32_000, 240, 1.0)], 100_000.0, 1.0,
     widetasks.Slots(3, 32_000.0)),
    ([NARROW, (32_000, 240, 1.0)], 30_000.0, 1.0, None),
    ([NARROW, (32_000, 240, 1.0)], 1e6, 61.0, None),
    ([], 1e6, 0.0, None),
], ids=["narrow", "twice-the-mean", "one", "many", "exception", "bounded",
        "no-room", "long-ago", "none"])
def test_slots_follow_the_wide_tasks_of_late(rows, max_cpu, now, expected):
    assert wide_tasks(*rows).slots(0, 3000.0, max_cpu, now) == expected


def test_less_urgent_wide_tasks_get_no_slots():
    wide = wide_tasks((32_000, 9, 1.0), priority=2)
    assert wide.slots(0, 3000.0, 1e6, 1.0) is None
    assert wide.slots(2, 3000.0, 1e6, 1.0) is not None


def test_switched_off_it_keeps_nothing():
    wide = widetasks.WideTasks(False)
    wide.add(messages.Step(9, messages.Resources(32_000, 1)), 0, 1.0, 0.0)
    assert wide.slots(0, 3000.0, 1e6, 1.0) is None


def test_slots_are_kept_where_long_running_tasks_leave_most():
    workers = [workerstate.WorkerState(fleetfakes.entry(n, cpu))
               for n, cpu in enumerate((32_000, 32_000, 48_000, 16_000))]
    workers[0].long_running_cpu = 20_000
    workers[2].long_running_cpu = 20_000
    slots = widetasks.Slots(2, 24_000.0)
    kept = widetasks.choose_workers(slots, workers)
    assert kept == {"i-1", "i-2"}
    assert [widetasks.leaves_slot(slots, kept, w, 6400) for w in workers] == [
        True, True, False, True]


def test_wide_urgent_tasks_start_on_a_fleet_full_of_long_running_ones():
    """Keep whole workers: headroom in narrow slots is of no use to them.

    Guards against urgent tasks of 32 cores that wait for ever although a
    tenth of the CPU is kept free.  Tasks of long-running jobs left some cores
    on each worker and 32 on none.
    """
    shares = []
    for enabled in (False, True):
        simulation = urgent_peak.Simulation(
            "present", "constant", 1, wide_share=0.1, wide_cpu=32_000,
            workers=30, capacity=messages.Resources(32_000, 128_000))
        simulation.bench.state.demand.wide_tasks = widetasks.WideTasks(enabled)
        simulation.run()
        waiting = simulation.waiting_tasks()[True]
        shares.append(simulation.in_time[True] / max(
            1, simulation.urgent_tasks[True] + waiting))
    assert shares[1] > shares[0] + 0.2
