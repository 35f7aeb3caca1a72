"""Client of the platform's metadata store."""

import base64
import typing
import urllib.parse

from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.platform import jsonclient

# Slow responses of the store take up to about 0.3 s (72 times 4 ms).
CALL_TIMEOUT_S = 1.0
COMMIT_TIMEOUT_S = 0.6
# A watch without changes is answered when its wait ends.  If no response has
# arrived this long after that, the connection is considered dead.
WATCH_SLACK_S = 0.5
MAX_IDLE_CONNECTIONS = 12
REFUSED_STATUSES = (429, 503)
# Responses to a transaction that would be the same to a repeat of it.
INVALID_STATUSES = (400, 403, 413)


class PlatformStore(interfaces.Store):
    """Calls the store over HTTP."""

    def __init__(self, address: str, max_value_bytes: int =
                 interfaces.DEFAULT_MAX_VALUE_BYTES) -> None:
        self.max_value_bytes = max_value_bytes
        self.client = jsonclient.JsonClient(address, MAX_IDLE_CONNECTIONS)

    def _call(self, method: str, path: str,
              body: dict[str, typing.Any] | None = None,
              timeout_s: float = CALL_TIMEOUT_S) -> jsonclient.JsonResponse:
        response = self.client.call(method, path, timeout_s, body)
        if response.status in REFUSED_STATUSES:
            raise interfaces.CallRefused(f"store answers {response.status}")
        return response

    def get(self, key: str) -> messages.Item | None:
        """Return the item under a key, or None."""
        response = self._call("GET", "/-/kv-key?" + _query_string(key=key))
        if response.status == 404:
            return None
        _require_ok(response)
        return jsonclient.decode_or_fail(_decode_item, response.body)

    def listing(self, prefix: str) -> messages.Listing:
        """Return all items under a prefix, fetched page by page."""
        items: list[messages.Item] = []
        revision = 0
        after = ""
        while True:
            page = self._page(prefix, after, revision)
            revision = page.revision
            items += page.items
            if not page.has_more:
                return messages.Listing(tuple(items), revision)
            after = page.items[-1].key

    def stale_page(self, prefix: str, after: str) -> messages.Page:
        """Return a page of items, at a tenth of the price of a listing."""
        return self._page(prefix, after, 0, serializable=1)

    def _page(self, prefix: str, after: str, revision: int,
              **options: int) -> messages.Page:
        if after:
            query = _query_string(prefix=prefix, after=after, **options)
        else:
            query = _query_string(prefix=prefix, **options)
        response = self._call("GET", "/-/kv-range?" + query)
        _require_ok(response)
        return jsonclient.decode_or_fail(
            lambda body: _decode_page(body, revision), response.body)

    def watch(self, prefix: str, after: int,
              wait_ms: int) -> messages.Changes:
        """Wait for changes under a prefix after a revision."""
        query = _query_string(prefix=prefix, after=after, wait_ms=wait_ms)
        response = self._call("GET", "/-/kv-watch?" + query,
                              timeout_s=wait_ms / 1000.0 + WATCH_SLACK_S)
        if response.status == 410:
            raise interfaces.HistoryCompacted(str(after))
        _require_ok(response)
        return jsonclient.decode_or_fail(
            lambda body: _decode_changes(body, after), response.body)

    def commit(self, transaction: messages.Transaction) -> int:
        """Commit a transaction and return its revision."""
        body = {"precondition": [{"key": expect.key, "rev": expect.revision}
                                 for expect in transaction.expects],
                "puts": [_encode_put(put) for put in transaction.puts],
                "remove": list(transaction.removes)}
        response = self._call("POST", "/-/kv-txn", body, COMMIT_TIMEOUT_S)
        if response.status == 412:
            raise interfaces.Conflict(jsonclient.decode_or_fail(
                _decode_existing_items, response.body))
        if response.status == 404:
            raise interfaces.LeaseEnded("lease of a put has ended")
        if response.status in INVALID_STATUSES:
            raise interfaces.CallInvalid(f"store answers {response.status}")
        _require_ok(response)
        return jsonclient.decode_or_fail(
            lambda body: int(body["rev"]), response.body)

    def grant(self, ttl_ms: int) -> int:
        """Return the ID of a new lease that expires after ttl_ms."""
        response = self._call("POST", "/-/kv-lease", {"ttl_ms": ttl_ms})
        _require_ok(response)
        return jsonclient.decode_or_fail(
            lambda body: int(body["lease"]), response.body)

    def renew(self, lease: int) -> None:
        """Renew a lease; raises LeaseEnded if it no longer exists."""
        response = self._call("POST", f"/-/kv-keep/{lease}", {})
        if response.status == 404:
            raise interfaces.LeaseEnded(str(lease))
        _require_ok(response)


def _query_string(**fields: object) -> str:
    return urllib.parse.urlencode(fields)


def _require_ok(response: jsonclient.JsonResponse) -> None:
    if response.status != 200:
        raise interfaces.CallFailed(f"store answers {response.status}")


def _decode_item(row: dict[str, typing.Any]) -> messages.Item:
    return messages.Item(row["key"], base64.b64decode(row.get("value", "")),
                         int(row["rev"]), int(row.get("created", 0)))


def _decode_page(body: jsonclient.Body, revision: int) -> messages.Page:
    """Return a page of a listing, with the revision of the first page.

    The first page must name it: an answer without one would be taken for the
    listing of an empty store.
    """
    items = tuple(_decode_item(row) for row in body.get("items") or [])
    return messages.Page(items, revision or int(body["current_rev"]),
                         bool(body.get("has_more")) and bool(items))


def _decode_existing_items(body: jsonclient.Body
                           ) -> tuple[messages.Item, ...]:
    return tuple(_decode_item(row) for row in body.get("items") or []
                 if row.get("rev"))


def _decode_changes(body: jsonclient.Body, after: int) -> messages.Changes:
    return messages.Changes(
        tuple(_decode_change(row) for row in body.get("events") or []),
        int(body.get("current_rev", after)))


def _decode_change(row: dict[str, typing.Any]) -> messages.Change:
    item = None if row.get("deleted") else _decode_item(row)
    return messages.Change(row["key"], int(row["rev"]), item)


def _encode_put(put: messages.Put) -> dict[str, typing.Any]:
    row: dict[str, typing.Any] = {
        "key": put.key, "value": base64.b64encode(put.value).decode()}
    if put.lease:
        row["lease"] = put.lease
    return row
