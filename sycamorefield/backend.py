"""Stand-in of the backend server that runs on a worker.

It serves latency-critical requests over HTTP, slowed down by the batch tasks
on the same worker.  It logs two violations that no other process can detect:
a repeated execution of a request that is not idempotent, and new requests
long after the backend was marked as leaving.
"""

import dataclasses
import time

import cherrypy
import grpc

from sycamorefield import events
from sycamorefield import httpserver
from sycamorefield import options
from sycamorefield import worker

# Seconds after which a backend marked as leaving must get no new requests.
LEAVING_GRACE_S = 3.0


class Backend:
    """HTTP handlers of the backend server, with counters of requests."""

    def __init__(self, machine: worker.WorkerServer,
                 opts: options.Options) -> None:
        self.machine = machine
        self.opts = opts

    @cherrypy.expose
    @cherrypy.tools.json_in()
    @cherrypy.tools.json_out()
    def work(self, name: str) -> dict[str, object]:
        """Serve a request; answer 404 if no such latency work exists."""
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
        # Only the backend sees every execution of a request, so it detects a
        # second execution under a non-idempotent key, and requests after the
        # grace period of a leaving backend.
        machine = self.machine
        with machine.lock:
            machine.served += 1
            repeated = False
            if key:
                machine.served_by_key[key] += 1
                repeated = (machine.served_by_key[key] > 1
                            and not spec.idempotent)
            late = bool(machine.leaving_since) and (
                time.time() - machine.leaving_since > LEAVING_GRACE_S)
            if late:
                machine.served_after_leaving += 1
        if repeated:
            events.emit(events.INVARIANT_BROKEN, invariant="at-most-once",
                        worker=machine.spec.name, key=key)
        if late:
            events.emit(events.INVARIANT_BROKEN, invariant="leaving",
                        worker=machine.spec.name)
        return late

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def stats(self) -> dict[str, object]:
        """Return the counters of this backend, for checks and tests."""
        machine = self.machine
        with machine.lock:
            return {"worker": machine.spec.name, "served": machine.served,
                    "served_after_leaving": machine.served_after_leaving,
                    "repeated_keys": sorted(
                        k for k, n in machine.served_by_key.items() if n > 1),
                    "peak": dataclasses.asdict(machine.peak_usage),
                    "capacity": dataclasses.asdict(machine.spec.capacity),
                    "tasks": len(machine.tasks)}

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def leaving(self) -> dict[str, object]:
        """Mark this backend as leaving, as the fault tool does."""
        with self.machine.lock:
            if not self.machine.leaving_since:
                self.machine.leaving_since = time.time()
        return {"worker": self.machine.spec.name, "leaving": True}


def serve(opts: options.Options, name: str
          ) -> tuple[grpc.Server, worker.WorkerServer]:
    """Start a worker and its backend; return the gRPC server and worker."""
    spec = opts.machine(name)
    server, machine = worker.bind_grpc(opts.host, spec)
    machine.misdeclared_by_work = {
        w.name: w.misdeclared for w in opts.work.values()}
    machine.crashing_work = {w.name for w in opts.work.values() if w.crashes}
    # Owners start tasks as soon as the worker serves calls, and checks.py
    # takes this event for the end of all tasks begun before it.
    events.emit(events.PROCESS_STARTED, role="worker",
                grpc_port=spec.grpc_port, http_port=spec.http_port)
    worker.start(server, machine)
    httpserver.start(opts.host, spec.http_port, Backend(machine, opts))
    return server, machine
