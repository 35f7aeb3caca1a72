"""Tests of the outcomes that the load tool reports for its jobs."""

import pytest

from sycamorefield import load


class ScriptedClient:
    """A client whose cancellations are answered with the given statuses."""

    def __init__(self, *statuses):
        self.statuses = list(statuses)

    def delete(self, path):
        return self.statuses.pop(0)


CANCELLATIONS = [
    # statuses of the answers in order, whether the job counts as cancelled
    ((200,), True),
    ((404,), False),
    ((503, 200), True),
    ((0, 504, 200), True),
    ((503,) * load.MAX_ATTEMPTS, False),
]


@pytest.mark.parametrize("statuses,cancelled", CANCELLATIONS)
def test_cancellation_is_repeated_until_its_outcome_is_known(
        statuses, cancelled, monkeypatch):
    """Retry a cancellation until its outcome is known.

    While the store is down, a cancellation is answered with "outcome unknown,
    retry"; it takes effect when the store is reachable again.  If the load
    tool takes that answer for a failure, it waits for the job and reports an
    accepted job that never finished.
    """
    monkeypatch.setattr(load.time, "sleep", lambda seconds: None)
    client = ScriptedClient(*statuses)
    assert load.cancel(client, "j1") == cancelled
    assert not client.statuses
