"""Client of the platform's advice service."""

from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.platform import jsonclient

# Added to the duration that the policy states for a call: the network latency
# and the wait behind other calls of the same VM.
RESPONSE_SLACK_S = 1.0


class PlatformAdvice(interfaces.AdviceService):
    """Calls the advice service over HTTP, over a single pooled connection."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.client = jsonclient.JsonClient(address, 1)

    def advise(self, step: str, workers: tuple[str, ...],
               policy: messages.AdvicePolicy) -> messages.Advice:
        """Return a ticket for each worker that may run a step."""
        expected_ms = policy.decide_ms + policy.per_worker_ms * len(workers)
        response = self.client.call(
            "POST", "/-/advise", expected_ms / 1000.0 + RESPONSE_SLACK_S,
            {"step": step, "workers": list(workers)})
        if response.status in (429, 503):
            raise interfaces.CallRefused(
                f"advice service answers {response.status}")
        if response.status != 200:
            raise interfaces.CallFailed(
                f"advice service answers {response.status}")
        return jsonclient.decode_or_fail(_decode_advice, response.body)


def _decode_advice(body: jsonclient.Body) -> messages.Advice:
    valid_ms = body.get("valid_ms")
    return messages.Advice(
        {str(row[0]): str(row[1]) for row in body.get("good") or []},
        None if valid_ms is None else float(valid_ms))
