"""Client of the platform's key-value service.

Except for watch, its methods return errors as results instead of raising.  A
write whose reply is lost may still have taken effect; callers that need to
know read the key back (see idempotency.py and ruleadmin.py).
"""

import dataclasses
import json
import threading
import typing

import grpc
from returns import result

from sycamorefield import channels
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import sycamorefield_pb2_grpc as pb_grpc

CALL_TIMEOUT_S = 1.0
CLIENT_METADATA_KEY = "client"


@dataclasses.dataclass(frozen=True)
class KvError:
    """A failed call: the name of its gRPC status code and the details."""

    status: str
    detail: str

    @property
    def maybe_applied(self) -> bool:
        """Return whether a write may have taken effect despite the error."""
        return self.status in ("UNAVAILABLE", "DEADLINE_EXCEEDED", "UNKNOWN")


@dataclasses.dataclass(frozen=True)
class CasResult:
    """The result of a compare-and-swap.

    current is the item at the key after the call, None if there is none.
    """

    succeeded: bool
    revision: int
    current: pb.Item | None


T = typing.TypeVar("T")
Outcome = result.Result[T, KvError]


def _to_kv_error(exc: grpc.RpcError) -> KvError:
    code = exc.code() if hasattr(exc, "code") else None
    name = code.name if code is not None else "UNKNOWN"
    details = exc.details() if hasattr(exc, "details") else str(exc)
    return KvError(name, details or "")


def encode(value: object) -> bytes:
    """Encode a JSON value for storage."""
    return json.dumps(value, sort_keys=True).encode()


def decode(raw: bytes) -> typing.Any:
    """Decode a stored JSON value."""
    return json.loads(raw.decode()) if raw else None


class Client:
    """A connection to the key-value service; timeout is in seconds."""

    def __init__(self, target: str, timeout: float = CALL_TIMEOUT_S,
                 name: str = "") -> None:
        self.target = target
        self.metadata = ((CLIENT_METADATA_KEY, name),)
        self.timeout = timeout
        self.channel = channels.connect(target)
        self.stub = pb_grpc.KeyValueStub(self.channel)
        self.lock = threading.Lock()

    def close(self) -> None:
        """Close the connection."""
        self.channel.close()

    def _call(self, method: typing.Callable[..., T],
              request: object) -> Outcome[T]:
        try:
            return result.Success(method(request, timeout=self.timeout,
                                         metadata=self.metadata))
        except grpc.RpcError as exc:
            return result.Failure(_to_kv_error(exc))

    def get(self, key: str) -> Outcome[pb.Item | None]:
        """Return the item at key, or None when it does not exist."""
        return self._call(self.stub.Range, pb.RangeRequest(key=key)).map(
            lambda reply: reply.items[0] if reply.items else None)

    def range(self, prefix: str) -> Outcome[pb.RangeResponse]:
        """Return every item whose key starts with prefix."""
        return self._call(self.stub.Range,
                          pb.RangeRequest(key=prefix, prefix=True))

    def put(self, key: str, value: bytes, lease: int = 0) -> Outcome[int]:
        """Write value at key; return the new revision."""
        return self._call(self.stub.Put, pb.PutRequest(
            key=key, value=value, lease=lease)).map(lambda r: r.revision)

    def cas(self, key: str, expected: int, value: bytes,
            lease: int = 0, delete: bool = False) -> Outcome[CasResult]:
        """Write value, or delete the key, if its revision is as expected.

        An expected revision of 0 means that the key must not exist.
        """
        request = pb.CasRequest(key=key, expected_mod_revision=expected,
                                value=value, lease=lease, delete=delete)
        return self._call(self.stub.CompareAndSwap, request).map(
            lambda r: CasResult(r.succeeded, r.revision,
                                r.current if r.HasField("current") else None))

    def delete(self, key: str, prefix: bool = False) -> Outcome[int]:
        """Delete key, or every key under a prefix; return the count."""
        return self._call(self.stub.Delete, pb.DeleteRequest(
            key=key, prefix=prefix)).map(lambda r: r.deleted)

    def grant(self, ttl_ms: int) -> Outcome[int]:
        """Grant a lease of ttl_ms; return its id."""
        return self._call(self.stub.LeaseGrant, pb.LeaseGrantRequest(
            ttl_ms=ttl_ms)).map(lambda r: r.lease)

    def keep_alive(self, lease: int) -> Outcome[int]:
        """Renew a lease; return its TTL in ms, 0 if it has expired."""
        return self._call(self.stub.LeaseKeepAlive,
                          pb.LeaseKeepAliveRequest(lease=lease)).map(
            lambda r: r.ttl_ms)

    def revoke(self, lease: int) -> Outcome[None]:
        """Revoke a lease and delete its keys."""
        return self._call(self.stub.LeaseRevoke, pb.LeaseRevokeRequest(
            lease=lease)).map(lambda r: None)

    def watch(self, key: str, prefix: bool = False,
              start_revision: int = 0) -> typing.Iterator[pb.WatchEvent]:
        """Yield changes to key (or a prefix) until the stream ends.

        Raise grpc.RpcError when the stream breaks.
        """
        return self.stub.Watch(pb.WatchRequest(
            key=key, prefix=prefix, start_revision=start_revision),
            metadata=self.metadata)

    def set_faults(self, faults: pb.KvFaults) -> Outcome[pb.KvFaults]:
        """Set the faults that the stand-in of the service injects."""
        return self._call(self.stub.SetFaults, faults)
