"""A small HTTP/1.1 server for the stand-ins, on asyncio."""

import asyncio
import json
import typing
import urllib.parse
import zlib

Body = dict[str, typing.Any]


class Request(typing.NamedTuple):
    """A received request; the body is decoded JSON."""

    listener: str
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Body


# Returns status and body, or None to close the connection without an answer.
Handler = typing.Callable[
    [Request], typing.Awaitable[tuple[int, Body] | None]]


def ticket(step: str, worker: str) -> str:
    """Return the ticket of a worker for a step."""
    return f"{zlib.crc32(f'{step} {worker}'.encode()):08x}"


async def _read(reader: asyncio.StreamReader,
                listener: str) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    data = await reader.readexactly(int(headers.get("content-length") or 0))
    path, _, query = target.partition("?")
    fields = {name: values[0] for name, values in
              urllib.parse.parse_qs(query, keep_blank_values=True).items()}
    return Request(listener, method, urllib.parse.unquote(path), fields,
                   headers, json.loads(data) if data else {})


async def listen(host: str, port: int, handler: Handler) -> None:
    """Serve requests at an address; each call may take as long as it likes."""
    listener = f"{host}:{port}"

    async def serve(reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await _read(reader, listener)) is not None:
                answer = await handler(request)
                if answer is None:
                    return
                data = json.dumps(answer[1]).encode()
                writer.write((f"HTTP/1.1 {answer[0]} Status\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n"
                              ).encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    await asyncio.start_server(serve, host, port, backlog=256)
