"""Malformed, oversize and slow input is refused and affects no other client."""

import socket
import struct
import threading
import time

import httpx
import msgspec
import pytest

from clementinebay import thriftcodec
from clementinebay.peer import frame
from clementinebay.peer.wire import ttypes as wire
from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

MAX_FRAME_BYTES = 2_000_000
BODY_SECONDS = 1.0


def envelope(kind, payload):
    return frame.encode(wire.Envelope(1, kind, 1e12, "", payload), MAX_FRAME_BYTES)


MALFORMED_FRAMES = {
    "other-version": struct.pack(">IB", 4, 99) + b"abcd",
    "too-large": struct.pack(">IB", 2**31, frame.VERSION),
    "truncated": struct.pack(">IB", 1000, frame.VERSION) + b"abc",
    "noise": struct.pack(">IB", 64, frame.VERSION) + bytes(range(64)),
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
}
EMPTY_OR_INVALID_MESSAGES = {
    "empty-forward": envelope(wire.Kind.FORWARD, thriftcodec.encode(wire.Forward())),
    "broken-forward": envelope(wire.Kind.FORWARD, b"\xff" * 50),
    "empty-gossip": envelope(wire.Kind.GOSSIP, thriftcodec.encode(wire.Gossip())),
    "empty-config": envelope(wire.Kind.CONFIG, thriftcodec.encode(wire.ConfigQuery())),
    "empty-spans": envelope(wire.Kind.SPANS, thriftcodec.encode(wire.SpansQuery())),
    "reply": envelope(wire.Kind.REPLY, b""),
}
MALFORMED_HTTP = {
    "not-http": b"\x00\xff\x16\x03\x01 hello\r\n\r\n",
    "bad-length": b"POST /v1/services/call-in/requests HTTP/1.1\r\n"
    b"Content-Length: -5\r\n\r\n",
    "two-lengths": b"POST /v1/services/call-in/requests HTTP/1.1\r\nHost: a\r\n"
    b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
    "huge-header": b"GET /health HTTP/1.1\r\nX: " + b"x" * 500_000 + b"\r\n\r\n",
    "bad-chunk": b"POST /v1/services/call-in/requests HTTP/1.1\r\nHost: a\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
}


@pytest.fixture(scope="module")
def system():
    with Cluster(
        ("a", "b"),
        daemons=1,
        endpoints=1,
        extra=helpers.SHORT_SETTINGS,
        body_seconds=BODY_SECONDS,
    ) as cluster:
        helpers.start_service(cluster, cluster.daemons[0], 2)
        yield cluster


@pytest.fixture
def daemon(system):
    """A daemon that must serve another client meanwhile and must log no traceback."""
    daemon = system.daemons[0]
    stopping = threading.Event()
    outcomes = []

    def send_requests():
        while not stopping.is_set():
            outcomes.append(helpers.outcome(helpers.request(daemon)))

    thread = threading.Thread(target=send_requests)
    thread.start()
    wait_for("answers", lambda: len(outcomes) > 2)
    try:
        yield daemon
        before = len(outcomes)
        wait_for("answers", lambda: len(outcomes) > before + 2)
    finally:
        stopping.set()
        thread.join()
    assert set(outcomes) == {"done"}
    assert daemon.process.child.poll() is None
    with open(daemon.process.path, encoding="utf-8") as log:
        assert "Traceback" not in log.read()


def exchange(port, data, seconds=3.0):
    """Send ``data`` and read until closed or timed out; return (received, closed)."""
    received = b""
    with socket.create_connection(("127.0.0.1", port), timeout=seconds) as connection:
        try:
            connection.sendall(data)
            while chunk := connection.recv(65536):
                received += chunk
        except ConnectionError:
            return received, True
        except TimeoutError:
            return received, False
    return received, True


@pytest.mark.parametrize("name", MALFORMED_FRAMES)
def test_malformed_frame_closes_its_connection(daemon, name):
    if name == "truncated":
        with socket.create_connection(("127.0.0.1", daemon.peer)) as connection:
            connection.sendall(MALFORMED_FRAMES[name])
        return
    assert exchange(daemon.peer, MALFORMED_FRAMES[name]) == (b"", True)


@pytest.mark.parametrize("name", EMPTY_OR_INVALID_MESSAGES)
def test_message_with_an_empty_or_invalid_payload_is_answered(daemon, name):
    with socket.create_connection(
        ("127.0.0.1", daemon.peer), timeout=3.0
    ) as connection:
        connection.sendall(EMPTY_OR_INVALID_MESSAGES[name])
        header = connection.recv(frame.HEADER.size, socket.MSG_WAITALL)
        length = frame.check_header(header, MAX_FRAME_BYTES)
        reply = frame.decode(connection.recv(length, socket.MSG_WAITALL))
    assert reply.id == 1
    if reply.kind == wire.Kind.ERROR:
        assert thriftcodec.decode(wire.Failure, reply.payload).code
    else:
        assert name in ("empty-config", "empty-spans", "empty-gossip")


