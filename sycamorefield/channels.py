"""Create gRPC channels and servers with options that differ from defaults.

By default the delay between connection attempts of a channel grows to two
minutes.  After a long outage of the key-value service or the restart of a
worker, calls would keep failing at once until that delay is over although the
server is reachable again.  The delay is therefore limited to one second.

By default two servers may also listen on the same port and share its calls.
A process started twice by mistake would then answer part of the other one's
calls from its own state.  Without port sharing the second bind fails, which
shows the mistake at once.
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
    """Return a server that handles calls in a pool of threads."""
    return grpc.server(
        concurrent.futures.ThreadPoolExecutor(max_workers=threads),
        options=SERVER_OPTIONS)


def connect(target: str) -> grpc.Channel:
    """Return a channel to target (host:port)."""
    return grpc.insecure_channel(target, options=CHANNEL_OPTIONS)
