"""Open gRPC channels that come back soon after their other end does.

By default a channel waits longer after every failed connection, up to two
minutes.  After a long outage of the key-value service, or a worker's
restart, a process would then sit out that wait: its calls fail at once
although the other end is up.  One second bounds it.
"""

import grpc

RECONNECT_FIRST_MS = 100
RECONNECT_LONGEST_MS = 1000
OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_FIRST_MS),
    ("grpc.min_reconnect_backoff_ms", RECONNECT_LONGEST_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_LONGEST_MS),
)


def connect(target: str) -> grpc.Channel:
    """Return a channel to host:port."""
    return grpc.insecure_channel(target, options=OPTIONS)
