"""Parse HTTP/1.1 responses with httptools, a parser written in C."""

import dataclasses

import httptools

from sycamorefield.fleet import interfaces


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status and undecoded body of a response."""

    status: int
    body: bytes


class ResponseParser:
    """Parse the responses of one connection, one after the other.

    The parser and this object refer to each other: new ones for each response
    would leave reference cycles that only the garbage collector frees, and
    tens of megabytes of them would pile up between two collections.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body_parts: list[bytes] = []
        self.response: Response | None = None
        # Whether the last response allows another request.
        self.reusable = False

    def begin(self) -> None:
        """Expect the response to the next request."""
        self.body_parts = []
        self.response = None

    def on_body(self, part: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """Store the complete response; called by the parser."""
        self.response = Response(int(self.parser.get_status_code()),
                                 b"".join(self.body_parts))
        self.reusable = bool(self.parser.should_keep_alive())

    def feed(self, data: bytes) -> Response | None:
        """Parse received bytes; return the response once it is complete.

        No bytes mean that the server closed the connection.  Raises
        CallFailed or ConnectionClosed.
        """
        if not data:
            raise self._closed_error()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as exc:
            raise interfaces.CallFailed(f"not HTTP: {exc!r}") from exc
        return self.response

    def _closed_error(self) -> interfaces.CallFailed:
        """Return the error for a connection closed before a full response.

        A worker that shuts down closes its connections properly, between
        responses.  A network failure resets them while the worker goes on.
        """
        if self.body_parts:
            return interfaces.CallFailed("answer broke off")
        return interfaces.ConnectionClosed("closed before an answer")

    def close(self) -> None:
        """Break the reference cycle."""
        del self.parser