@pytest.mark.parametrize("name", MALFORMED_HTTP)
def test_malformed_http_is_refused(daemon, name):
    received, closed = exchange(daemon.front, MALFORMED_HTTP[name])
    assert received.startswith(b"HTTP/1.1 4") or (closed and not received)


def test_huge_body_is_refused(daemon):
    answer = helpers.request(daemon, body=b"x" * 5_000_000)
    assert (answer.status_code, answer.json()["code"]) == (400, "bad-request")


@pytest.mark.parametrize("deadline", ["soon", "nan", "-1", "1e400"])
def test_invalid_deadline_is_refused(daemon, deadline):
    answer = helpers.request(daemon, X_Deadline=deadline)
    assert helpers.outcome(answer) == "not-run"


def test_slow_senders_delay_no_other_client(daemon):
    slow = []
    for _number in range(50):
        connection = socket.create_connection(("127.0.0.1", daemon.front))
        connection.sendall(
            b"POST /v1/services/call-in/requests HTTP/1.1\r\nHost: a\r\n"
        )
        slow.append(connection)
    answer = helpers.request(daemon)
    assert helpers.outcome(answer) == "done"
    for connection in slow:
        connection.close()


def send_slowly(port, head, seconds, chunked=False):
    """Send ``head``, then single bytes of a body until the connection is closed.

    Give up after ``seconds``; return (received, closed).
    """
    received = b""
    give_up_at = time.monotonic() + seconds
    with socket.create_connection(("127.0.0.1", port), timeout=0.1) as connection:
        connection.sendall(head)
        while time.monotonic() < give_up_at:
            try:
                chunk = connection.recv(65536)
                received += chunk
                if not chunk:
                    return received, True
            except ConnectionError:
                return received, True
            except TimeoutError:
                pass
            try:
                connection.sendall(b"1\r\nx\r\n" if chunked else b"x")
            except ConnectionError:
                pass
    return received, False


REQUEST = b"POST /v1/services/call-in/requests HTTP/1.1\r\nHost: a\r\n"
SLOW_BODIES = {
    "request": REQUEST + b"Content-Length: 900\r\n\r\n",
    "chunked": REQUEST + b"Transfer-Encoding: chunked\r\n\r\n",
    "second": b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n"
    + REQUEST
    + b"Content-Length: 900\r\n\r\n",
    "operator": b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
    b"Content-Type: application/json\r\nContent-Length: 900\r\n\r\n",
}


@pytest.mark.parametrize("name", SLOW_BODIES)
def test_slow_body_is_refused_and_only_its_connection_closed(daemon, name):
    with httpx.Client() as other:
        other.get(f"{daemon.url}/health")
        received, closed = send_slowly(
            daemon.front, SLOW_BODIES[name], BODY_SECONDS + 5.0, name == "chunked"
        )
        assert other.get(f"{daemon.url}/health").status_code == 200
    head, _end, body = received.rpartition(b"\r\n\r\n")
    assert closed
    assert b"HTTP/1.1 408 " in head
    assert b"X-Outcome: not-run" in head
    assert msgspec.json.decode(body)["code"] == "slow-body"


def test_slow_body_that_no_handler_reads_closes_its_connection(daemon):
    head = b"GET /health HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n"
    received, closed = send_slowly(daemon.front, head, BODY_SECONDS + 5.0)
    assert closed
    assert received.startswith(b"HTTP/1.1 200")
    assert b"408" not in received


def test_body_that_arrives_in_time_is_accepted(daemon):
    with socket.create_connection(
        ("127.0.0.1", daemon.front), timeout=5.0
    ) as connection:
        connection.sendall(REQUEST + b"Connection: close\r\nContent-Length: 4\r\n\r\n")
        for byte in b"tank":
            connection.sendall(bytes([byte]))
            helpers.pause(BODY_SECONDS / 10)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"tank")


INVALID_SECTIONS = {
    "unknown-kind": {"planet:mars": "state = out"},
    "unknown-key": {"domain:a": "colour = red"},
    "repeated-key": {"domain:a": "state = in\nstate = out"},
    "out-of-range": {"service:call-in": "hedge_percent = 1e9"},
    "other-section": {"domain:z": "state = in\n[domain:a]\nstate = out"},
    "section-in-name": {"domain:z]\nstate = out\n[domain:a": "state = out"},
    "not-ini": {"domain:a": "just words"},
    "huge": {"domain:a": "owner = " + "x" * 900_000},
}


@pytest.mark.parametrize("name", INVALID_SECTIONS)
def test_invalid_section_is_refused(daemon, name):
    before = helpers.CLIENT.get(f"{daemon.url}/v1/config").json()
    answer = helpers.apply_config(daemon, INVALID_SECTIONS[name], 99)
    assert (answer.status_code, answer.json()["code"]) == (422, "config-invalid")
    assert answer.json()["problems"]
    assert helpers.CLIENT.get(f"{daemon.url}/v1/config").json() == before
