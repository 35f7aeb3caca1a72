"""Tests that channels reconnect soon after the server is back."""

import time

from sycamorefield import kvclient
from sycamorefield import kvstore
from tests import deployment
from tests import standins

OUTAGE_SECONDS = 6.0
MAX_RECONNECT_SECONDS = 2.0


def test_store_calls_succeed_soon_after_a_long_outage():
    """Reach the key-value service within seconds after an outage.

    The service's process is down for a long time while calls go on, then
    starts again at the same address.  If the delay between connection
    attempts grows with each failure, entry processes answer "not run" for a
    minute or more after the service is back.
    """
    port = standins.free_port()
    client = kvclient.Client(f"127.0.0.1:{port}")
    outage_end = time.monotonic() + OUTAGE_SECONDS
    while time.monotonic() < outage_end:
        assert not isinstance(client.get("/x"), kvclient.result.Success)
        time.sleep(0.1)
    server, store = kvstore.serve("127.0.0.1", port, 100)
    try:
        assert deployment.wait_until(
            lambda: isinstance(client.get("/x"), kvclient.result.Success),
            MAX_RECONNECT_SECONDS)
    finally:
        store.stopped.set()
        client.close()
        server.stop(0)
