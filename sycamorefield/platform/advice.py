"""Speak to the platform's advice service."""

from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.platform import calls

# Beyond what the policy says a call takes: its way and its turn behind the
# calls of the same VM.
SLACK_S = 1.0


class PlatformAdvice(interfaces.AdviceService):
    """Ask over HTTP, one call at a time."""

    def __init__(self, address: str) -> None:
        self.caller = calls.Caller(address, 1)

    def advise(self, step: str, workers: tuple[str, ...],
               policy: messages.AdvicePolicy) -> messages.Advice:
        """Return a ticket for each worker that may run a step."""
        expected_ms = policy.decide_ms + policy.per_worker_ms * len(workers)
        answer = self.caller.call(
            "POST", "/-/advise", expected_ms / 1000.0 + SLACK_S,
            {"step": step, "workers": list(workers)})
        if answer.status in (429, 503):
            raise interfaces.CallRefused(
                f"advice service answers {answer.status}")
        if answer.status != 200:
            raise interfaces.CallFailed(
                f"advice service answers {answer.status}")
        valid_ms = answer.body.get("valid_ms")
        return messages.Advice(
            {str(row[0]): str(row[1])
             for row in answer.body.get("good") or []},
            None if valid_ms is None else float(valid_ms))
