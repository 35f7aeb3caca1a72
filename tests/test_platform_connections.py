"""Test that some clients of a listener don't delay the others."""

import contextlib
import http.client
import socket
import threading
import time
import types

import cherrypy
from cherrypy.process import servers
import pytest

from sycamorefield.platform import bufferingserver
from sycamorefield.platform import daemon

CLIENTS = 40
OTHER_CALLERS = 20
MAX_DELAY_S = 1.0
BODY = b'{"spec": "s"}'
HEAD = (b"POST /echo HTTP/1.1\r\nHost: h\r\n"
        b"Content-Length: %d\r\n\r\n" % len(BODY))
CHUNKED_HEAD = (b"POST /echo HTTP/1.1\r\nHost: h\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n")
# What clients send before they fall silent.
FIRST_BYTES = [b"", b"P", b"GET / HTTP/1.1\r\nHost: h\r\n", HEAD[:-1], HEAD,
               HEAD + BODY[:-1], CHUNKED_HEAD, CHUNKED_HEAD + b"5\r\nab",
               CHUNKED_HEAD + b"1\r\na\r\n0\r\n"]


def echo(environ, start_response):
    """Respond with the request's body, as the front reads it."""
    length = environ.get("CONTENT_LENGTH")
    body = environ["wsgi.input"].read(*([int(length)] if length else []))
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@contextlib.contextmanager
def running_listener(threads):
    cherrypy.config.update({"environment": "embedded", "log.screen": False})
    cherrypy.tree.graft(echo, "/echo")
    listener = daemon._start_server("127.0.0.1:0", threads)
    try:
        yield listener, listener.httpserver.socket.getsockname()
    finally:
        listener.stop()
        del cherrypy.tree.apps["/echo"]


@pytest.fixture(params=[daemon.FRONT_THREADS, daemon.ADMIN_THREADS])
def address(request):
    with running_listener(request.param) as (_, address):
        yield address


def test_listener_starts_without_polling(monkeypatch):
    """Guards against successors of a killed owner that start late.

    Each listener delayed the start of its process, and so its claim, by 0.1 s.
    """
    def fail(seconds):
        raise AssertionError(f"start sleeps for {seconds} s")

    monkeypatch.setattr(servers, "time", types.SimpleNamespace(sleep=fail))
    with running_listener(daemon.ADMIN_THREADS) as (_, address):
        assert call(address) == (200, BODY)


def test_failed_start_of_a_listener_is_raised():
    adapter = bufferingserver.ServerAdapter()
    adapter.httpserver, _ = adapter.httpserver_from_self()
    adapter.interrupt = OSError("address in use")
    with pytest.raises(OSError, match="address in use"):
        adapter.wait()


def connect(address):
    return socket.create_connection(address, timeout=5.0)


def receive_response(connection):
    response = http.client.HTTPResponse(connection)
    response.begin()
    return response.status, response.read()


