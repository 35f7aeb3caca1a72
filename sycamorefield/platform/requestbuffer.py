"""Determine whether the bytes received on a connection hold a request."""

import re

# Larger bodies are read by the thread that handles the request.  Hundreds of
# connections may have as much received at a time.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# The HTTP parser rejects larger heads.
MAX_BUFFERED_HEAD_BYTES = 64 * 1024

# The parser rejects bare line feeds, but has to see them to do so.
HEAD_END = re.compile(rb"\n\r?\n")
CONTENT_LENGTH = re.compile(
    rb"^content-length[ \t]*:[ \t]*([0-9]{1,18})[ \t]*\r?$",
    re.IGNORECASE | re.MULTILINE)
TRANSFER_ENCODING = re.compile(
    rb"^transfer-encoding[ \t]*:", re.IGNORECASE | re.MULTILINE)
EXPECT = re.compile(rb"^expect[ \t]*:", re.IGNORECASE | re.MULTILINE)
CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,16}")
TRAILERS_END = re.compile(rb"(\A|\n)\r?\n")


def request_length(data: bytes | bytearray) -> int | None:
    """Return the length of the first request, or None if it is incomplete.

    If more of the request comes only after an answer, or if it is too large
    to buffer, the length of all data is returned.
    """
    head_end = HEAD_END.search(data)
    if head_end is None:
        return len(data) if len(data) > MAX_BUFFERED_HEAD_BYTES else None
    body_begin = head_end.end()
    head = bytes(data[:body_begin])
    if EXPECT.search(head):
        return len(data)
    if TRANSFER_ENCODING.search(head):
        return _chunked_length(data, body_begin)
    content_length = CONTENT_LENGTH.search(head)
    body_bytes = int(content_length.group(1)) if content_length else 0
    if body_bytes > MAX_BUFFERED_BODY_BYTES:
        return len(data)
    length = body_begin + body_bytes
    return length if len(data) >= length else None


def _chunked_length(data: bytes | bytearray, body_begin: int) -> int | None:
    """Return the end of a body in chunks, or None if it is incomplete.

    The HTTP parser handles what is not valid, or too large to buffer.
    """
    if len(data) - body_begin > MAX_BUFFERED_BODY_BYTES:
        return len(data)
    at = body_begin
    while True:
        line_end = data.find(b"\n", at)
        if line_end < 0:
            return None
        size_text = data[at:line_end].partition(b";")[0].strip()
        if not CHUNK_SIZE.fullmatch(size_text):
            return len(data)
        size = int(size_text, 16)
        at = line_end + 1
        if size == 0:
            trailers_end = TRAILERS_END.search(data[at:])
            return None if trailers_end is None else at + trailers_end.end()
        # Each chunk ends with a line end.
        at = data.find(b"\n", at + size) + 1
        if at == 0:
            return None
