"""Test that new requests avoid leaving and slow backends."""

import dataclasses
import http.server
import json
import threading
import time

import pytest
import urllib3

from sycamorefield import routing
from tests import deployment
from tests import standins


class VmListHandler(http.server.BaseHTTPRequestHandler):
    """Answer with the class's list of VMs, or with 503 if it is down."""

    vms: list[dict[str, str]] = []
    down = False

    def do_GET(self):
        body = json.dumps(self.vms).encode()
        self.send_response(503 if self.down else 200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        pass


@pytest.fixture
def vm_list():
    handler = type("Handler", (VmListHandler,), {})
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    handler.port = server.server_address[1]
    yield handler
    server.shutdown()


def _router(vm_list, policy):
    opts = dataclasses.replace(standins.sample_options(1),
                               vm_list_port=vm_list.port)
    vm_list.vms = [{"name": m.name, "state": "live"} for m in opts.machines]
    router = routing.Router(opts, opts.zones[0], urllib3.PoolManager(),
                            policy(1))
    assert router.refresh()
    return router


def _pick_repeatedly(router, count=300):
    names = set()
    for _ in range(count):
        backend = router.pick()
        names.add(backend.name)
        router.record_call(backend, 1.0)
    return names


POLICIES = [routing.LeastExpectedSlowdown,
            routing.PowerOfTwoChoices, routing.RandomChoice]
REFRESH_MODES = [
    # case, whether the VM list is read again, whether a leaving backend
    # is picked
    ("every period", True, False),
    ("naive: read once, at the start", False, True),
]


@pytest.mark.parametrize("case_name,refreshes,picked", REFRESH_MODES,
                         ids=[row[0] for row in REFRESH_MODES])
@pytest.mark.parametrize("policy", POLICIES)
def test_leaving_backend_is_not_picked(vm_list, policy, case_name, refreshes,
                                       picked):
    """Check that backends are not picked once the VM list says "leaving".

    A VM list that is read only once, or a candidate list that is not updated
    with it, would send new requests to a backend that is being removed.
    """
    router = _router(vm_list, policy)
    if refreshes:
        threading.Thread(target=router.run, args=(0.05,),
                         daemon=True).start()
    for vm in vm_list.vms[:3]:
        vm["state"] = "leaving"
    time.sleep(0.5)
    leaving = {vm["name"] for vm in vm_list.vms[:3]}
    assert bool(_pick_repeatedly(router) & leaving) == picked
    router.stopped.set()


@pytest.mark.parametrize("policy", POLICIES)
def test_leaving_backend_is_not_picked_while_vm_list_is_down(
        vm_list, policy):
    """Check that a backend's own "leaving" counts if the VM list is down."""
    router = _router(vm_list, policy)
    vm_list.down = True
    leaving = vm_list.vms[0]["name"]
    router.mark_leaving(leaving)
    assert not router.refresh()
    assert leaving not in _pick_repeatedly(router)


def test_slow_backend_is_avoided_until_its_slowdown_decays(vm_list):
    router = _router(vm_list, routing.LeastExpectedSlowdown)
    router.policy.refresh(router._usable(), router.zone)
    slow = router.backends[vm_list.vms[0]["name"]]
    for _ in range(10):
        slow.in_flight += 1
        router.record_call(slow, 6.0)
    assert slow.name not in _pick_repeatedly(router)
    slow.measured_at -= 10 * routing.SLOWDOWN_DECAY_S
    assert deployment.wait_until(
        lambda: slow.name in _pick_repeatedly(router), 2)
