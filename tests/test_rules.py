"""Decide requests by ordered rules: the first match decides."""

import pytest

from sycamorefield import rules


def _rule(name, action="admit", priority="normal", **when):
    return rules.Rule(name, rules.Condition(**when),
                      rules.Action(action=action, priority=priority))


RULES = rules.RuleSet(7, (
    _rule("owners-no-certs", "reject", customer="owners",
          work="certificate-issue"),
    _rule("certs-urgent", priority="urgent", work="certificate-issue"),
    _rule("batch-low", priority="low", kind="batch"),
))

TABLE = [
    ("owners", "certificate-issue", "latency", "owners-no-certs", "reject"),
    ("surveyors", "certificate-issue", "latency", "certs-urgent", "admit"),
    ("owners", "class-renewal", "batch", "batch-low", "admit"),
    ("owners", "hull-check", "latency", "", "admit"),
]


@pytest.mark.parametrize("customer,work,kind,rule,action", TABLE)
def test_first_matching_rule_decides(customer, work, kind, rule, action):
    decision = RULES.decide(customer, work, kind)
    assert (decision.rule, decision.action.action) == (rule, action)
