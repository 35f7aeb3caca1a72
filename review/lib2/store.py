"""Stand-in of the platform's metadata store.

Usage: store.py OPERATOR_ADDRESS ADDRESS...

Each daemon gets an address of its own, so that the test can turn single
daemons away.  The operator and the workers use the operator's address, which
also takes `POST /-/standin`:

    {"put": {"key": ..., "value": ..., "ttl_ms": ...}}   write a key
    {"remove": KEY}                                      remove a key
    {"fault": {"address": ..., "mode": ...}}             set a daemon's fault
    {"items": PREFIX}                                    list keys

Modes: "" (none), "busy" (503), "silent" (no answer, not carried out), "lost"
(writes are carried out, the connection closes without an answer).
"""

import asyncio
import base64
import collections
import itertools
import sys
import time
import typing

import httpserver

HISTORY_S = 20.0
MIN_TTL_MS = 1000
MAX_TTL_MS = 600_000
PAGE_ITEMS = 500
MAX_ENTRIES = 32
VALUE_BYTES = 1_048_576
ANSWER_S = 0.004
SILENT_S = 30.0
Answer = tuple[int, httpserver.Body] | None


class Store:
    """Items, leases and the history of changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0
        self.items: dict[str, httpserver.Body] = {}
        # (revision, when, event) of each change.
        self.history: collections.deque[
            tuple[int, float, httpserver.Body]] = collections.deque()
        # TTL in ms, and when the lease ends.
        self.leases: dict[int, tuple[int, float]] = {}
        self.lease_ids = itertools.count(1001)
        self.changed = asyncio.Event()
        self.faults: dict[str, str] = {}

    def _record(self, event: httpserver.Body) -> None:
        now = time.monotonic()
        self.history.append((event["rev"], now, event))
        while self.history and now - self.history[0][1] > HISTORY_S:
            self.compacted = self.history.popleft()[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: str, lease: int, revision: int) -> None:
        created = self.items.get(key, {}).get("created", revision)
        self.items[key] = {"key": key, "value": value, "rev": revision,
                           "created": created, "lease": lease}
        self._record(dict(self.items[key]))

    def remove(self, key: str, revision: int) -> None:
        if self.items.pop(key, None) is not None:
            self._record({"key": key, "rev": revision, "deleted": True})

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items()
                if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.remove(key, self.revision)

    def transact(self, body: httpserver.Body) -> Answer:
        expects = body.get("precondition") or []
        puts, removes = body.get("puts") or [], body.get("remove") or []
        if len(expects) + len(puts) + len(removes) > MAX_ENTRIES:
            return 400, {"error": "too many entries"}
        if any(len(base64.b64decode(row["value"])) > VALUE_BYTES
               for row in puts):
            return 400, {"error": "value too long"}
        current = [self.items.get(row["key"]) for row in expects]
        if any((item["rev"] if item else 0) != row["rev"]
               for row, item in zip(expects, current)):
            return 412, {"items": [item for item in current if item]}
        if any(row.get("lease") and row["lease"] not in self.leases
               for row in puts):
            return 404, {}
        self.revision += 1
        for row in puts:
            self.put(row["key"], row["value"], row.get("lease", 0),
                     self.revision)
        for key in removes:
            self.remove(key, self.revision)
        return 200, {"rev": self.revision}

    async def watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["prefix"], int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000.0
        while True:
            if after < self.compacted:
                return 410, {}
            events = [event for revision, _, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def grant(self, ttl_ms: int) -> Answer:
        ttl_ms = max(MIN_TTL_MS, min(MAX_TTL_MS, ttl_ms))
        lease = next(self.lease_ids)
        self.leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1000.0
        return 200, {"lease": lease, "ttl_ms": ttl_ms}

    def renew(self, lease: int) -> Answer:
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1000.0
        return 200, {"ttl_ms": ttl_ms}

    async def expire(self) -> None:
        while True:
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if now >= ends_at:
                    self.end_lease(lease)
            await asyncio.sleep(0.01)

    async def execute(self, request: httpserver.Request) -> Answer:
        """Carry out a call of a daemon."""
        query, path = request.query, request.path
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            known = {"current_rev": self.revision}
            return (200, {**item, **known}) if item else (404, known)
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"])
                          and key > query.get("after", ""))
            return 200, {"items": [self.items[key]
                                   for key in keys[:PAGE_ITEMS]],
                         "has_more": len(keys) > PAGE_ITEMS,
                         "current_rev": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return self.transact(request.body)
        if path == "/-/kv-lease":
            return self.grant(int(request.body["ttl_ms"]))
        if path.startswith("/-/kv-keep/"):
            return self.renew(int(path.rsplit("/", 1)[1]))
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, {"error": "no such call"}

    async def serve_daemon(self, request: httpserver.Request) -> Answer:
        mode = self.faults.get(request.listener, "")
        if mode == "busy":
            return 503, {}
        if mode == "silent":
            await asyncio.sleep(SILENT_S)
            return None
        if request.path != "/-/kv-watch":
            await asyncio.sleep(ANSWER_S)
        answer = await self.execute(request)
        if mode == "lost" and request.method == "POST":
            return None
        return answer

    async def serve_operator(self, request: httpserver.Request) -> Answer:
        body = request.body
        if "put" in body:
            row = body["put"]
            self.revision += 1
            value = base64.b64encode(row["value"].encode()).decode()
            lease = 0
            if row.get("ttl_ms"):
                lease = self.items.get(row["key"], {}).get("lease", 0)
                if lease not in self.leases:
                    lease = next(self.lease_ids)
                self.leases[lease] = (row["ttl_ms"], time.monotonic()
                                      + row["ttl_ms"] / 1000.0)
            self.put(row["key"], value, lease, self.revision)
        elif "remove" in body:
            self.revision += 1
            self.remove(body["remove"], self.revision)
        elif "fault" in body:
            self.faults[body["fault"]["address"]] = body["fault"]["mode"]
        elif "items" in body:
            return 200, {"items": [
                {"key": key, "rev": item["rev"], "value": base64.b64decode(
                    item["value"]).decode("utf-8", "replace")}
                for key, item in sorted(self.items.items())
                if key.startswith(body["items"])]}
        return 200, {"rev": self.revision}


async def _main(operator: str, addresses: typing.Sequence[str]) -> None:
    store = Store()
    for address, handler in [(operator, store.serve_operator)] + [
            (address, store.serve_daemon) for address in addresses]:
        host, _, port = address.rpartition(":")
        await httpserver.listen(host, int(port), handler)
    await store.expire()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], sys.argv[2:]))
