"""The operators' configuration document: INI sections that are owned by teams.

A section is named ``kind:name``, for example ``[domain:almaty-1]``.  `KINDS` lists the
kinds and their keys.  The text of each section is stored under its digest; the head
holds the document's revision and the digest of each section.
"""

import configparser
import hashlib
import re

import msgspec

from clementinebay import checked, errors

#: Maximum size of a section, in bytes.
MAX_SECTION_BYTES = 100_000
#: Maximum number of sections in a document.
MAX_SECTIONS = 5_000
#: Valid section names.
SECTION_NAME = re.compile(r"[a-z]+:[A-Za-z0-9][A-Za-z0-9._-]{0,99}")


class Key(checked.CheckedValue):
    """A key that sections of one kind may contain."""

    __slots__ = ("name",)

    def __init__(self, name, kind, default, help, low=None, high=None, choices=None):
        super().__init__(default, help, kind, low, high, choices)
        self.name = name


#: Section kinds and their keys.
KINDS = {
    "domain": (
        Key(
            "state",
            str,
            "in",
            "Whether work may run in the domain.",
            choices=("in", "out"),
        ),
        Key("owner", str, "", "Person or team responsible for the section."),
    ),
    "team": (
        Key("processors", float, 0.0, "Quota in processors, 0 for none.", 0.0, 1e6),
        Key("memory_mb", int, 0, "Quota in MB, 0 for none.", 0, 10**9),
        Key("accelerators", int, 0, "Quota, 0 for none.", 0, 10**6),
        Key("owner", str, "", "Person or team responsible for the section."),
    ),
    "service": (
        Key(
            "deadline_seconds",
            float,
            10.0,
            "Deadline of requests that give none.",
            0.01,
            3600.0,
        ),
        Key(
            "hedge_percent", float, 5.0, "Maximum share of hedged requests.", 0.0, 50.0
        ),
        Key("owner", str, "", "Person or team responsible for the section."),
    ),
}


class Problem:
    """A validation error in a document."""

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
    """The digest of a section's text and the revision that last changed it."""

    digest: str
    revision: int


class Head(msgspec.Struct):
    """One revision of the document.

    ``deleted`` maps recently deleted sections to the revisions that deleted them.
    """

    revision: int = 0
    sections: dict[str, SectionRef] = {}
    deleted: dict[str, int] = {}


class Change(msgspec.Struct):
    """An entry of the history: the changed sections, the author and the time."""

    revision: int
    author: str
    nonce: str
    at: float
    sections: dict[str, str | None]


def digest(text):
    """Return the digest under which the section ``text`` is stored."""
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def parse(text):
    """Parse ``text``; raise `ConfigInvalidError` if it is not valid INI."""
    if "\0" in text:
        raise errors.ConfigInvalidError([Problem("*", "*", "\0", "text without NUL")])
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text, source="document")
    except configparser.Error as error:
        raise errors.ConfigInvalidError([error.message]) from error
    return parser


def split(text):
    """Return {section: canonical text} of a document.

    Raises `ConfigInvalidError` if the document is malformed.
    """
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
    """Return (key, value) pairs as text, one line per key, sorted by key.

    Sections with equal contents therefore have equal digests.
    """
    return "".join(f"{key} = {value}\n" for key, value in sorted(items))


def clean(section, text):
    """Return the canonical form of one section's ``text``.

    Raises `ConfigInvalidError` if the section's name or text is invalid.
    """
    if not SECTION_NAME.fullmatch(section):
        raise errors.ConfigInvalidError([_invalid_name_problem(section)])
    found = split(f"[{section}]\n{text}")
    if list(found) != [section]:
        raise errors.ConfigInvalidError(
            [Problem(section, "*", list(found)[-1], "one section")]
        )
    return found[section]


def _invalid_name_problem(section):
    allowed = ", ".join(f"{kind}:NAME" for kind in KINDS)
    return Problem(section, "*", None, f"a section named {allowed}")


def join(sections):
    """Return the text of the document with ``sections``, a {section: text}."""
    return "\n".join(f"[{name}]\n{text}" for name, text in sorted(sections.items()))


def section_values(section, text):
    """Return {key: value} of one section with defaults filled in, and its problems."""
    keys = {key.name: key for key in KINDS.get(section.partition(":")[0], ())}
    found = {key.name: key.default for key in keys.values()}
    problems = []
    for name, raw_value in parse(f"[{section}]\n{text}").items(section):
        if name not in keys:
            problems.append(
                Problem(section, name, raw_value, "one of " + ", ".join(keys))
            )
            continue
        try:
            found[name] = keys[name].parse(raw_value)
        except ValueError:
            problems.append(Problem(section, name, raw_value, keys[name].allowed))
    return found, problems


def check(sections):
    """Return all problems of a document given as {section: text}."""
    problems = []
    if len(sections) > MAX_SECTIONS:
        problems.append(
            Problem("*", "*", len(sections), f"at most {MAX_SECTIONS} sections")
        )
    for section, text in sections.items():
        kind = section.partition(":")[0]
        if kind not in KINDS or not SECTION_NAME.fullmatch(section):
            problems.append(_invalid_name_problem(section))
        elif len(text.encode()) > MAX_SECTION_BYTES:
            allowed = f"at most {MAX_SECTION_BYTES} bytes"
            problems.append(Problem(section, "*", len(text), allowed))
        else:
            problems += section_values(section, text)[1]
    return problems


class Document:
    """One revision of the document: the texts and parsed values of its sections.

    Sections that are unchanged since document ``known`` are not parsed again.
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
                self.values[section] = section_values(section, text)[0]

    @property
    def revision(self):
        """Revision number of the document."""
        return self.head.revision

    def get(self, section, key):
        """Return the value of ``key``, or its default if the section is absent."""
        if section in self.values:
            return self.values[section][key]
        kind = section.partition(":")[0]
        return next(k.default for k in KINDS[kind] if k.name == key)

    def domain_out(self, domain):
        """Return whether operators have taken ``domain`` out of service."""
        return self.get(f"domain:{domain}", "state") == "out"

    def section_names(self, kind):
        """Return the names of all sections of ``kind``, without the kind."""
        return [
            section.partition(":")[2]
            for section in self.texts
            if section.partition(":")[0] == kind
        ]


def describe():
    """Yield the lines of a sample document with every section kind and key."""
    for kind, keys in KINDS.items():
        yield f"[{kind}:NAME]"
        for key in keys:
            yield f"# {key.help}  Allowed is {key.allowed}."
            yield f"# {key.name} = {key.default}"
        yield ""
