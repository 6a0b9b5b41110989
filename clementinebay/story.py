"""Reconstructs the history of an id from the saved logs of many daemons.

The files contain lines of `clementinebay.eventlog`.  Anything before the first brace of
a line, such as a timestamp or host name added by a log collector, is ignored.
"""

import json

from clementinebay import errors

#: Fields in which an id is searched; the name of a task starts with the id of its job.
ID_FIELDS = ("job", "task", "endpoint")
#: Events that are relevant to every id.
GENERAL_EVENTS = ("term.began", "term.ended", "queues.adopted", "domain.out")
#: Fields that are shown in their own column, or not at all.
COLUMN_FIELDS = ("t", "level", "event", "node")


def read_lines(paths):
    """Return the events of all files, sorted by time; other lines are skipped."""
    events = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                event = decode(line)
                if event is not None:
                    events.append(event)
    events.sort(key=lambda event: event["t"])
    return events


def decode(line):
    """Return the event in a line, or ``None`` if the line contains none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
    except ValueError:
        return None
    return event if isinstance(event, dict) and {"t", "event"} <= event.keys() else None


def mentions(event, id):
    """Return whether ``event`` refers to ``id`` or, for a job, to one of its tasks."""
    for field in ID_FIELDS:
        value = str(event.get(field, ""))
        if value == id or value.startswith(id + "."):
            return True
    return False


def history_lines(paths, id):
    """Return the history of one job, task or endpoint, one line per event.

    `GENERAL_EVENTS` between its first and its last event are included, such as changes
    of the scheduler.  Raises `JobUnknownError` if no event refers to ``id``.
    """
    events = read_lines(paths)
    matching = [event for event in events if mentions(event, id)]
    if not matching:
        raise errors.JobUnknownError(f"no event refers to {id}")
    first, last = matching[0]["t"], matching[-1]["t"]
    lines = []
    for event in events:
        general = event["event"] in GENERAL_EVENTS and first <= event["t"] <= last
        if general or mentions(event, id):
            lines.append(format_event(event, first))
    return lines


def format_event(event, first):
    """Return the line for an event, with its offset from time ``first`` in seconds."""
    fields = " ".join(
        f"{name}={value}" for name, value in event.items() if name not in COLUMN_FIELDS
    )
    offset = event["t"] - first
    return f"+{offset:8.3f} {event.get('node', ''):16} {event['event']:20} {fields}"
