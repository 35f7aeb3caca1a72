"""Stand-in of the platform's list of live and leaving VMs.

The list lags behind by a configured number of seconds: a VM marked as leaving
is listed as leaving only after the lag.
"""

import dataclasses
import threading
import time

import cherrypy

from sycamorefield import httpserver
from sycamorefield import options

LIVE = "live"
LEAVING = "leaving"


@dataclasses.dataclass
class Vm:
    """A backend VM and its state changes, as (Unix time, state)."""

    machine: options.WorkerSpec
    changes: list[tuple[float, str]]

    def state_at(self, moment: float) -> str:
        """Return the state at a moment (Unix time)."""
        state = LIVE
        for changed_at, value in self.changes:
            if changed_at <= moment:
                state = value
        return state


class VmList:
    """Serve GET /v1/vms and POST /v1/vms/<name>/leaving."""

    def __init__(self, opts: options.Options) -> None:
        self.lag_s = opts.vm_list_lag_s
        self.lock = threading.Lock()
        self.vms = {m.name: Vm(m, []) for m in opts.machines}

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def v1(self, what: str = "vms", name: str = "",
           action: str = "") -> list[dict[str, object]] | dict[str, object]:
        """List the VMs, or mark one as leaving or as live again."""
        if what != "vms":
            raise cherrypy.NotFound()
        if name:
            return self._set_state(name, action)
        moment = time.time() - self.lag_s
        with self.lock:
            return [{"name": vm.machine.name, "zone": vm.machine.zone,
                     "rack": vm.machine.rack,
                     "http_port": vm.machine.http_port,
                     "grpc_port": vm.machine.grpc_port,
                     "state": vm.state_at(moment)}
                    for vm in self.vms.values()]

    def _set_state(self, name: str, action: str) -> dict[str, object]:
        if cherrypy.request.method != "POST":
            raise cherrypy.HTTPError(405)
        if action not in (LIVE, LEAVING):
            raise cherrypy.NotFound()
        with self.lock:
            vm = self.vms.get(name)
            if vm is None:
                raise cherrypy.NotFound()
            vm.changes.append((time.time(), action))
        return {"name": name, "state": action, "visible_after": self.lag_s}


def serve(opts: options.Options) -> VmList:
    """Start the HTTP server of the VM list; return the list."""
    app = VmList(opts)
    httpserver.start(opts.host, opts.vm_list_port, app)
    return app
