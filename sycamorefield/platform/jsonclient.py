"""HTTP client for calls with JSON bodies."""

import dataclasses
import json
import typing

import msgspec

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield import metrics
from sycamorefield.platform import connections

Body = dict[str, typing.Any]
Decoded = typing.TypeVar("Decoded")


@dataclasses.dataclass(frozen=True, slots=True)
class JsonResponse:
    """Status and undecoded body of a response."""

    status: int
    data: bytes

    @property
    def body(self) -> Body:
        """Return the JSON object or, if none, {}; raises CallFailed."""
        if not self.data:
            return {}
        try:
            decoded = msgspec.json.decode(self.data)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise interfaces.CallFailed(
                f"unreadable answer: {exc}") from exc
        return decoded if isinstance(decoded, dict) else {}


def decode_or_fail(decode: typing.Callable[[Body], Decoded],
                   body: Body) -> Decoded:
    """Decode a response body; raises CallFailed if it is invalid.

    An unreadable response leaves the outcome of the call unknown.  Any other
    exception would end the thread that makes the call: a worker's leases
    would expire, its pending starts would never be sent, or a term would end.
    """
    try:
        return decode(body)
    except (KeyError, IndexError, TypeError, ValueError, AttributeError,
            OverflowError, RecursionError) as exc:
        raise interfaces.CallFailed(
            f"unreadable answer: {repr(exc)[:200]}") from exc


def _encode_body(body: Body) -> bytes:
    """Return a body as JSON; half a surrogate pair in a text is escaped.

    Saved texts and names of tasks are returned as workers report them.
    """
    try:
        return msgspec.json.encode(body)
    except UnicodeEncodeError:
        return json.dumps(body).encode()


class RequestEncoder:
    """Encodes requests to one server with a common set of headers."""

    def __init__(self, address: str,
                 headers: dict[str, str] | None = None) -> None:
        lines = [f"Host: {address}", "Content-Type: application/json"]
        lines += [f"{name}: {value}"
                  for name, value in (headers or {}).items()]
        self.headers = "\r\n".join(lines)

    def encode(self, method: str, path: str, body: Body | None) -> bytes:
        """Return the bytes of a request with a JSON body."""
        data = b"" if body is None else _encode_body(body)
        head = (f"{method} {path} HTTP/1.1\r\n{self.headers}\r\n"
                f"Content-Length: {len(data)}\r\n\r\n")
        return head.encode() + data


def record_duration(path: str, started_at: float) -> None:
    """Record the duration of a call that has been answered.

    That of a watch is not recorded: it mostly waits for changes.
    """
    if "watch" not in path and path.startswith("/-/"):
        metrics.CALLS.record(path.partition("?")[0].split("/")[2],
                             clock.now() - started_at)


class JsonClient:
    """Calls one server over a pool of connections."""

    def __init__(self, address: str, max_idle_connections: int) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.pool = connections.ConnectionPool(
            host, int(port), max_idle_connections)
        self.encoder = RequestEncoder(address)

    def call(self, method: str, path: str, timeout_s: float,
             body: Body | None = None) -> JsonResponse:
        """Return the response; raises CallRefused or CallFailed."""
        started_at = clock.now()
        response = self.pool.send(
            self.encoder.encode(method, path, body), timeout_s)
        record_duration(path, started_at)
        return JsonResponse(response.status, response.body)

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close()
