"""Decide requests by ordered rules: the first match decides."""

import threading
import time

import pytest

from sycamorefield import entry
from sycamorefield import rulecache
from sycamorefield import rules
from tests import deployment
from tests import standins


def _rule(name, action="admit", priority="normal", **when):
    return rules.Rule(name, rules.Condition(**when),
                      rules.Action(action=action, priority=priority))


RULES = rules.RuleSet(7, (
    _rule("owners-no-certs", "reject", customer="owners",
          work="certificate-issue"),
    _rule("certs-urgent", priority="urgent", work="certificate-issue"),
    _rule("batch-low", priority="low", kind="batch"),
))

DECISIONS = [
    ("owners", "certificate-issue", "latency", "owners-no-certs", "reject"),
    ("surveyors", "certificate-issue", "latency", "certs-urgent", "admit"),
    ("owners", "class-renewal", "batch", "batch-low", "admit"),
    ("owners", "hull-check", "latency", "", "admit"),
]


@pytest.mark.parametrize("customer,work,kind,rule,action", DECISIONS)
def test_first_matching_rule_decides(customer, work, kind, rule, action):
    decision = RULES.decide(customer, work, kind)
    assert (decision.rule, decision.action.action) == (rule, action)


def test_rules_from_settings_are_stored_when_store_starts_last():
    """Seed the settings' rules even when the store starts last.

    Symptom: a fresh deployment runs with no rules; urgent work waits
    with the rest.

    Sequence: an entry process starts while the key-value service is not
    up yet; the service comes up.

    Cause: the rules were offered to the store once, at start, and a
    failure was ignored.
    """
    kv = standins.Kv()
    try:
        opts = standins.sample_options(kv.port)
        kv.faults(down=True)
        stopped = threading.Event()
        threading.Thread(target=entry.seed_rules, daemon=True,
                         args=(opts, kv.client, stopped)).start()
        time.sleep(0.3)
        kv.faults()
        assert deployment.wait_until(
            lambda: rulecache.RULES_KEY in kv.store.items, 3)
    finally:
        stopped.set()
        kv.close()
