"""Tests of the outcomes that the load tool reports for its jobs."""

import pytest

from sycamorefield import load
from sycamorefield import settings


class ScriptedClient(load.EntryClient):
    """A client whose cancellations are answered with the given statuses."""

    def __init__(self, *statuses):
        super().__init__(load_options())
        self.statuses = list(statuses)

    def delete(self, url):
        return self.statuses.pop(0)


def load_options():
    return settings.load(None).unwrap()


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


class PartialClient(load.EntryClient):
    """A client that only one of the entry processes answers."""

    def __init__(self, answering):
        super().__init__(load_options())
        self.answering = self.urls[answering]

    def post(self, url, body):
        return (202, {}) if url.startswith(self.answering) else (0, {})

    def delete(self, url):
        return 200 if url.startswith(self.answering) else 0


REQUESTS = [
    lambda client: load._submit_with_retries(client, {"job_id": "j1"}),
    lambda client: load.cancel(client, "j1"),
]


@pytest.mark.parametrize("request_job", REQUESTS)
@pytest.mark.parametrize("answering", [0, 1, 2])
@pytest.mark.parametrize("others", [0, 1, 2])
def test_attempts_of_a_request_go_to_all_entry_processes(
        request_job, answering, others, monkeypatch):
    """Send the next attempt to another entry process than the last one.

    Guards against a job that is given up although an entry process answers:
    with other requests in between, all attempts went to one that was stopped.
    """
    client = PartialClient(answering)

    def send_other_requests(seconds):
        for _ in range(others):
            client.next_url()

    monkeypatch.setattr(load.time, "sleep", send_other_requests)
    assert request_job(client)
