"""Run an entry process, which serves callers and operators.

An entry process joins the membership, owns a share of the cells and their
workers, watches the rules in the key-value service, routes latency-critical
requests to backend servers and places batch jobs on the workers it owns.
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
from sycamorefield import rulecache
from sycamorefield import rules
from sycamorefield import strategy

RETRY_AFTER_S = 1.0
SEED_RETRY_S = 0.5
STOPPING_RETRY_AFTER_S = 1.0
STOP_GRACE_S = 1.0
VM_LIST_PERIOD_S = 0.5


class EntryProcess:
    """An entry process with all its components."""

    def __init__(self, opts: options.Options, name: str,
                 policy: str = "guarded") -> None:
        self.opts = opts
        self.name = name
        self.spec = opts.entry(name)
        self.kv = kvclient.Client(opts.kv_target, name=name)
        self.http = urllib3.PoolManager(maxsize=64, block=False)
        self.rule_cache = rulecache.RuleCache(self.kv, opts.timings.rules_poll)
        self.admin = ruleadmin.RuleAdmin(self.kv, self.rule_cache, name)
        self.members = membership.Membership(self.kv, opts, name)
        policies = strategy.by_name(policy, seed=opts.entries.index(self.spec))
        self.cells = cells.Cells(opts, name, self.kv, policies, self.members)
        self.peer_server = peers.PeerServer(opts, name, self.cells,
                                            self.rule_cache)
        self.peers = peers.Peers(opts, name, self.peer_server, self.members)
        self.cells.remote_usage = self.peers.usage
        self.cells.move_target = self.peers.move_target
        self.jobs = jobs.JobRouter(opts, self.cells.home_cell, self.peers)
        self.router = routing.Router(opts, self.spec.zone, self.http,
                                     policies.routing)
        self.router.interference = self.peers.interference
        self.dispatcher = dispatch.Dispatcher(opts, self.router, self.http)
        self.idempotency_store = idempotency.IdempotencyStore(
            self.kv, name, lambda: self.members.lease,
            opts.timings.request_retention)
        self.latencies = metrics.Latencies()
        self.counters: dict[str, int] = {}
        self.lock = threading.Lock()
        self.in_flight = 0
        self.stopping = False

    def increment_counter(self, name: str) -> None:
        """Increment a named counter by one."""
        with self.lock:
            self.counters[name] = self.counters.get(name, 0) + 1

    def start(self) -> None:
        """Start the background threads and the gRPC and HTTP servers."""
        self.rule_cache.poll()
        self.peer_listener = peers.serve(self.peer_server, self.opts.host,
                                         self.spec.grpc_port)
        for target, label in ((self.members.run, "membership"),
                              (self.rule_cache.run_watch, "rules-watch"),
                              (self.rule_cache.run_poll, "rules-poll"),
                              (self.peers.run, "peers")):
            threading.Thread(target=target, name=label, daemon=True).start()
        threading.Thread(target=seed_rules, name="seed-rules", daemon=True,
                         args=(self.opts, self.kv, self.rule_cache.stopped)
                         ).start()
        threading.Thread(target=self.router.run, args=(VM_LIST_PERIOD_S,),
                         name="vm-list", daemon=True).start()
        httpserver.start(
            self.opts.host, self.spec.http_port, api.Root(self),
            server__shutdown_timeout=self.opts.timings.drain,
            server__max_request_body_size=self.opts.max_body_bytes * 2,
            **api.HTTP_CONFIG)

    def stop(self) -> None:
        """Shut down gracefully.

        First, new work is refused with "stopping" (/healthz reports it too,
        for the load balancer) and every response closes its connection.
        After STOP_GRACE_S the listener closes and the requests already
        accepted are answered, until the drain timeout at the latest.  Only
        then does the process release its claims and its lease.
        """
        events.emit(events.PROCESS_STOPPING, in_flight=self.in_flight)
        self.stopping = True
        deadline = time.monotonic() + self.opts.timings.drain
        time.sleep(min(STOP_GRACE_S, self.opts.timings.drain))
        self._wait_for_requests(deadline)
        httpserver.stop_listening()
        self._wait_for_requests(deadline)
        self.rule_cache.stop()
        self.router.stopped.set()
        self.peers.stop()
        self.members.leave()
        self.peer_listener.stop(STOP_GRACE_S).wait()
        httpserver.stop()
        events.emit(events.PROCESS_STOPPED, in_flight=self.in_flight)

    def _wait_for_requests(self, deadline: float) -> None:
        while self.in_flight and time.monotonic() < deadline:
            time.sleep(0.02)

    def health(self) -> dict[str, object]:
        """Return the body of /healthz."""
        return {"entry": self.name, "zone": self.spec.zone,
                "ready": self.ready(), "stopping": self.stopping,
                "rules_revision": self.rule_cache.current.revision,
                "members": list(self.members.members),
                "cells": sorted(c.number for c in self.cells.all()),
                "owned": self.cells.workers()}

    def metrics_body(self) -> dict[str, object]:
        """Return the body of /metrics: latency summaries and counters."""
        with self.lock:
            counters = dict(self.counters)
        counters["evictions"] = self.cells.counters.evictions
        counters["lost_workers"] = self.cells.counters.lost_workers
        counters["batch_started"] = self.cells.counters.started
        counters["batch_finished"] = self.cells.counters.finished
        return {"entry": self.name, "latency": self.latencies.summary(),
                "counters": counters}

    def ready(self) -> bool:
        """Return whether this process accepts new work."""
        return self.rule_cache.loaded() and not self.stopping

    def _not_ready_problem(self) -> errors.Problem:
        """Return the error for work that arrives while not ready."""
        if self.stopping:
            return errors.problem(errors.STOPPING,
                                  retry_after=STOPPING_RETRY_AFTER_S)
        # Work that matches no rule is admitted, so a process without its
        # rules would admit work that they reject.
        return errors.problem(errors.STORE_UNAVAILABLE,
                              retry_after=RETRY_AFTER_S,
                              detail="the rules are not read yet")

    def serve_request(self, request: api.RequestModel) -> api.Answer:
        """Process a latency-critical request and return its answer."""
        if not self.ready():
            return result.Failure(self._not_ready_problem())
        with self.lock:
            self.in_flight += 1
        try:
            return self._process_request(request)
        finally:
            with self.lock:
                self.in_flight -= 1

    def _process_request(self, request: api.RequestModel) -> api.Answer:
        started_at = time.monotonic()
        request_id = request.request_id or uuid.uuid4().hex
        work = self.opts.work.get(request.work)
        if work is None or work.kind != "latency":
            return result.Failure(errors.problem(errors.UNKNOWN_WORK,
                                                 name=request.work))
        decision = self.rule_cache.current.decide(request.customer, work.name,
                                                  work.kind)
        if decision.action.action == rules.REJECT:
            events.emit(events.REQUEST_REJECTED, request_id=request_id,
                        rule=decision.rule)
            return result.Failure(errors.problem(
                errors.REJECTED, rule=decision.rule,
                retry_after=decision.action.retry_after_seconds))
        record = None
        if not work.idempotent:
            recorded = self._record_start(request, request_id)
            if not isinstance(recorded, result.Success):
                self._report_failure(request_id, work, recorded.failure())
                return result.Failure(recorded.failure())
            record = recorded.unwrap()
            if record.kind == idempotency.RecordKind.REPLAY:
                self.increment_counter("replayed")
                return result.Success((200, dict(record.answer or {})))
        outcome = self.dispatcher.send(
            dispatch.BackendRequest(request_id, request.customer,
                                    request.payload,
                                    request.idempotency_key),
            work, decision.action.zone)
        if record is not None:
            self._record_outcome(
                request.idempotency_key or "", record, outcome)
        if outcome.kind == dispatch.OutcomeKind.ANSWERED:
            self._report_answer(request_id, work,
                                time.monotonic() - started_at, outcome)
            return result.Success((200, outcome.answer))
        problem = _outcome_problem(outcome, work)
        self._report_failure(request_id, work, problem)
        return result.Failure(problem)

    def _record_start(
            self, request: api.RequestModel, request_id: str
    ) -> result.Result[idempotency.RecordedRequest, errors.Problem]:
        """Record a non-idempotent request before it is dispatched."""
        key = request.idempotency_key
        if key is None:
            return result.Failure(errors.Problem(
                errors.BAD_FIELDS, "this work needs an idempotency_key",
                (errors.Finding("body.idempotency_key", "required"),)))
        recorded = self.idempotency_store.record_start(key, request_id)
        if (recorded.map(lambda r: r.kind).value_or(None)
                == idempotency.RecordKind.REPLAY):
            events.emit(events.REQUEST_REPLAYED, request_id=request_id,
                        key=key)
        return recorded

    def _record_outcome(self, key: str, record: idempotency.RecordedRequest,
                        outcome: dispatch.Outcome) -> None:
        """Record the outcome of a non-idempotent request."""
        if outcome.kind == dispatch.OutcomeKind.ANSWERED:
            self.idempotency_store.record_answer(key, record, outcome.answer)
        elif outcome.kind == dispatch.OutcomeKind.MAYBE_RAN:
            self.idempotency_store.record_unknown_outcome(key, record)
        else:
            self.idempotency_store.delete_record(key, record)

    def _report_answer(self, request_id: str, work: options.Work,
                       latency_s: float, outcome: dispatch.Outcome) -> None:
        self.increment_counter("answered")
        self.latencies.record(work.name, latency_s)
        events.emit(events.REQUEST_DONE, request_id=request_id,
                    work=work.name, ms=round(latency_s * 1000, 3),
                    worker=outcome.answer.get("worker"))

    def _report_failure(self, request_id: str, work: options.Work,
                        problem: errors.Problem) -> None:
        self.increment_counter("failed")
        events.emit(events.REQUEST_FAILED, request_id=request_id,
                    work=work.name, error=problem.code.name,
                    detail=problem.message)

    def submit_job(self, request: api.JobModel) -> api.Answer:
        """Accept a batch or standing job, which is stored before it runs."""
        if not self.ready():
            return result.Failure(self._not_ready_problem())
        work = self.opts.work.get(request.work)
        if work is None or work.kind == "latency":
            return result.Failure(errors.problem(errors.UNKNOWN_WORK,
                                                 name=request.work))
        decision = self.rule_cache.current.decide(request.customer, work.name,
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
            self.increment_counter("jobs_accepted")
        return accepted.map(lambda record: job_answer(record, 202))

    def show_job(self, job_id: str) -> api.Answer:
        """Return a job's record."""
        return self.jobs.show(job_id).map(job_answer)

    def cancel_job(self, job_id: str) -> api.Answer:
        """Cancel a job: at once if queued, by stopping it if running."""
        cancelled = self.jobs.cancel(job_id)
        if isinstance(cancelled, result.Success):
            events.emit(events.JOB_CANCELLED, job=job_id,
                        state=cancelled.unwrap().state)
        return cancelled.map(job_answer)

    def add_rule(self, model: api.AddRuleModel
                 ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Add a rule after checking the names it refers to."""
        findings = self._check_rule(model.rule, "body.rule")
        if findings:
            return result.Failure(errors.Problem(
                errors.BAD_FIELDS, "rule names unknown things", findings))
        return self.admin.apply_edit(
            ruleadmin.add(rules.from_model(model.rule), model.position),
            model.expected_revision)

    def replace_rules(self, model: api.ReplaceRulesModel
                      ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Replace all rules after checking the names they refer to."""
        findings: tuple[errors.Finding, ...] = ()
        for index, rule in enumerate(model.rules):
            findings += self._check_rule(rule, f"body.rules.{index}")
        names = [r.name for r in model.rules]
        if len(set(names)) != len(names):
            findings += (errors.Finding("body.rules", "rule names repeat"),)
        if findings:
            return result.Failure(errors.Problem(
                errors.BAD_FIELDS, "rules name unknown things", findings))
        return self.admin.apply_edit(
            ruleadmin.replace([rules.from_model(r) for r in model.rules]),
            model.expected_revision)

    def retire_rule(self, name: str, model: api.RetireRuleModel
                    ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Remove a rule."""
        return self.admin.apply_edit(ruleadmin.retire(name),
                                     model.expected_revision)

    def move_rule(self, name: str, model: api.MoveRuleModel
                  ) -> result.Result[rules.RuleSet, errors.Problem]:
        """Move a rule to a new position."""
        return self.admin.apply_edit(ruleadmin.move(name, model.position),
                                     model.expected_revision)

    def _check_rule(self, rule: rules.RuleModel,
                    place: str) -> tuple[errors.Finding, ...]:
        findings = []
        if rule.when.work is not None and rule.when.work not in self.opts.work:
            findings.append(errors.Finding(
                place + ".when.work", f"no work named {rule.when.work!r}"))
        if (rule.when.customer is not None
                and rule.when.customer not in self.opts.customers):
            findings.append(errors.Finding(
                place + ".when.customer",
                f"no customer named {rule.when.customer!r}"))
        if (rule.then.zone is not None
                and rule.then.zone not in self.opts.zones):
            findings.append(errors.Finding(
                place + ".then.zone", f"no zone named {rule.then.zone!r}"))
        return tuple(findings)


def _outcome_problem(outcome: dispatch.Outcome,
                     work: options.Work) -> errors.Problem:
    """Return the error for a request that got no answer."""
    if outcome.kind == dispatch.OutcomeKind.MAYBE_RAN:
        return errors.problem(errors.OUTCOME_UNKNOWN,
                              retry_after=RETRY_AFTER_S)
    if outcome.kind == dispatch.OutcomeKind.REFUSED:
        return errors.problem(errors.NOT_RUN, retry_after=RETRY_AFTER_S,
                              detail=outcome.detail)
    return errors.problem(errors.NO_BACKEND, work=work.name,
                          retry_after=RETRY_AFTER_S)


def job_answer(record: jobtable.JobRecord, status: int = 200
               ) -> tuple[int, dict[str, object]]:
    """Return the HTTP status and body that show a job's record."""
    return status, dataclasses.asdict(record)


def seed_rules(opts: options.Options, kv: kvclient.Client,
               stopped: threading.Event) -> None:
    """Store the rules from the settings unless the store has rules.

    Retries until the store answers.
    """
    value = rulecache.encode(list(opts.rules))
    while not stopped.is_set():
        if isinstance(kv.cas(rulecache.RULES_KEY, 0, value), result.Success):
            return
        stopped.wait(SEED_RETRY_S)
