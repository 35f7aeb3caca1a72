"""Keep an entry process's rules in step with the key-value service.

The rules live at one key, /config/rules, as a JSON list.  A watch carries
each change; when the watch breaks, the process polls until it can watch
again; while the service is down, peers pass on what they have (peers.py).
A rule set is only ever replaced by one of a higher revision, so an accepted
change never reverts here.
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
    """Build a rule set from the stored JSON list."""
    models = RULE_LIST_ADAPTER.validate_json(raw) if raw else []
    return rules.RuleSet(revision,
                         tuple(rules.from_model(m) for m in models))


def encode(rule_list: list[rules.Rule]) -> bytes:
    """Encode rules as stored."""
    return kvclient.encode([rules.to_dict(rule) for rule in rule_list])


class RuleCache:
    """Hold the newest rule set seen and follow the store."""

    def __init__(self, kv: kvclient.Client, poll_period_s: float) -> None:
        self.kv = kv
        self.poll_period_s = poll_period_s
        self.current = rules.RuleSet()
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.watch_stream: typing.Any = None

    def update_if_newer(self, ruleset: rules.RuleSet) -> bool:
        """Take ruleset if it is newer than the current one."""
        with self.lock:
            if ruleset.revision <= self.current.revision:
                return False
            self.current = ruleset
        events.emit(events.RULES_APPLIED, revision=ruleset.revision,
                    rules=ruleset.names())
        return True

    def loaded(self) -> bool:
        """Return whether any rules were read yet (an empty list counts)."""
        return self.current.revision > 0

    def poll(self) -> bool:
        """Read the rules once; return whether the store answered."""
        got = self.kv.get(RULES_KEY)
        if not isinstance(got, kvclient.result.Success):
            return False
        item = got.unwrap()
        if item is not None:
            self.update_if_newer(parse(item.value, item.mod_revision))
        return True

    def run_poll(self) -> None:
        """Read the rules every poll period, even while a watch is up.

        A watch can hang without an error (a stand-in restarted behind a
        proxy, a lost stream); the poll bounds how stale the rules can get
        by the poll period whatever the watch does.
        """
        while not self.stopped.is_set():
            self.poll()
            self.stopped.wait(self.poll_period_s)

    def run_watch(self) -> None:
        """Watch the rules key, starting again whenever the watch breaks."""
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
                # A broken watch would leave this process on old rules
                # until the next poll; say so in the log, and watch again.
                events.emit(events.WATCH_LOST, key=RULES_KEY,
                            status=str(exc.code() if hasattr(exc, "code")
                                       else exc))
            self.stopped.wait(self.poll_period_s)

    def stop(self) -> None:
        """Stop following the store."""
        self.stopped.set()
        if self.watch_stream is not None:
            self.watch_stream.cancel()
