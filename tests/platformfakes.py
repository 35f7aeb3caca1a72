"""Fake HTTP servers of the platform's store and workers, with faults.

The wire formats are deliberately written out a second time here, so that the
adapter is tested against the platform's formats and not against itself.
"""

import base64
import http.server
import json
import socket
import struct
import threading
import time
import typing
import urllib.parse

from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from tests import fleetfakes

Body = dict[str, typing.Any]


class FaultyServer:
    """HTTP server that answers JSON calls and can inject a fault.

    Values of fault: "" (none), "busy" (status 503), "many" (status 429),
    "lost" (execute the call, then close the connection without a response),
    "reset" (the same, but reset the connection), "silent" (neither execute
    nor answer for 3 s) and "slow" (answer after 0.3 s).
    """

    def __init__(self, handle: typing.Callable[
            [str, str, Body, Body], tuple[int, Body]]) -> None:
        self.handle = handle
        self.fault = ""
        self.calls: list[str] = []
        self.headers: list[dict[str, str]] = []
        fake_server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def serve(self) -> None:
                fake_server.respond(self)

            do_GET = do_POST = do_DELETE = serve

            def log_message(self, *args: object) -> None:
                """Log nothing."""

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0),
                                                      Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,),
                         daemon=True).start()

    def respond(self, request: http.server.BaseHTTPRequestHandler) -> None:
        length = int(request.headers.get("Content-Length") or 0)
        body = json.loads(request.rfile.read(length) or b"{}")
        path, _, query = request.path.partition("?")
        query_fields = {k: v[0]
                        for k, v in urllib.parse.parse_qs(query).items()}
        self.calls.append(path)
        self.headers.append(dict(request.headers))
        if self.fault == "silent":
            time.sleep(3)
            request.close_connection = True
            return
        if self.fault == "slow":
            time.sleep(0.3)
        if self.fault in ("busy", "many"):
            status, reply = (503 if self.fault == "busy" else 429), {}
        else:
            status, reply = self.handle(
                request.command, path, query_fields, body)
        if self.fault == "reset":
            # With a linger time of 0, closing resets the connection.
            request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          struct.pack("ii", 1, 0))
            request.connection.close()
        if self.fault in ("lost", "reset"):
            request.close_connection = True
            return
        data = json.dumps(reply).encode()
        request.send_response(status)
        request.send_header("Content-Length", str(len(data)))
        request.end_headers()
        request.wfile.write(data)

    def close(self) -> None:
        """Stop serving."""
        self.server.shutdown()
        self.server.server_close()


def _row(item: messages.Item) -> Body:
    return {"key": item.key, "rev": item.revision,
            "created": item.created_revision,
            "value": base64.b64encode(item.value).decode()}


class StoreServer(FaultyServer):
    """HTTP server of the platform's store, backed by a MemoryStore."""

    PAGE_SIZE = 2

    def __init__(self) -> None:
        super().__init__(self._handle)
        self.memory = fleetfakes.MemoryStore()

    def _handle(self, method: str, path: str, query: Body,
                body: Body) -> tuple[int, Body]:
        try:
            return self._serve(path, query, body)
        except interfaces.HistoryCompacted:
            return 410, {}
        except interfaces.LeaseEnded:
            return 404, {}
        except interfaces.Conflict as exc:
            return 412, {"items": [_row(item) for item in exc.items]}

    def _serve(self, path: str, query: Body, body: Body) -> tuple[int, Body]:
        memory = self.memory
        if path == "/-/kv-key":
            item = memory.get(query["key"])
            if item is None:
                return 404, {"current_rev": memory.revision}
            return 200, {**_row(item), "current_rev": memory.revision}
        if path == "/-/kv-range":
            listing = memory.listing(query["prefix"])
            remaining = [i for i in listing.items
                         if i.key > query.get("after", "")]
            return 200, {"items": [_row(i)
                                   for i in remaining[:self.PAGE_SIZE]],
                         "has_more": len(remaining) > self.PAGE_SIZE,
                         "current_rev": listing.revision}
        if path == "/-/kv-watch":
            changes = memory.watch(query["prefix"], int(query["after"]),
                                   int(query["wait_ms"]))
            return 200, {"current_rev": changes.revision, "events": [
                _row(c.item) if c.item else
                {"key": c.key, "rev": c.revision, "deleted": True}
                for c in changes.changes]}
        if path == "/-/kv-txn":
            return 200, {"rev": memory.commit(messages.Transaction(
                tuple(messages.Expect(e["key"], e["rev"])
                      for e in body["precondition"]),
                tuple(messages.Put(p["key"], base64.b64decode(p["value"]),
                                   p.get("lease", 0))
                      for p in body["puts"]), tuple(body["remove"])))}
        if path == "/-/kv-lease":
            return 200, {"lease": memory.grant(body["ttl_ms"]),
                         "ttl_ms": body["ttl_ms"]}
        memory.renew(int(path.rsplit("/", 1)[1]))
        return 200, {"ttl_ms": 2000}
