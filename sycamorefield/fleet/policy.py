"""The mechanisms of the scheduler that can be disabled one by one."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Which mechanisms are enabled; by default all but two.

    These two, marked below, were not shown to serve callers better.

    Each is described, with its benefit, in the module that implements it;
    docs/operators/policy.md lists them.
    """

    # headroom.py: long-running tasks leave capacity for finite tasks.
    keep_room_for_short_work: bool = True
    # headroom.py: each long-running job gets a majority of its tasks before
    # any job gets the remaining ones.
    spread_lasting_jobs: bool = True
    # reservations.py: workers are reserved for long-running tasks that are
    # down.
    keep_gaps: bool = True
    # placement_cache.py, placing.py: failed searches are cached, and the
    # workers are ranked once for all tasks of a step.
    remember_shortage: bool = True
    # pacing.py: best-effort runs are throttled beside tasks whose tail latency
    # is near its target.
    pace_filling: bool = True
    # placing.py: best-effort runs start only where tail latency stays low.
    limit_tails: bool = True
    # interference.py: weights of pairs of images are learnt.
    learn_weights: bool = True
    # interference.py: rising or falling loads are extrapolated.
    follow_slopes: bool = True
    # loadswings.py: forecasts follow how the load rose in similar moments.
    # They are too low in 5% instead of 48% of the cases, but then best-effort
    # jobs are placed so much later that callers are served worse.
    forecast_recent_swing: bool = False
    # rounds.py: runs that make little progress are moved to other workers.
    move_stalled_runs: bool = True
    # drains.py: runs that cannot end before their worker leaves are moved to
    # other workers.  Fewer runs are lost, but urgent tasks find less capacity.
    move_from_draining_workers: bool = False
    # lowpacestarts.py: best-effort jobs that are overdue and have no run get
    # one at the lowest pace.
    start_overdue_at_low_pace: bool = True
    # ordering.py: jobs that can still finish on time go before late ones.
    rank_by_lateness: bool = True
    # workerstate.py: the number of unsent starts per worker is limited.
    limit_unsent_starts: bool = True
    # ownership.py: weak VMs delay their claim to own the fleet.
    weak_vms_wait: bool = True
    # ownership.py: a process replaces the owner that ran on its VM before.
    replace_predecessor: bool = True
    # recentstarts.py: the process that started last succeeds an owner that
    # stops as planned.
    prefer_recent_starts: bool = True
    # link.py: calls for the first report of a worker that a successor waits
    # for are repeated early.
    repeat_first_calls: bool = True
    # copies.py: runs of speculative tasks that may last long get a copy.
    speculative_copies: bool = True
    # handover.py: an owner that does not reach enough workers is replaced.
    hand_over: bool = True
    # relays.py: workers that an owner does not reach are called through
    # processes that reach them.
    relay_calls: bool = True
    # forwarding.py: requests are forwarded to other entry processes while the
    # store does not answer.
    forward_requests: bool = True
    # runtimes.py: run times are learnt, and declared estimates weighed by
    # their error.
    learn_run_times: bool = True
    # learnedstate.py: what an owner has learned is stored for its successor.
    keep_learned_state: bool = True
    # admission.py, backlogmeter.py: jobs that cannot end in time are rejected.
    reject_hopeless_jobs: bool = True
    # victims.py: runs are preempted by the work lost, and what they free is
    # held for the waiting task.
    preempt_by_lost_work: bool = True
    # recentpeak.py: headroom follows waves and bursts of finite tasks.  In a
    # simulated load it cost long-running jobs more than urgent ones gained.
    keep_recent_peak: bool = False
    # widetasks.py: some workers are kept for the widest finite tasks.
    keep_wide_gaps: bool = True
    # workerspeed.py: workers on which runs are slow, fail or hang are used
    # less.
    learn_worker_speeds: bool = True
