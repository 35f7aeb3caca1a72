"""Open gRPC channels and servers with the options that faults taught.

By default a channel waits longer after every failed connection, up to two
minutes.  After a long outage of the key-value service, or a worker's
restart, a process would then sit out that wait: its calls fail at once
although the other end is up.  One second bounds it.

By default two servers may also listen on one port and share its calls.  A
process started twice would then answer half of another's calls from its own
state; refusing the second bind shows the mistake at once.
"""

import concurrent.futures

import grpc

INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 1000
CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", INITIAL_BACKOFF_MS),
    ("grpc.min_reconnect_backoff_ms", MAX_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_BACKOFF_MS),
)


SERVER_OPTIONS = (("grpc.so_reuseport", 0),)


def server(threads: int) -> grpc.Server:
    """Return a server that answers with a number of threads."""
    return grpc.server(
        concurrent.futures.ThreadPoolExecutor(max_workers=threads),
        options=SERVER_OPTIONS)


def connect(target: str) -> grpc.Channel:
    """Return a channel to host:port."""
    return grpc.insecure_channel(target, options=CHANNEL_OPTIONS)