def call(address):
    connection = http.client.HTTPConnection(*address, timeout=5.0)
    try:
        connection.request("POST", "/echo", BODY)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def timed_calls(address):
    """Return the results of simultaneous calls and the longest duration."""
    results, durations_s = [], []

    def call_once():
        began = time.monotonic()
        try:
            results.append(call(address))
        except OSError as exc:
            results.append(exc)
        durations_s.append(time.monotonic() - began)
    threads = [threading.Thread(target=call_once)
               for _ in range(OTHER_CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results, max(durations_s)


@pytest.mark.parametrize("first_bytes", FIRST_BYTES)
def test_incomplete_requests_do_not_delay_other_callers(address, first_bytes):
    """Guards against idle clients that occupy all threads of a listener."""
    with contextlib.ExitStack() as stack:
        for _ in range(CLIENTS):
            client = stack.enter_context(connect(address))
            client.sendall(first_bytes)
        time.sleep(0.1)
        results, longest_s = timed_calls(address)
    assert results == [(200, BODY)] * OTHER_CALLERS
    assert longest_s < MAX_DELAY_S


@pytest.mark.parametrize("size", [
    b"-6", b"-1", b"-10000", b"+5", b"0x5", b"1_0", b"", b"x", b"9" * 40])
def test_malformed_chunk_does_not_delay_other_callers(address, size):
    """Guards against a request that a listener looks through for ever."""
    with contextlib.ExitStack() as stack:
        client = stack.enter_context(connect(address))
        client.sendall(CHUNKED_HEAD + size + b"\r\n")
        time.sleep(0.1)
        results, longest_s = timed_calls(address)
    assert results == [(200, BODY)] * OTHER_CALLERS
    assert longest_s < MAX_DELAY_S


def test_slow_senders_do_not_delay_other_callers(address):
    """Guards against a time limit that each received byte extends."""
    stopped = threading.Event()
    with contextlib.ExitStack() as stack:
        clients = [stack.enter_context(connect(address))
                   for _ in range(CLIENTS)]

        def send_slowly():
            for number in range(len(HEAD)):
                for client in clients:
                    with contextlib.suppress(OSError):
                        client.sendall(HEAD[number:number + 1])
                if stopped.wait(0.02):
                    return
        sender = threading.Thread(target=send_slowly)
        sender.start()
        time.sleep(0.2)
        results, longest_s = timed_calls(address)
        stopped.set()
        sender.join()
    assert results == [(200, BODY)] * OTHER_CALLERS
    assert longest_s < MAX_DELAY_S


@pytest.mark.parametrize("request_bytes", [
    HEAD + BODY, CHUNKED_HEAD + b"d\r\n" + BODY + b"\r\n0\r\n\r\n",
    CHUNKED_HEAD + b"5\r\n" + BODY[:5] + b"\r\n8\r\n" + BODY[5:]
    + b"\r\n0\r\n\r\n"])
@pytest.mark.parametrize("step", [1, 7, 1000])
def test_requests_in_pieces_are_answered(address, request_bytes, step):
    """Guards against requests cut at the borders of what was received."""
    with connect(address) as client:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(2):
            for begin in range(0, len(request_bytes), step):
                client.sendall(request_bytes[begin:begin + step])
                time.sleep(0.001)
            assert receive_response(client) == (200, BODY)


def test_data_that_looks_like_a_last_chunk_is_read(address):
    """Guards against a body that is cut where its data holds an empty line."""
    body = b"[1,\n0\n\n]"
    with connect(address) as client:
        client.sendall(CHUNKED_HEAD + b"%x\r\n" % len(body) + body
                       + b"\r\n0\r\n\r\n")
        assert receive_response(client) == (200, body)


def test_pipelined_requests_are_answered_in_turn(address):
    """Guards against requests lost behind the one being processed."""
    with connect(address) as client:
        client.sendall((HEAD + BODY) * 3 + HEAD)
        data = b""
        while data.count(BODY) < 3:
            data += client.recv(1000)
        client.sendall(BODY)
        assert receive_response(client) == (200, BODY)
    assert data.count(b"HTTP/1.1 200 OK") == 3


def test_body_sent_after_continue_response_is_read(address):
    """Guards against waiting for a body that the client holds back."""
    with connect(address) as client:
        client.sendall(HEAD[:-2] + b"Expect: 100-continue\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 100 Continue")
        client.sendall(BODY)
        assert receive_response(client) == (200, BODY)


def test_open_connections_are_used_beside_silent_ones(address):
    """Guards against silent clients that take the place of kept connections.

    The response to each request would ask its client to connect anew.
    """
    with contextlib.ExitStack() as stack:
        client = stack.enter_context(connect(address))
        for _ in range(CLIENTS):
            stack.enter_context(connect(address))
        time.sleep(0.1)
        for _ in range(3):
            client.sendall(HEAD + BODY)
            response = http.client.HTTPResponse(client)
            response.begin()
            assert response.getheader("Connection") != "close"
            assert response.read() == BODY


def test_request_received_before_stop_is_answered():
    """Guards against requests lost on open connections at a stop."""
    with running_listener(2) as (listener, address):
        with connect(address) as client:
            client.sendall(HEAD + BODY)
            assert receive_response(client) == (200, BODY)
            client.sendall(HEAD)
            time.sleep(0.1)
            client.sendall(BODY)
            listener.stop()
            assert receive_response(client) == (200, BODY)


def test_connections_without_a_request_are_bounded(monkeypatch):
    """Guards against silent clients that use all files of the process."""
    monkeypatch.setattr(bufferingserver, "MAX_WAITING_CONNECTIONS", 5)
    with running_listener(2) as (listener, address):
        with contextlib.ExitStack() as stack:
            kept = stack.enter_context(connect(address))
            kept.sendall(HEAD + BODY)
            assert receive_response(kept) == (200, BODY)
            clients = [stack.enter_context(connect(address))
                       for _ in range(CLIENTS)]
            assert clients[0].recv(1) == b""
            deadline = time.monotonic() + MAX_DELAY_S
            receiver = listener.httpserver._connections
            while (len(receiver.waiting) > 5
                   and time.monotonic() < deadline):
                time.sleep(0.01)
            assert len(receiver.waiting) == 5
            kept.sendall(HEAD + BODY)
            assert receive_response(kept) == (200, BODY)


@pytest.mark.parametrize("first_bytes, limit", [
    (b"", "IDLE_TIMEOUT_S"), (HEAD, "REQUEST_TIMEOUT_S")])
def test_incomplete_requests_end_in_time(monkeypatch, first_bytes, limit):
    """Guards against connections that stay open without a request."""
    monkeypatch.setattr(bufferingserver, limit, 0.2)
    with running_listener(2) as (_, address), connect(address) as client:
        client.sendall(first_bytes)
        began = time.monotonic()
        assert client.recv(1) == b""
        assert time.monotonic() - began < 0.2 + 2 * MAX_DELAY_S


def test_complete_request_is_carried_out_although_its_caller_leaves():
    """Guards against taking a closed connection for a cancelled request."""
    done = threading.Event()

    def note(environ, start_response):
        assert environ["wsgi.input"].read(len(BODY)) == BODY
        done.set()
        return echo(environ, start_response)
    with running_listener(daemon.FRONT_THREADS) as (_, address):
        cherrypy.tree.graft(note, "/echo")
        with connect(address) as connection:
            connection.sendall(HEAD + BODY)
        assert done.wait(5.0)
