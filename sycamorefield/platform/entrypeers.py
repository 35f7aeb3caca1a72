"""Requests that entry processes forward to each other, over HTTP."""

import base64
import typing

import pydantic

from sycamorefield.fleet import clock
from sycamorefield.fleet import interfaces
from sycamorefield.fleet import messages
from sycamorefield.platform import jsonclient

PATH = "/-/forwarded"
READY_PATH = "/-/ready"
DEADLINE_HEADER = "HTTP_SYCAMOREFIELD_DEADLINE"
READY_TIMEOUT_S = 0.5
# Longer than a process takes for a request while the store answers, so that
# there is time for another attempt before most callers give up.
ANSWER_TIMEOUT_S = 1.2
MAX_IDLE_CONNECTIONS = 4


class RequestModel(pydantic.BaseModel):
    """A forwarded request; the body is Base64."""

    method: str
    path: str
    host: str
    body: pydantic.Base64Bytes = b""
    deadline_ms: float = pydantic.Field(gt=0, allow_inf_nan=False)
    config_version: int = 0


class ReplyModel(pydantic.BaseModel):
    """The answer to a forwarded request."""

    status: int
    body: dict[str, typing.Any] = {}
    retry_after_s: int = 0
    config_version: int = 0


class HttpEntryPeer(interfaces.EntryPeer):
    """Calls the control address of another entry process."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.client = jsonclient.JsonClient(address, MAX_IDLE_CONNECTIONS)

    def is_ready(self) -> bool:
        """Return whether it serves callers' requests."""
        try:
            response = self.client.call("GET", READY_PATH, READY_TIMEOUT_S)
        except interfaces.CallFailed:
            return False
        return response.status == 200

    def send(self, request: messages.CallerRequest
             ) -> messages.ForwardedReply:
        """Return its answer; raises CallRefused or CallFailed."""
        left_s = request.deadline - clock.now()
        response = self.client.call(
            "POST", PATH, min(ANSWER_TIMEOUT_S, max(0.01, left_s)), {
                "method": request.method, "path": request.path,
                "host": request.host,
                "body": base64.b64encode(request.body).decode(),
                "deadline_ms": max(1.0, left_s * 1000.0),
                "config_version": request.config_version})
        if response.status != 200:
            raise interfaces.CallFailed(f"peer answers {response.status}")
        reply = jsonclient.decode_or_fail(
            ReplyModel.model_validate, response.body)
        return messages.ForwardedReply(
            reply.status, reply.body, reply.retry_after_s,
            reply.config_version)

    def close(self) -> None:
        """Close idle connections."""
        self.client.close()


def decode(data: bytes) -> RequestModel:
    """Return a forwarded request; raises ValidationError."""
    return RequestModel.model_validate_json(data)


def environ_of(request: RequestModel) -> dict[str, typing.Any]:
    """Return the WSGI environment of the caller's request without a body."""
    return {"REQUEST_METHOD": request.method, "PATH_INFO": request.path,
            "HTTP_HOST": request.host,
            DEADLINE_HEADER: str(request.deadline_ms)}
