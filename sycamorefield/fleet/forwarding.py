"""Forward callers' requests while the store does not answer this process.

The store may turn some VMs away and serve the others.  A caller whose
attempts all reach VMs that are turned away would get no answer.
"""

import threading
import typing

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages

PROBE_PERIOD_S = 0.5
# Status of an entry process that does not serve a forwarded request.
MISDIRECTED = 421
# Statuses which say that a request was not carried out.
REFUSALS = (429, 503)
# Part of the caller's deadline reserved for delivering the answer.
ANSWER_MARGIN_S = 0.2


class Forwarder:
    """Finds entry processes that the store answers and forwards to them.

    All requests go to one of them as long as it answers, since others may
    know an older configuration.
    """

    def __init__(self, peers: typing.Iterable[interfaces.EntryPeer],
                 serves: typing.Callable[[], bool]) -> None:
        self.peers = tuple(peers)
        # Returns whether the store answers this process.
        self.serves = serves
        # Replaced as a whole.
        self.ready: tuple[interfaces.EntryPeer, ...] = ()
        # The newest configuration that an answer was based on.
        self.config_version = 0
        self.forwarded_total = 0
        self.stopped = threading.Event()

    def replace_peers(self, peers: typing.Iterable[interfaces.EntryPeer]
                      ) -> None:
        """Forward to other processes from the next probe on."""
        earlier, self.peers = self.peers, tuple(peers)
        for peer in earlier:
            peer.close()

    def run(self) -> None:
        """Probe the other processes until stopped."""
        while not self.stopped.wait(PROBE_PERIOD_S):
            try:
                self.probe()
            except Exception as exc:
                events.emit(events.THREAD_FAILED, reason=repr(exc),
                            where=events.error_location(exc))

    def probe(self) -> None:
        """Find out which processes can serve requests, if this one can't."""
        ready = () if self.serves() else tuple(
            peer for peer in self.peers if peer.is_ready())
        if bool(ready) != bool(self.ready):
            events.emit(events.FORWARDING_CHANGED,
                        peers=[peer.address for peer in ready])
        self.ready = ready

    def forward(self, request: messages.CallerRequest
                ) -> messages.ForwardedReply | None:
        """Return another process's answer, or None if nothing was done.

        Raises CallFailed if the request may have been carried out.  A refusal
        is not returned once an earlier attempt may have been carried out.
        """
        unanswered: interfaces.CallFailed | None = None
        for peer in self.ready:
            if clock.now() >= request.deadline - ANSWER_MARGIN_S:
                break
            try:
                reply = peer.send(request)
            except interfaces.CallRefused as exc:
                self._drop(peer, str(exc))
                continue
            except interfaces.CallFailed as exc:
                self._drop(peer, str(exc))
                unanswered = exc
                continue
            if reply.status == MISDIRECTED:
                self._drop(peer, "does not serve the request")
                continue
            if unanswered is not None and reply.status in REFUSALS:
                break
            self.config_version = max(self.config_version,
                                      reply.config_version)
            self.forwarded_total += 1
            return reply
        if unanswered is not None:
            raise unanswered
        return None

    def _drop(self, peer: interfaces.EntryPeer, reason: str) -> None:
        """Forward nothing to a process until it is ready at a probe."""
        events.emit(events.FORWARDING_FAILED, peer=peer.address,
                    reason=reason)
        self.ready = tuple(other for other in self.ready if other is not peer)

    def gauges(self) -> dict[str, float]:
        """Return the metrics of forwarded requests."""
        return {"forwarding_peers": float(len(self.ready)),
                "requests_forwarded_total": float(self.forwarded_total)}
