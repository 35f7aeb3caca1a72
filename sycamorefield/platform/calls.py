"""Make one HTTP call with a JSON body and its own timeout."""

import http.client
import json
import typing

import urllib3

from sycamorefield.fleet import clock
from sycamorefield.fleet import surroundings
from sycamorefield import metrics

# A connection to a VM without power never opens; a data centre away a
# handshake takes 3 ms, so half a second means that nobody is there.
CONNECT_TIMEOUT_S = 0.5


class Answer(typing.NamedTuple):
    """Hold the status and the decoded body of an answer."""

    status: int
    body: dict[str, typing.Any]


class Caller:
    """Call one server over a few connections that stay open."""

    def __init__(self, address: str, connections: int) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=connections, block=False)

    def call(self, method: str, path: str, timeout_s: float,
             body: dict[str, typing.Any] | None = None,
             headers: dict[str, str] | None = None) -> Answer:
        """Return the answer; raises CallRefused or CallFailed.

        A connection may go silent for good without a reset; the timeout of
        each call shows it, and the connection is closed with it.
        """
        sent = {"Content-Type": "application/json"}
        sent.update(headers or {})
        data = None if body is None else json.dumps(body).encode()
        began = clock.now()
        try:
            response = self.pool.urlopen(
                method, path, body=data, headers=sent, retries=False,
                timeout=urllib3.Timeout(
                    connect=min(CONNECT_TIMEOUT_S, timeout_s),
                    read=timeout_s))
        except urllib3.exceptions.NewConnectionError as exc:
            if isinstance(exc.__cause__, ConnectionRefusedError):
                raise surroundings.NobodyListens(str(exc)) from exc
            raise surroundings.CallRefused(f"no connection: {exc}") from exc
        except urllib3.exceptions.ConnectTimeoutError as exc:
            raise surroundings.CallRefused(f"no connection: {exc}") from exc
        except urllib3.exceptions.ProtocolError as exc:
            raise _closed(exc) from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise surroundings.CallFailed(f"no answer: {exc}") from exc
        if "watch" not in path and path.startswith("/-/"):
            # A waiting watch measures the wait, not the call.
            metrics.CALLS.record(path.partition("?")[0].split("/")[2],
                                 clock.now() - began)
        return Answer(response.status, _decode(response.data))

    def close(self) -> None:
        """Close the connections that are idle."""
        self.pool.close()


def _closed(exc: urllib3.exceptions.ProtocolError
            ) -> surroundings.CallFailed:
    """Tell an orderly end of a connection from a reset.

    A worker that leaves ends its connections in order; a cut network resets
    them while the worker goes on.
    """
    if isinstance(exc.args[-1], http.client.RemoteDisconnected):
        return surroundings.ConnectionClosed(f"closed: {exc}")
    return surroundings.CallFailed(f"connection broke: {exc}")


def _decode(data: bytes) -> dict[str, typing.Any]:
    if not data:
        return {}
    try:
        decoded = json.loads(data)
    except ValueError as exc:
        raise surroundings.CallFailed(f"unreadable answer: {exc}") from exc
    return decoded if isinstance(decoded, dict) else {}
