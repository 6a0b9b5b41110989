import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from clementinebay import cmdline

DOCUMENT = "[team:routes]\nprocessors = 40\n\n[domain:a]\nstate = in\n"


class FakeDaemon(BaseHTTPRequestHandler):
    """Answers every call with ``reply`` and records the calls in ``calls``."""

    reply = (200, {})
    calls = []

    def answer(self):
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length)) if length else None
        self.calls.append((self.command, self.path, body))
        status, content = self.reply
        data = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = answer  # noqa: N815

    def log_message(self, *args):
        pass


@pytest.fixture
def daemon():
    server = HTTPServer(("127.0.0.1", 0), FakeDaemon)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    FakeDaemon.calls = []
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "cluster.ini"
    path.write_text(DOCUMENT)
    return str(path)


def run(daemon, *words):
    return cmdline.main(["--daemon", daemon, *words])


def test_submit_sends_count_and_default_urgency(daemon, capsys):
    FakeDaemon.reply = (201, {"name": "call-in", "parts": []})
    assert run(daemon, "--json", "service", "submit", "call-in", "--count", "6") == 0
    method, path, body = FakeDaemon.calls[0]
    assert (method, path) == ("POST", "/v1/jobs")
    assert (body["service"], body["count"], body["urgency"]) == (True, 6, "urgent")
    assert json.loads(capsys.readouterr().out)["name"] == "call-in"


def test_apply_uses_the_revision_in_a_shown_document_as_base(daemon, tmp_path):
    FakeDaemon.reply = (201, {"revision": 8})
    path = tmp_path / "shown.ini"
    path.write_text("# revision 7\n" + DOCUMENT)
    assert run(daemon, "config", "apply", str(path)) == 0
    assert FakeDaemon.calls[0][2]["base"] == 7


def test_apply_sends_canonical_sections_and_deletions(daemon, document):
    FakeDaemon.reply = (201, {"revision": 13})
    words = ["config", "apply", document, "--base", "12", "--delete", "team:old"]
    assert run(daemon, *words) == 0
    _method, _path, body = FakeDaemon.calls[0]
    assert body["base"] == 12
    assert body["sections"] == {
        "team:routes": "processors = 40\n",
        "domain:a": "state = in\n",
        "team:old": None,
    }


@pytest.mark.parametrize(
    ("status", "code"), [(409, 3), (422, 2), (404, 1), (500, 1), (503, 4), (504, 4)]
)
def test_failures_have_documented_exit_codes(daemon, capsys, status, code):
    FakeDaemon.reply = (status, {"code": "some-code", "message": "why"})
    assert run(daemon, "status") == code
    assert "some-code: why" in capsys.readouterr().err


def test_unreachable_daemon_is_exit_code_4(capsys):
    assert run("http://127.0.0.1:9", "status") == 4
    assert "127.0.0.1:9" in capsys.readouterr().err


def test_check_reports_every_problem(tmp_path, capsys):
    path = tmp_path / "bad.ini"
    path.write_text("[team:x]\nprocessors = many\ncolour = red\n[what]\n")
    assert cmdline.main(["config", "check", str(path)]) == 2
    message = capsys.readouterr().err
    for part in ("processors", "colour", "[what]"):
        assert part in message


def test_daemon_refuses_invalid_settings(tmp_path, capsys):
    path = tmp_path / "daemon.ini"
    path.write_text("[front]\nport = none\n")
    assert cmdline.daemon_main(["--settings", str(path)]) == 2
    assert "[front] port = 'none'" in capsys.readouterr().err
