"""Histories of an id, reconstructed from the saved logs of several daemons."""

import json

import pytest

from clementinebay import cmdline, errors, story

JOB = "5c0e7a21d94b36f8"


def write(path, *events):
    """Write events as log lines with the prefix of a log collector; return the path."""
    path.write_text("".join(f"12.5 d1 {json.dumps(event)}\n" for event in events))
    return str(path)


@pytest.fixture
def logs(tmp_path):
    first = write(
        tmp_path / "d1.log",
        {"t": 10.0, "event": "job.accepted", "node": "d1", "job": JOB, "tasks": 1},
        {"t": 10.2, "event": "job.accepted", "node": "d1", "job": "f" * 16},
        {"t": 12.0, "event": "job.ended", "node": "d1", "job": JOB, "state": "failed"},
    )
    second = write(
        tmp_path / "d2.log",
        {"t": 5.0, "event": "term.began", "node": "d2", "term": 0},
        {"t": 11.0, "event": "task.ended", "node": "d2", "task": f"{JOB}.0.0.0"},
        {"t": 11.5, "event": "term.began", "node": "d2", "term": 1},
    )
    with open(second, "a", encoding="utf-8") as file:
        file.write("no event\n{broken\n")
    return [first, second]


def test_history_is_sorted_by_time_and_includes_term_changes(logs):
    lines = story.history_lines(logs, JOB)
    assert [line.split()[3] for line in lines] == [
        "job.accepted",
        "task.ended",
        "term.began",
        "job.ended",
    ]
    assert lines[0].startswith("+   0.000")
    assert "state=failed" in lines[-1]


def test_history_of_one_task(logs):
    assert len(story.history_lines(logs, f"{JOB}.0.0.0")) == 1


def test_unknown_id(logs):
    with pytest.raises(errors.JobUnknownError):
        story.history_lines(logs, "0" * 16)


def test_command(logs, capsys):
    assert cmdline.main(["story", JOB, *logs]) == 0
    assert "task.ended" in capsys.readouterr().out
    assert cmdline.main(["story", "0" * 16, *logs]) == 1
    assert cmdline.main(["story", JOB, "/nowhere"]) == 2
