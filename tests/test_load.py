"""Let the load tool tell what became of the jobs it submitted."""

import pytest

from sycamorefield import load


class ScriptedClient:
    """A caller whose cancellations are answered in order."""

    def __init__(self, *statuses):
        self.statuses = list(statuses)

    def delete(self, path):
        return self.statuses.pop(0)


CANCELLATIONS = [
    # the statuses answered in turn, whether the job counts as cancelled
    ((200,), True),
    ((404,), False),
    ((503, 200), True),
    ((0, 504, 200), True),
    ((503,) * load.MAX_ATTEMPTS, False),
]


@pytest.mark.parametrize("statuses,cancelled", CANCELLATIONS)
def test_cancellation_is_repeated_until_its_outcome_is_known(
        statuses, cancelled, monkeypatch):
    """Come back for the outcome of a cancellation.

    Symptom: a run reports an accepted job that never finished.

    Sequence: a cancellation is answered "unknown, come back" while the
    store is down; it takes effect when the store is back.

    Cause: the load tool took the answer for a no and waited for the job.
    """
    monkeypatch.setattr(load.time, "sleep", lambda seconds: None)
    client = ScriptedClient(*statuses)
    assert load.cancel(client, "j1") == cancelled
    assert not client.statuses
