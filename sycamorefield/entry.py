"""Run an entry process: take callers' work and operators' rules.

An entry process joins the membership, owns a share of the workers, follows
the rules through the key-value service, routes latency-critical requests to
backend servers and places batch jobs on the workers it owns.
"""

import dataclasses
import threading
import time
import uuid

from returns import result
import urllib3

from sycamorefield import api
from sycamorefield import cells
from sycamorefield import dispatch
from sycamorefield import errors
from sycamorefield import events
from sycamorefield import httpserver
from sycamorefield import idempotency
from sycamorefield import jobs
from sycamorefield import jobtable
from sycamorefield import kvclient
from sycamorefield import membership
from sycamorefield import metrics
from sycamorefield import options
from sycamorefield import peers
from sycamorefield import routing
from sycamorefield import ruleadmin
from sycamorefield import rulebook
from sycamorefield import rules
from sycamorefield import strategy

NOT_RUN_RETRY = 1.0
SEED_RETRY = 0.5
STOPPING_RETRY = 1.0
STOP_GRACE = 1.0
VM_LIST_PERIOD = 0.5


class Entry:
    """One entry process and everything it holds."""

    def __init__(self, opts: options.Options, name: str,
                 policy: str = "guarded") -> None:
        self.opts = opts
        self.name = name
        self.spec = opts.entry(name)
        self.kv = kvclient.Client(opts.kv_target, name=name)
        self.http = urllib3.PoolManager(maxsize=64, block=False)
        self.book = rulebook.Rulebook(self.kv, opts.timings.rules_poll)
        self.admin = ruleadmin.RuleAdmin(self.kv, self.book, name)
        self.members = membership.Membership(self.kv, opts, name)
        plan = strategy.by_name(policy, seed=opts.entries.index(self.spec))
        self.cells = cells.Cells(opts, name, self.kv, plan, self.members)
        self.peer_server = peers.PeerServer(opts, name, self.cells,
                                            self.book)
        self.peers = peers.Peers(opts, name, self.peer_server, self.members)
        self.cells.remote_usage = self.peers.usage
        self.cells.move_target = self.peers.move_target
        self.jobs = jobs.JobRouter(opts, self.cells.home_cell, self.peers)
        self.router = routing.Router(opts, self.spec.zone, self.http,
                                     plan.routing)
        self.router.interference = self.peers.interference
        self.dispatcher = dispatch.Dispatcher(opts, self.router, self.http)
        self.ledger = idempotency.Ledger(
            self.kv, name, lambda: self.members.lease,
            opts.timings.request_retention)
        self.latencies = metrics.Latencies()
        self.counters: dict[str, int] = {}
        self.lock = threading.Lock()
        self.in_flight = 0
        self.stopping = False

    def count(self, name: str) -> None:
        """Add one to a named counter."""
        with self.lock:
            self.counters[name] = self.counters.get(name, 0) + 1

    def start(self) -> None:
        """Start every task of the process and its HTTP listener."""
        self.book.poll()
        self.peer_listener = peers.serve(self.peer_server, self.opts.host,
                                         self.spec.grpc_port)
        for target, label in ((self.members.run, "membership"),
                              (self.book.run_watch, "rules-watch"),
                              (self.book.run_poll, "rules-poll"),
                              (self.peers.run, "peers")):
            threading.Thread(target=target, name=label, daemon=True).start()
        threading.Thread(target=seed_rules, name="seed-rules", daemon=True,
                         args=(self.opts, self.kv, self.book.stopped)
                         ).start()
        threading.Thread(target=self.router.run, args=(VM_LIST_PERIOD,),
                         name="vm-list", daemon=True).start()
        httpserver.start(
            self.opts.host, self.spec.http_port, api.Root(self),
            server__shutdown_timeout=self.opts.timings.drain,
            server__max_request_body_size=self.opts.max_body_bytes * 2,
            **api.HTTP_CONFIG)

    def stop(self) -> None:
        """Stop gracefully: refuse new work, finish in-flight, leave.

        First every answer says "stopping" (healthz too, for the balancer)
        and closes its connection; after a grace the listener closes, the
        requests already accepted are answered, and only then does the
        process give up its lease and exit.
        """
        events.emit(events.PROCESS_STOPPING, in_flight=self.in_flight)
        self.stopping = True
        deadline = time.monotonic() + self.opts.timings.drain
        time.sleep(min(STOP_GRACE, self.opts.timings.drain))
        self._drain(deadline)
        httpserver.stop_listening()
        self._drain(deadline)
        self.book.stop()
        self.router.stopped.set()
        self.peers.stop()
        self.members.leave()
        self.peer_listener.stop(STOP_GRACE).wait()
        httpserver.stop()
        events.emit(events.PROCESS_STOPPED, in_flight=self.in_flight)

    def _drain(self, deadline: float) -> None:
        while self.in_flight and time.monotonic() < deadline:
            time.sleep(0.02)

    def health(self) -> dict[str, object]:
        """Return this process's view of itself."""
        return {"entry": self.name, "zone": self.spec.zone,
                "ready": self.ready(), "stopping": self.stopping,
                "rules_revision": self.book.current.revision,
                "members": list(self.members.members),
                "cells": sorted(c.number for c in self.cells.all()),
                "owned": self.cells.workers()}

    def metrics_body(self) -> dict[str, object]:
        """Return latency summaries and counters."""
        with self.lock:
            counters = dict(self.counters)
        counters["evictions"] = self.cells.counters.evictions
        counters["lost_workers"] = self.cells.counters.lost_workers
        counters["batch_started"] = self.cells.counters.started
        counters["batch_finished"] = self.cells.counters.finished
        return {"entry": self.name, "latency": self.latencies.summary(),
                "counters": counters}

    def ready(self) -> bool:
        """Return whether this process takes new work."""
        return self.book.known() and not self.stopping

    def _not_ready(self) -> errors.Problem:
        """Return what a caller is told by a process that is not ready."""
        if self.stopping:
            return errors.problem(errors.STOPPING,
                                  retry_after=STOPPING_RETRY)
        # Without its rules this process would admit what they reject.
        return errors.problem(errors.STORE_UNAVAILABLE,
                              retry_after=NOT_RUN_RETRY,
                              detail="the rules are not read yet")

    def serve_request(self, request: api.RequestModel) -> api.Answer:
        """Route one latency-critical request and return its answer."""
        if not self.ready():
            return result.Failure(self._not_ready())
        with self.lock:
            self.in_flight += 1
        try:
            return self._serve(request)
        finally:
            with self.lock:
                self.in_flight -= 1

    def _serve(self, request: api.RequestModel) -> api.Answer:
        began = time.monotonic()
        request_id = request.request_id or uuid.uuid4().hex
        work = self.opts.work.get(request.work)
        if work is None or work.kind != "latency":
            return result.Failure(errors.problem(errors.UNKNOWN_WORK,
                                                 name=request.work))
        decision = self.book.current.decide(request.customer, work.name,
                                            work.kind)
        if decision.action.action == rules.REJECT:
            events.emit(events.REQUEST_REJECTED, request_id=request_id,
                        rule=decision.rule)
            return result.Failure(errors.problem(
                errors.REJECTED, rule=decision.rule,
                retry_after=decision.action.retry_after_seconds))
        begun = None
        if not work.idempotent:
            recorded = self._begin(request, request_id)
            if not isinstance(recorded, result.Success):
                self._note_failure(request_id, work, recorded.failure())
                return result.Failure(recorded.failure())
            begun = recorded.unwrap()
            if begun.start == idempotency.Start.REPLAY:
                self.count("replayed")
                return result.Success((200, dict(begun.answer or {})))
        outcome = self.dispatcher.send(
            dispatch.BackendRequest(request_id, request.customer,
                                    request.payload,
                                    request.idempotency_key),
            work, decision.action.zone)
        if begun is not None:
            self._settle(request.idempotency_key or "", begun, outcome)
        if outcome.kind == dispatch.OutcomeKind.ANSWERED:
            self._note_answer(request_id, work, time.monotonic() - began,
                              outcome)
            return result.Success((200, outcome.answer))
        problem = _problem(outcome, work)
        self._note_failure(request_id, work, problem)
        return result.Failure(problem)

    def _begin(self, request: api.RequestModel, request_id: str
               ) -> result.Result[idempotency.Begun, errors.Problem]:
        """Record a request that must not be repeated, before dispatch."""
        key = request.idempotency_key
        if key is None:
            return result.Failure(errors.Problem(
                errors.BAD_FIELDS, "this work needs an idempotency_key",
                (errors.Finding("body.idempotency_key", "required"),)))
        recorded = self.ledger.begin(key, request_id)
        if (recorded.map(lambda b: b.start).value_or(None)
                == idempotency.Start.REPLAY):
            events.emit(events.REQUEST_REPLAYED, request_id=request_id,
                        key=key)
        return recorded

    def _settle(self, key: str, begun: idempotency.Begun,
                outcome: dispatch.Outcome) -> None:
        """Record what became of a request that must not be repeated."""
        if outcome.kind == dispatch.OutcomeKind.ANSWERED:
            self.ledger.finish(key, begun, outcome.answer)
        elif outcome.kind == dispatch.OutcomeKind.MAYBE_RAN:
            self.ledger.give_up(key, begun)
        else:
            self.ledger.abandon(key, begun)

    def _note_answer(self, request_id: str, work: options.Work,
                     seconds: float, outcome: dispatch.Outcome) -> None:
        self.count("answered")
        self.latencies.record(work.name, seconds)
        events.emit(events.REQUEST_DONE, request_id=request_id,
                    work=work.name, ms=round(seconds * 1000, 3),
                    worker=outcome.answer.get("worker"))

    def _note_failure(self, request_id: str, work: options.Work,
                      problem: errors.Problem) -> None:
        self.count("failed")
        events.emit(events.REQUEST_FAILED, request_id=request_id,
                    work=work.name, error=problem.code.name,
                    detail=problem.message)

    def submit_job(self, request: api.JobModel) -> api.Answer:
        """Accept a batch or standing job; it is run from the store."""
        if not self.ready():
            return result.Failure(self._not_ready())
        work = self.opts.work.get(request.work)
        if work is None or work.kind == "latency":
            return result.Failure(errors.problem(errors.UNKNOWN_WORK,
                                                 name=request.work))
        decision = self.book.current.decide(request.customer, work.name,
                                            work.kind)
        if decision.action.action == rules.REJECT:
            return result.Failure(errors.problem(
                errors.REJECTED, rule=decision.rule,
                retry_after=decision.action.retry_after_seconds))
        if not self.jobs.can_run(work):
            return result.Failure(errors.problem(errors.CANNOT_RUN,
                                                 name=work.name))
        job_id = request.job_id or uuid.uuid4().hex
        accepted = self.jobs.accept(jobtable.new_record(
            job_id, request.customer, work, decision.action.priority))
        if isinstance(accepted, result.Success):
            events.emit(events.JOB_ACCEPTED, job=job_id, work=work.name,
                        priority=accepted.unwrap().priority)
            self.count("jobs_accepted")
        return accepted.map(lambda record: job_answer(record, 202))

    def show_job(self, job_id: str) -> api.Answer:
        """Return the record of a job."""
        return self.jobs.show(job_id).map(job_answer)

    def cancel_job(self, job_id: str) -> api.Answer:
        """Cancel a job: a queued one at once, a running one by stopping it."""
        cancelled = self.jobs.cancel(job_id)
        if isinstance(cancelled, result.Success):
            events.emit(events.JOB_CANCELLED, job=job_id,
                        state=cancelled.unwrap().state)
        return cancelled.map(job_answer)

    def add_rule(self, model: api.AddRuleModel
                 ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Add a rule; check what it names first."""
        found = self._check_rule(model.rule, "body.rule")
        if found:
            return result.Failure(errors.Problem(
                errors.BAD_FIELDS, "rule names unknown things", found))
        return self.admin.change(
            ruleadmin.add(rules.from_model(model.rule), model.position),
            model.expected_revision)

    def replace_rules(self, model: api.ReplaceRulesModel
                      ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Replace the whole rule list; check every rule first."""
        found: tuple[errors.Finding, ...] = ()
        for index, rule in enumerate(model.rules):
            found += self._check_rule(rule, f"body.rules.{index}")
        names = [r.name for r in model.rules]
        if len(set(names)) != len(names):
            found += (errors.Finding("body.rules", "rule names repeat"),)
        if found:
            return result.Failure(errors.Problem(
                errors.BAD_FIELDS, "rules name unknown things", found))
        return self.admin.change(
            ruleadmin.replace([rules.from_model(r) for r in model.rules]),
            model.expected_revision)

    def retire_rule(self, name: str, model: api.RetireRuleModel
                    ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Retire the named rule."""
        return self.admin.change(ruleadmin.retire(name),
                                 model.expected_revision)

    def move_rule(self, name: str, model: api.MoveRuleModel
                  ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Move the named rule to a new position."""
        return self.admin.change(ruleadmin.move(name, model.position),
                                 model.expected_revision)

    def _check_rule(self, rule: rules.RuleModel,
                    place: str) -> tuple[errors.Finding, ...]:
        found = []
        if rule.when.work is not None and rule.when.work not in self.opts.work:
            found.append(errors.Finding(place + ".when.work",
                                        f"no work named {rule.when.work!r}"))
        if (rule.when.customer is not None
                and rule.when.customer not in self.opts.customers):
            found.append(errors.Finding(
                place + ".when.customer",
                f"no customer named {rule.when.customer!r}"))
        if (rule.then.zone is not None
                and rule.then.zone not in self.opts.zones):
            found.append(errors.Finding(place + ".then.zone",
                                        f"no zone named {rule.then.zone!r}"))
        return tuple(found)


def _problem(outcome: dispatch.Outcome,
             work: options.Work) -> errors.Problem:
    """Return what a caller is told of a request without an answer."""
    if outcome.kind == dispatch.OutcomeKind.MAYBE_RAN:
        return errors.problem(errors.OUTCOME_UNKNOWN,
                              retry_after=NOT_RUN_RETRY)
    if outcome.kind == dispatch.OutcomeKind.REFUSED:
        return errors.problem(errors.NOT_RUN, retry_after=NOT_RUN_RETRY,
                              detail=outcome.detail)
    return errors.problem(errors.NO_BACKEND, work=work.name,
                          retry_after=NOT_RUN_RETRY)


def job_answer(record: jobtable.JobRecord, status: int = 200
               ) -> tuple[int, dict[str, object]]:
    """Return the answer that shows a job's record."""
    return status, dataclasses.asdict(record)


def seed_rules(opts: options.Options, kv: kvclient.Client,
               stopped: threading.Event) -> None:
    """Write the settings' rules if the store has none, once it answers."""
    value = rulebook.encode(list(opts.rules))
    while not stopped.is_set():
        if isinstance(kv.cas(rulebook.KEY, 0, value), result.Success):
            return
        stopped.wait(SEED_RETRY)
