"""Reads saved logs of many daemons and tells what they say of one id.

Files hold the lines of `clementinebay.eventlog`; anything before the first brace of a
line, such as a time or a name that a collector put there, is passed over.
"""

import json

from clementinebay import errors

#: Fields whose value an id is looked for in; a task's name begins with its job's id.
ID_FIELDS = ("job", "task", "endpoint")
#: Events that concern every id while they last.
GENERAL_EVENTS = ("term.began", "term.ended", "queues.adopted", "domain.out")
#: Fields that have a place of their own in a line.
PLACED = ("t", "level", "event", "node")


def read_lines(paths):
    """Return the events of all files in order of time; skip what is no event."""
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
    """Return the event of a line, or ``None``."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
    except ValueError:
        return None
    return event if isinstance(event, dict) and {"t", "event"} <= event.keys() else None


def concerns(event, wanted):
    """Return whether an event tells of the id ``wanted``."""
    for field in ID_FIELDS:
        value = str(event.get(field, ""))
        if value == wanted or value.startswith(wanted + "."):
            return True
    return False


def tell(paths, wanted):
    """Return the lines of the story of one job, task or endpoint.

    Changes of the scheduler and of the configuration between its first and its last
    event are among them.  Raises `JobUnknownError` if no event tells of it.
    """
    events = read_lines(paths)
    own = [event for event in events if concerns(event, wanted)]
    if not own:
        raise errors.JobUnknownError(f"no line tells of {wanted}")
    first, last = own[0]["t"], own[-1]["t"]
    lines = []
    for event in events:
        general = event["event"] in GENERAL_EVENTS and first <= event["t"] <= last
        if general or concerns(event, wanted):
            lines.append(show(event, first))
    return lines


def show(event, first):
    """Return one line for an event, with the seconds since the first one."""
    fields = " ".join(
        f"{name}={value}" for name, value in event.items() if name not in PLACED
    )
    offset = event["t"] - first
    return f"+{offset:8.3f} {event.get('node', ''):16} {event['event']:20} {fields}"
