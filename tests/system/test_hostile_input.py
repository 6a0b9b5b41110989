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

LIMIT = 2_000_000
BODY_SECONDS = 1.0


def envelope(kind, payload):
    return frame.encode(wire.Envelope(1, kind, 1e12, "", payload), LIMIT)


FRAMES = {
    "other-version": struct.pack(">IB", 4, 99) + b"abcd",
    "too-large": struct.pack(">IB", 2**31, frame.VERSION),
    "truncated": struct.pack(">IB", 1000, frame.VERSION) + b"abc",
    "noise": struct.pack(">IB", 64, frame.VERSION) + bytes(range(64)),
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
}
PAYLOADS = {
    "empty-forward": envelope(wire.Kind.FORWARD, thriftcodec.encode(wire.Forward())),
    "broken-forward": envelope(wire.Kind.FORWARD, b"\xff" * 50),
    "empty-gossip": envelope(wire.Kind.GOSSIP, thriftcodec.encode(wire.Gossip())),
    "empty-config": envelope(wire.Kind.CONFIG, thriftcodec.encode(wire.ConfigQuery())),
    "empty-spans": envelope(wire.Kind.SPANS, thriftcodec.encode(wire.SpansQuery())),
    "reply": envelope(wire.Kind.REPLY, b""),
}
HTTP = {
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
    """The daemon under attack, while another client is served by it without a fault."""
    daemon = system.daemons[0]
    stopping = threading.Event()
    outcomes = []

    def others():
        while not stopping.is_set():
            outcomes.append(helpers.outcome(helpers.request(daemon)))

    thread = threading.Thread(target=others)
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
    """Send ``data``, then read to the end; return (bytes, whether it was closed)."""
    received = b""
    with socket.create_connection(("127.0.0.1", port), timeout=seconds) as opened:
        try:
            opened.sendall(data)
            while chunk := opened.recv(65536):
                received += chunk
        except ConnectionError:
            return received, True
        except TimeoutError:
            return received, False
    return received, True


@pytest.mark.parametrize("name", FRAMES)
def test_broken_frame_closes_its_connection(daemon, name):
    if name == "truncated":
        with socket.create_connection(("127.0.0.1", daemon.peer)) as opened:
            opened.sendall(FRAMES[name])
        return
    assert exchange(daemon.peer, FRAMES[name]) == (b"", True)


@pytest.mark.parametrize("name", PAYLOADS)
def test_broken_message_gets_a_typed_error(daemon, name):
    with socket.create_connection(("127.0.0.1", daemon.peer), timeout=3.0) as opened:
        opened.sendall(PAYLOADS[name])
        header = opened.recv(frame.HEADER.size, socket.MSG_WAITALL)
        length = frame.check_header(header, LIMIT)
        reply = frame.decode(opened.recv(length, socket.MSG_WAITALL))
    assert reply.id == 1
    if reply.kind == wire.Kind.ERROR:
        assert thriftcodec.decode(wire.Failure, reply.payload).code
    else:
        assert name in ("empty-config", "empty-spans", "empty-gossip")


@pytest.mark.parametrize("name", HTTP)
def test_malformed_http_is_refused(daemon, name):
    received, closed = exchange(daemon.front, HTTP[name])
    assert received.startswith(b"HTTP/1.1 4") or (closed and not received)


def test_huge_body_is_refused(daemon):
    answer = helpers.request(daemon, body=b"x" * 5_000_000)
    assert (answer.status_code, answer.json()["code"]) == (400, "bad-request")


@pytest.mark.parametrize("deadline", ["soon", "nan", "-1", "1e400"])
def test_broken_deadline_is_refused(daemon, deadline):
    answer = helpers.request(daemon, X_Deadline=deadline)
    assert helpers.outcome(answer) == "not-run"


def test_slow_senders_hold_up_nobody(daemon):
    slow = []
    for _number in range(50):
        opened = socket.create_connection(("127.0.0.1", daemon.front))
        opened.sendall(b"POST /v1/services/call-in/requests HTTP/1.1\r\nHost: a\r\n")
        slow.append(opened)
    answer = helpers.request(daemon)
    assert helpers.outcome(answer) == "done"
    for opened in slow:
        opened.close()


def trickle(port, head, seconds, chunked=False):
    """Send ``head`` and bytes of a body until closed; return (what came, closed)."""
    received = b""
    limit = time.monotonic() + seconds
    with socket.create_connection(("127.0.0.1", port), timeout=0.1) as opened:
        opened.sendall(head)
        while time.monotonic() < limit:
            try:
                chunk = opened.recv(65536)
                received += chunk
                if not chunk:
                    return received, True
            except ConnectionError:
                return received, True
            except TimeoutError:
                pass
            try:
                opened.sendall(b"1\r\nx\r\n" if chunked else b"x")
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
        received, closed = trickle(
            daemon.front, SLOW_BODIES[name], BODY_SECONDS + 5.0, name == "chunked"
        )
        assert other.get(f"{daemon.url}/health").status_code == 200
    head, _end, body = received.rpartition(b"\r\n\r\n")
    assert closed
    assert b"HTTP/1.1 408 " in head
    assert b"X-Outcome: not-run" in head
    assert msgspec.json.decode(body)["code"] == "slow-body"


def test_slow_body_that_nobody_reads_is_closed(daemon):
    head = b"GET /health HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n"
    received, closed = trickle(daemon.front, head, BODY_SECONDS + 5.0)
    assert closed
    assert received.startswith(b"HTTP/1.1 200")
    assert b"408" not in received


def test_body_that_comes_in_time_is_taken(daemon):
    with socket.create_connection(("127.0.0.1", daemon.front), timeout=5.0) as opened:
        opened.sendall(REQUEST + b"Connection: close\r\nContent-Length: 4\r\n\r\n")
        for byte in b"tank":
            opened.sendall(bytes([byte]))
            helpers.pause(BODY_SECONDS / 10)
        received = b""
        while chunk := opened.recv(65536):
            received += chunk
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"tank")


BROKEN_SECTIONS = {
    "unknown-kind": {"planet:mars": "state = out"},
    "unknown-key": {"domain:a": "colour = red"},
    "repeated-key": {"domain:a": "state = in\nstate = out"},
    "out-of-range": {"service:call-in": "hedge_percent = 1e9"},
    "other-section": {"domain:z": "state = in\n[domain:a]\nstate = out"},
    "section-in-name": {"domain:z]\nstate = out\n[domain:a": "state = out"},
    "not-ini": {"domain:a": "just words"},
    "huge": {"domain:a": "owner = " + "x" * 900_000},
}


@pytest.mark.parametrize("name", BROKEN_SECTIONS)
def test_broken_section_is_refused(daemon, name):
    before = helpers.CLIENT.get(f"{daemon.url}/v1/config").json()
    answer = helpers.apply_config(daemon, BROKEN_SECTIONS[name], 99)
    assert (answer.status_code, answer.json()["code"]) == (422, "config-invalid")
    assert answer.json()["problems"]
    assert helpers.CLIENT.get(f"{daemon.url}/v1/config").json() == before
