"""Come back soon after the other end of a channel does."""

import time

from sycamorefield import kvclient
from sycamorefield import kvstore
from tests import deployment
from tests import standins

OUTAGE_SECONDS = 6.0
MAX_RECONNECT_SECONDS = 2.0


def test_store_calls_succeed_soon_after_a_long_outage():
    """Use the key-value service within seconds of its return.

    Symptom: entry processes answer "not run" for a minute or more after
    the key-value service is back.

    Sequence: the service's process is gone for a long stretch; calls go
    on; the service starts again at the same address.

    Cause: the channel's wait between connection attempts had grown with
    each failure.
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
