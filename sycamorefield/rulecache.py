"""Cache the rules that are stored in the key-value service.

The rules are a JSON list under one key, /config/rules.  A watch delivers
each change, and polling covers a watch that breaks or hangs.  While the
service is down, peers send newer rules to each other (see peers.py).  A rule
set is replaced only by one with a higher revision, so that an accepted
change is never reverted here.
"""

import threading
import typing

import pydantic

from sycamorefield import events
from sycamorefield import kvclient
from sycamorefield import rules

RULES_KEY = "/config/rules"
RULE_LIST_ADAPTER = pydantic.TypeAdapter(list[rules.RuleModel])


def parse(raw: bytes, revision: int) -> rules.RuleSet:
    """Parse a rule set from its stored JSON list."""
    models = RULE_LIST_ADAPTER.validate_json(raw) if raw else []
    return rules.RuleSet(revision,
                         tuple(rules.from_model(m) for m in models))


def encode(rule_list: list[rules.Rule]) -> bytes:
    """Encode rules as they are stored."""
    return kvclient.encode([rules.to_dict(rule) for rule in rule_list])


class RuleCache:
    """Hold the newest known rule set and follow changes in the store."""

    def __init__(self, kv: kvclient.Client, poll_period_s: float) -> None:
        self.kv = kv
        self.poll_period_s = poll_period_s
        self.current = rules.RuleSet()
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.watch_stream: typing.Any = None

    def update_if_newer(self, ruleset: rules.RuleSet) -> bool:
        """Replace the rules if ruleset is newer; return whether it was."""
        with self.lock:
            if ruleset.revision <= self.current.revision:
                return False
            self.current = ruleset
        events.emit(events.RULES_APPLIED, revision=ruleset.revision,
                    rules=ruleset.names())
        return True

    def loaded(self) -> bool:
        """Return whether rules were read; an empty list counts as rules."""
        return self.current.revision > 0

    def poll(self) -> bool:
        """Read the rules once; return whether the store answered."""
        reply = self.kv.get(RULES_KEY)
        if not isinstance(reply, kvclient.result.Success):
            return False
        item = reply.unwrap()
        if item is not None:
            self.update_if_newer(parse(item.value, item.mod_revision))
        return True

    def run_poll(self) -> None:
        """Read the rules every poll period, even while a watch is open.

        A watch can hang without an error, for example after a restart of
        the service behind a proxy or when the stream is lost.  Polling
        limits the age of the rules to the poll period in that case.
        """
        while not self.stopped.is_set():
            self.poll()
            self.stopped.wait(self.poll_period_s)

    def run_watch(self) -> None:
        """Watch the rules key; restart the watch whenever it breaks."""
        while not self.stopped.is_set():
            try:
                self.watch_stream = self.kv.watch(RULES_KEY, start_revision=(
                    self.current.revision + 1))
                for event in self.watch_stream:
                    if event.kind == event.PUT:
                        self.update_if_newer(parse(event.item.value,
                                                   event.item.mod_revision))
            except kvclient.grpc.RpcError as exc:
                if self.stopped.is_set():
                    return
                # The rules may be stale until the next poll, so log it and
                # watch again.
                events.emit(events.WATCH_LOST, key=RULES_KEY,
                            status=str(exc.code() if hasattr(exc, "code")
                                       else exc))
            self.stopped.wait(self.poll_period_s)

    def stop(self) -> None:
        """Stop polling and watching."""
        self.stopped.set()
        if self.watch_stream is not None:
            self.watch_stream.cancel()
