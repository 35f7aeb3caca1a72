"""Stand in for the backend server that runs on a worker.

It serves latency-critical requests over HTTP, slowed by the batch tasks
beside it, and asserts what it alone sees: a repeated run of a request that
must not be repeated, and new work long after it was marked leaving.
"""

import dataclasses
import time

import cherrypy
import grpc

from sycamorefield import events
from sycamorefield import httpserver
from sycamorefield import options
from sycamorefield import worker

LEAVING_GRACE_S = 3.0


class Backend:
    """The backend server's HTTP side: serve work, count what it served."""

    def __init__(self, machine: worker.WorkerServer,
                 opts: options.Options) -> None:
        self.machine = machine
        self.opts = opts

    @cherrypy.expose
    @cherrypy.tools.json_in()
    @cherrypy.tools.json_out()
    def work(self, name: str) -> dict[str, object]:
        """Serve one latency-critical request of the named work."""
        body = cherrypy.request.json
        spec = self.opts.work.get(name)
        if spec is None or spec.kind != "latency":
            raise cherrypy.HTTPError(404, f"no latency work {name!r}")
        time.sleep(self.machine.service_seconds(spec.service_ms))
        key = str(body.get("idempotency_key") or "")
        late = self._record_served_request(key, spec)
        events.emit(events.REQUEST_SERVED, request_id=body.get("request_id"),
                    key=key, work=name, late_after_leaving=late)
        return {"request_id": body.get("request_id"),
                "worker": self.machine.spec.name,
                "result": f"{name} done for {body.get('customer')}",
                "payload": body.get("payload")}

    def _record_served_request(self, key: str, spec: options.Work) -> bool:
        # Checked mode: the backend is the one place that sees every run of
        # a request, so a second run of a non-idempotent key, or new work
        # past the grace after it was marked leaving, is caught here.
        m = self.machine
        with m.lock:
            m.served += 1
            repeated = False
            if key:
                m.served_by_key[key] += 1
                repeated = m.served_by_key[key] > 1 and not spec.idempotent
            late = bool(m.leaving_since) and (
                time.time() - m.leaving_since > LEAVING_GRACE_S)
            if late:
                m.served_after_leaving += 1
        if repeated:
            events.emit(events.INVARIANT_BROKEN, invariant="at-most-once",
                        worker=m.spec.name, key=key)
        if late:
            events.emit(events.INVARIANT_BROKEN, invariant="leaving",
                        worker=m.spec.name)
        return late

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def stats(self) -> dict[str, object]:
        """Report what this backend served, for checks and tests."""
        m = self.machine
        with m.lock:
            return {"worker": m.spec.name, "served": m.served,
                    "served_after_leaving": m.served_after_leaving,
                    "repeated_keys": sorted(k for k, n in
                                            m.served_by_key.items() if n > 1),
                    "peak": dataclasses.asdict(m.peak_usage),
                    "capacity": dataclasses.asdict(m.spec.capacity),
                    "tasks": len(m.tasks)}

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def leaving(self) -> dict[str, object]:
        """Mark this backend leaving, as the fault tool does."""
        with self.machine.lock:
            if not self.machine.leaving_since:
                self.machine.leaving_since = time.time()
        return {"worker": self.machine.spec.name, "leaving": True}


def serve(opts: options.Options, name: str
          ) -> tuple[grpc.Server, worker.WorkerServer]:
    """Start a worker's gRPC side and its backend; return the former."""
    spec = opts.machine(name)
    server, machine = worker.serve_grpc(opts.host, spec)
    machine.misdeclared_by_work = {
        w.name: w.misdeclared for w in opts.work.values()}
    machine.crashing_work = {w.name for w in opts.work.values() if w.crashes}
    httpserver.start(opts.host, spec.http_port, Backend(machine, opts))
    return server, machine
