"""Stand-in of the platform's key-value service, served over gRPC.

It implements a small subset of etcd v3 (a revisioned map, leases with a TTL
and watches) and can inject faults: be down, be slow, cut off clients, or lose
the reply to a write that took effect.  It also limits writes per second, as
the platform does, so that a design that writes too much fails in tests first.
"""

import collections
import dataclasses
import queue
import random
import threading
import time
import typing

import grpc

from sycamorefield import channels
from sycamorefield import events
from sycamorefield import kvclient
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc

MAX_HISTORY_EVENTS = 20000
EXPIRY_PERIOD_S = 0.05
WATCH_POLL_S = 0.2


@dataclasses.dataclass
class Lease:
    """A lease: its TTL, expiry (monotonic time) and attached keys."""

    ttl_ms: int
    expires_at: float
    keys: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Watcher:
    """An open watch of a key or a prefix; None in events ends it."""

    key: str
    prefix: bool
    events: "queue.Queue[pb.WatchEvent | None]"

    def matches(self, key: str) -> bool:
        """Return whether this watch covers key."""
        return key.startswith(self.key) if self.prefix else key == self.key


class WriteLimiter:
    """A token bucket that limits the number of writes per second."""

    def __init__(self, per_second: int) -> None:
        self.per_second = per_second
        self.tokens = float(per_second)
        self.refilled_at = time.monotonic()

    def take(self) -> bool:
        """Take one token; return False if none is left."""
        now = time.monotonic()
        self.tokens = min(
            float(self.per_second),
            self.tokens + (now - self.refilled_at) * self.per_second)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Store(pb_grpc.KeyValueServicer):
    """The KeyValue gRPC service, with its map, leases and watches."""

    def __init__(self, writes_per_second: int, seed: int = 1) -> None:
        self.lock = threading.Lock()
        self.items: dict[str, pb.Item] = {}
        self.revision = 0
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = 1000
        self.watchers: list[Watcher] = []
        self.history: collections.deque[pb.WatchEvent] = collections.deque(
            maxlen=MAX_HISTORY_EVENTS)
        self.write_limiter = WriteLimiter(writes_per_second)
        self.faults = pb.KvFaults()
        self.random = random.Random(seed)
        self.calls: collections.Counter[str] = collections.Counter()
        self.stopped = threading.Event()

    def _begin_call(self, context: grpc.ServicerContext, name: str,
                    write: bool = False) -> None:
        self.calls[name] += 1
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / 1000.0)
        if self.faults.down or self._is_cut_off(context):
            context.abort(grpc.StatusCode.UNAVAILABLE, "stand-in is down")
        if write and not self.write_limiter.take():
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED,
                          "write budget spent")

    def _is_cut_off(self, context: grpc.ServicerContext) -> bool:
        """Return whether an injected fault cuts off the calling client."""
        return bool(self.faults.cut) and any(
            key == kvclient.CLIENT_METADATA_KEY and value in self.faults.cut
            for key, value in context.invocation_metadata())

    def _maybe_lose_reply(self, context: grpc.ServicerContext) -> None:
        # The reply is lost after the write took effect: the caller gets an
        # error although the write is stored, as can happen on the platform.
        if (self.faults.lose_reply_ratio
                and self.random.random() < self.faults.lose_reply_ratio):
            context.abort(grpc.StatusCode.UNAVAILABLE, "reply lost")

    def _publish(self, kind: typing.Any, item: pb.Item) -> None:
        event = pb.WatchEvent(kind=kind, item=item, revision=self.revision)
        self.history.append(event)
        for watcher in self.watchers:
            if watcher.matches(item.key):
                watcher.events.put(event)

    def _put_locked(self, key: str, value: bytes, lease: int) -> pb.Item:
        self.revision += 1
        old = self.items.get(key)
        if old is not None and old.lease and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        item = pb.Item(key=key, value=value, mod_revision=self.revision,
                       create_revision=(old.create_revision if old
                                        else self.revision), lease=lease)
        self.items[key] = item
        if lease:
            self.leases[lease].keys.add(key)
        self._publish(pb.WatchEvent.PUT, item)
        return item

    def _delete_locked(self, key: str) -> bool:
        old = self.items.pop(key, None)
        if old is None:
            return False
        self.revision += 1
        if old.lease and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        self._publish(pb.WatchEvent.DELETE,
                      pb.Item(key=key, mod_revision=self.revision))
        return True

    def _check_lease(self, lease: int, context: grpc.ServicerContext) -> None:
        if lease and lease not in self.leases:
            context.abort(grpc.StatusCode.NOT_FOUND, "lease not found")

    def Range(self, request: pb.RangeRequest,
              context: grpc.ServicerContext) -> pb.RangeResponse:
        self._begin_call(context, "range")
        with self.lock:
            if request.prefix:
                found = [item for key, item in sorted(self.items.items())
                         if key.startswith(request.key)]
            else:
                item_at_key = self.items.get(request.key)
                found = [item_at_key] if item_at_key is not None else []
            return pb.RangeResponse(items=found, revision=self.revision)

    def Put(self, request: pb.PutRequest,
            context: grpc.ServicerContext) -> pb.PutResponse:
        self._begin_call(context, "put", write=True)
        with self.lock:
            self._check_lease(request.lease, context)
            self._put_locked(request.key, request.value, request.lease)
            revision = self.revision
        self._maybe_lose_reply(context)
        return pb.PutResponse(revision=revision)

    def CompareAndSwap(self, request: pb.CasRequest,
                       context: grpc.ServicerContext) -> pb.CasResponse:
        self._begin_call(context, "cas", write=True)
        with self.lock:
            current = self.items.get(request.key)
            current_rev = current.mod_revision if current else 0
            if current_rev != request.expected_mod_revision:
                return pb.CasResponse(succeeded=False,
                                      revision=self.revision,
                                      current=current)
            self._check_lease(request.lease, context)
            if request.delete:
                self._delete_locked(request.key)
                item = None
            else:
                item = self._put_locked(request.key, request.value,
                                        request.lease)
            revision = self.revision
        self._maybe_lose_reply(context)
        return pb.CasResponse(succeeded=True, revision=revision, current=item)

    def Delete(self, request: pb.DeleteRequest,
               context: grpc.ServicerContext) -> pb.DeleteResponse:
        self._begin_call(context, "delete", write=True)
        with self.lock:
            keys = ([k for k in self.items if k.startswith(request.key)]
                    if request.prefix else [request.key])
            deleted = sum(1 for key in keys if self._delete_locked(key))
            revision = self.revision
        self._maybe_lose_reply(context)
        return pb.DeleteResponse(deleted=deleted, revision=revision)

    def LeaseGrant(self, request: pb.LeaseGrantRequest,
                   context: grpc.ServicerContext) -> pb.LeaseGrantResponse:
        self._begin_call(context, "lease-grant", write=True)
        with self.lock:
            self.last_lease_id += 1
            lease_id = self.last_lease_id
            self.leases[lease_id] = Lease(
                request.ttl_ms, time.monotonic() + request.ttl_ms / 1000.0)
        self._maybe_lose_reply(context)
        return pb.LeaseGrantResponse(lease=lease_id, ttl_ms=request.ttl_ms)

    def LeaseKeepAlive(self, request: pb.LeaseKeepAliveRequest,
                       context: grpc.ServicerContext
                       ) -> pb.LeaseKeepAliveResponse:
        self._begin_call(context, "lease-keepalive")
        with self.lock:
            lease = self.leases.get(request.lease)
            if lease is None:
                return pb.LeaseKeepAliveResponse(lease=request.lease,
                                                 ttl_ms=0)
            lease.expires_at = time.monotonic() + lease.ttl_ms / 1000.0
            return pb.LeaseKeepAliveResponse(lease=request.lease,
                                             ttl_ms=lease.ttl_ms)

    def LeaseRevoke(self, request: pb.LeaseRevokeRequest,
                    context: grpc.ServicerContext) -> pb.LeaseRevokeResponse:
        self._begin_call(context, "lease-revoke", write=True)
        with self.lock:
            self._expire_locked(request.lease)
        self._maybe_lose_reply(context)
        return pb.LeaseRevokeResponse()

    def _expire_locked(self, lease_id: int) -> None:
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return
        for key in sorted(lease.keys):
            self._delete_locked(key)

    def Watch(self, request: pb.WatchRequest,
              context: grpc.ServicerContext
              ) -> typing.Iterator[pb.WatchEvent]:
        self._begin_call(context, "watch")
        watcher = Watcher(request.key, request.prefix, queue.Queue())
        with self.lock:
            backlog = [event for event in self.history
                       if request.start_revision
                       and event.revision >= request.start_revision
                       and watcher.matches(event.item.key)]
            self.watchers.append(watcher)
        try:
            yield from backlog
            while context.is_active() and not self.stopped.is_set():
                if self.faults.down or self._is_cut_off(context):
                    return
                try:
                    event = watcher.events.get(timeout=WATCH_POLL_S)
                except queue.Empty:
                    continue
                if event is None:
                    return
                yield event
        finally:
            with self.lock:
                self.watchers.remove(watcher)

    def SetFaults(self, request: pb.KvFaults,
                  context: grpc.ServicerContext) -> pb.KvFaults:
        self.calls["set-faults"] += 1
        if not request.query:
            self.faults = pb.KvFaults(
                down=request.down, delay_ms=request.delay_ms,
                lose_reply_ratio=request.lose_reply_ratio, cut=request.cut)
            events.emit(events.KV_FAULTS_SET, down=request.down,
                        delay_ms=request.delay_ms,
                        lose_reply_ratio=request.lose_reply_ratio,
                        cut=list(request.cut))
        return self.faults

    def expire_forever(self) -> None:
        """Remove expired leases and their keys until stopped."""
        while not self.stopped.wait(EXPIRY_PERIOD_S):
            now = time.monotonic()
            with self.lock:
                expired_ids = [
                    lease_id for lease_id, lease in self.leases.items()
                    if lease.expires_at <= now]
                for lease_id in expired_ids:
                    self._expire_locked(lease_id)


def serve(host: str, port: int, writes_per_second: int) -> tuple[grpc.Server,
                                                                 Store]:
    """Start the service on host:port; return the server and its store."""
    store = Store(writes_per_second)
    server = channels.server(threads=64)
    pb_grpc.add_KeyValueServicer_to_server(store, server)
    server.add_insecure_port(f"{host}:{port}")
    server.start()
    threading.Thread(target=store.expire_forever, name="lease-expiry",
                     daemon=True).start()
    return server, store
