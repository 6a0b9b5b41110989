"""The operators' configuration document: sections in INI, owned by teams.

A section is named ``kind:name``, for example ``[domain:almaty-1]``.  `KINDS` lists the
kinds with their keys.  Each section is stored under the digest of its text; the head
maps sections to digests under one revision.
"""

import configparser
import hashlib
import re

import msgspec

from clementinebay import checked, errors

#: Largest section, in bytes.
MAX_SECTION_BYTES = 100_000
#: Most sections of a document.
MAX_SECTIONS = 5_000
#: What a section may be named.
SECTION_NAME = re.compile(r"[a-z]+:[A-Za-z0-9][A-Za-z0-9._-]{0,99}")


class Key(checked.CheckedValue):
    """One key that sections of a kind may have."""

    __slots__ = ("name",)

    def __init__(self, name, kind, default, help, low=None, high=None, choices=None):
        super().__init__(default, help, kind, low, high, choices)
        self.name = name


#: Kinds of section and their keys.
KINDS = {
    "domain": (
        Key("state", str, "in", "Whether work may run here.", choices=("in", "out")),
        Key("owner", str, "", "Who answers for the section."),
    ),
    "team": (
        Key("processors", float, 0.0, "Quota in processors, 0 for none.", 0.0, 1e6),
        Key("memory_mb", int, 0, "Quota in MB, 0 for none.", 0, 10**9),
        Key("accelerators", int, 0, "Quota, 0 for none.", 0, 10**6),
        Key("owner", str, "", "Who answers for the section."),
    ),
    "service": (
        Key(
            "deadline_seconds",
            float,
            10.0,
            "Deadline when none is given.",
            0.01,
            3600.0,
        ),
        Key("hedge_percent", float, 5.0, "Requests hedged at most.", 0.0, 50.0),
        Key("owner", str, "", "Who answers for the section."),
    ),
}


class Problem:
    """One thing wrong with a document."""

    __slots__ = ("section", "key", "value", "allowed")

    def __init__(self, section, key, value, allowed):
        self.section = section
        self.key = key
        self.value = value
        self.allowed = allowed

    def __str__(self):
        return (
            f"[{self.section}] {self.key} = {self.value!r}: allowed is {self.allowed}"
        )


class SectionRef(msgspec.Struct):
    """Where a section's text is, and the revision that last changed it."""

    digest: str
    revision: int


class Head(msgspec.Struct):
    """One revision of the document.

    ``deleted`` maps sections that were deleted lately to the revision that did it.
    """

    revision: int = 0
    sections: dict[str, SectionRef] = {}
    deleted: dict[str, int] = {}


class Change(msgspec.Struct):
    """An entry of the history: who changed which sections when."""

    revision: int
    author: str
    nonce: str
    at: float
    sections: dict[str, str | None]


def digest(text):
    """Return the digest under which the section ``text`` is stored."""
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def parse(text):
    """Return the parsed document; raise `ConfigInvalidError` if it is not INI."""
    if "\0" in text:
        raise errors.ConfigInvalidError([Problem("*", "*", "\0", "text without NUL")])
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text, source="document")
    except configparser.Error as error:
        raise errors.ConfigInvalidError([error.message]) from error
    return parser


def split(text):
    """Return {section: canonical text} of a document; raise `ConfigInvalidError`."""
    parser = parse(text)
    sections = {name: list(parser.items(name)) for name in parser.sections()}
    problems = [
        Problem(section, key, value, "one line of text")
        for section, items in sections.items()
        for key, value in items
        if "\n" in value
    ]
    if problems:
        raise errors.ConfigInvalidError(problems)
    return {section: canonical(items) for section, items in sections.items()}


def canonical(items):
    """Return the text of (key, value) pairs: one line a key, sorted.

    Equal sections so have equal digests.
    """
    return "".join(f"{key} = {value}\n" for key, value in sorted(items))


def clean(section, text):
    """Return the canonical text of one section; raise `ConfigInvalidError`."""
    if not SECTION_NAME.fullmatch(section):
        raise errors.ConfigInvalidError([_misnamed(section)])
    found = split(f"[{section}]\n{text}")
    if list(found) != [section]:
        raise errors.ConfigInvalidError(
            [Problem(section, "*", list(found)[-1], "one section")]
        )
    return found[section]


def _misnamed(section):
    allowed = ", ".join(f"{kind}:NAME" for kind in KINDS)
    return Problem(section, "*", None, f"a section named {allowed}")


def join(sections):
    """Return the document made of {section: text}."""
    return "\n".join(f"[{name}]\n{text}" for name, text in sorted(sections.items()))


def values(section, text):
    """Return {key: value} of one section with defaults, and its problems."""
    keys = {key.name: key for key in KINDS.get(section.partition(":")[0], ())}
    found = {key.name: key.default for key in keys.values()}
    problems = []
    for name, given in parse(f"[{section}]\n{text}").items(section):
        if name not in keys:
            problems.append(Problem(section, name, given, "one of " + ", ".join(keys)))
            continue
        try:
            found[name] = keys[name].parse(given)
        except ValueError:
            problems.append(Problem(section, name, given, keys[name].allowed))
    return found, problems


def check(sections):
    """Return every problem of a document given as {section: text}."""
    problems = []
    if len(sections) > MAX_SECTIONS:
        problems.append(
            Problem("*", "*", len(sections), f"at most {MAX_SECTIONS} sections")
        )
    for section, text in sections.items():
        kind = section.partition(":")[0]
        if kind not in KINDS or not SECTION_NAME.fullmatch(section):
            problems.append(_misnamed(section))
        elif len(text.encode()) > MAX_SECTION_BYTES:
            allowed = f"at most {MAX_SECTION_BYTES} bytes"
            problems.append(Problem(section, "*", len(text), allowed))
        else:
            problems += values(section, text)[1]
    return problems


class Document:
    """A revision in force: the texts and values of its sections.

    Sections that document ``known`` has alike are not parsed again.
    """

    __slots__ = ("head", "texts", "values")

    def __init__(self, head, texts, known=None):
        self.head = head
        self.texts = texts
        self.values = {}
        for section, text in texts.items():
            if known is not None and known.texts.get(section) == text:
                self.values[section] = known.values[section]
            else:
                self.values[section] = values(section, text)[0]

    @property
    def revision(self):
        """Revision of the document."""
        return self.head.revision

    def get(self, section, key):
        """Return a value; that of an absent section is the default."""
        if section in self.values:
            return self.values[section][key]
        kind = section.partition(":")[0]
        return next(k.default for k in KINDS[kind] if k.name == key)

    def domain_out(self, domain):
        """Return whether operators have taken ``domain`` out."""
        return self.get(f"domain:{domain}", "state") == "out"

    def section_names(self, kind):
        """Return the names of the sections of ``kind``."""
        return [
            section.partition(":")[2]
            for section in self.texts
            if section.partition(":")[0] == kind
        ]


def describe():
    """Yield the lines of a document with every kind of section and key."""
    for kind, keys in KINDS.items():
        yield f"[{kind}:NAME]"
        for key in keys:
            yield f"# {key.help}  Allowed is {key.allowed}."
            yield f"# {key.name} = {key.default}"
        yield ""
