"""Parser of KNOWN-RED.txt, the list of known test failures.

An entry is a block of lines ``key: value`` with the keys test, command, seed, seen and
issue.  Blocks are separated by blank lines; lines that start with # are comments.
"""

import os

KEYS = ("test", "command", "seed", "seen", "issue")
PATH = os.path.join(os.path.dirname(os.path.dirname(__file__)), "KNOWN-RED.txt")


class Entry:
    """A known test failure."""

    __slots__ = KEYS

    def __init__(self, fields):
        for key in KEYS:
            setattr(self, key, fields.get(key, ""))


def read(path=PATH):
    """Return the entries of the file; raise `ValueError` if one is incomplete."""
    with open(path, encoding="utf-8") as file:
        lines = [line for line in file.read().splitlines() if line[:1] != "#"]
    entries = []
    for block in "\n".join(lines).split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines() if line)
        if not fields:
            continue
        missing = [key for key in KEYS if not fields.get(key)]
        if missing:
            raise ValueError(f"KNOWN-RED.txt: {fields} lacks {missing}")
        entries.append(Entry(fields))
    return entries
