"""Test decisions by ordered rules and the seeding of rules."""

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
    """Check that seeding the rules is retried until the store is up.

    An entry process starts before the key-value service.  If it tried only
    once to store the rules of the settings and ignored the failure, a new
    deployment would run without rules, and urgent work would wait like any
    other.
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
