"""Settings of a daemon: read from an INI file and validated before anything starts."""

import configparser

from clementinebay import checked, errors, log
from clementinebay.policy import routing

REQUIRED = object()


def parse_addresses(text):
    """Parse a comma-separated list of ``host:port``."""
    found = [part.strip() for part in text.split(",") if part.strip()]
    for address in found:
        host, _colon, port = address.rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ValueError(address)
    return found


class Option(checked.CheckedValue):
    """A key of the settings file: its type, default and allowed values."""

    __slots__ = ("section", "key")

    text_allowed = "a non-empty text"

    def __init__(
        self, section, key, default, help, kind=str, low=None, high=None, choices=None
    ):
        super().__init__(default, help, kind, low, high, choices)
        self.section = section
        self.key = key

    @property
    def attribute(self):
        """Name of the attribute of `Settings` that holds the value."""
        return f"{self.section}_{self.key}"

    @property
    def allowed(self):
        """Description of the allowed values."""
        if self.kind is parse_addresses:
            return "addresses HOST:PORT separated by commas"
        return super().allowed

    def is_allowed(self, value):
        """Return whether ``value`` is allowed; an empty text never is."""
        return value != "" and super().is_allowed(value)


def _port(section):
    return Option(section, "port", REQUIRED, "TCP port.", int, low=1, high=65535)


def _seconds(section, key, default, help, low=0.01, high=86400.0):
    return Option(section, key, default, help, float, low=low, high=high)


def _count(section, key, default, help, low=1, high=1_000_000):
    return Option(section, key, default, help, int, low=low, high=high)


OPTIONS = (
    Option("daemon", "name", REQUIRED, "Name of this daemon, unique in the system."),
    Option("daemon", "failure_domain", REQUIRED, "Failure domain of this VM."),
    Option("daemon", "region", "main", "Region of this VM."),
    _seconds(
        "daemon", "drain_seconds", 20.0, "Maximum duration of a graceful shutdown."
    ),
    Option("front", "address", "127.0.0.1", "IP address for clients and operators."),
    _port("front"),
    _count(
        "front", "max_body_bytes", 1_000_000, "Maximum size of a request body in bytes."
    ),
    _seconds("front", "body_seconds", 10.0, "Maximum time to receive a body."),
    Option("peer", "address", "127.0.0.1", "IP address for peer daemons."),
    _port("peer"),
    _count(
        "peer",
        "max_frame_bytes",
        4_500_000,
        "Maximum size of a frame in bytes.",
        low=1024,
    ),
    Option(
        "peer",
        "seeds",
        (),
        "Peers to ask for state while the platform is unavailable.",
        kind=parse_addresses,
    ),
    _seconds("peer", "gossip_seconds", 1.0, "Interval between gossip rounds."),
    _seconds(
        "peer", "heartbeat_seconds", 3.0, "Maximum time between two messages to a peer."
    ),
    Option("platform", "store", "etcd-json", "Protocol of the key-value service."),
    Option("platform", "url", REQUIRED, "URL of the key-value service."),
    Option("platform", "live_list_url", REQUIRED, "URL of the list of VMs."),
    _seconds("platform", "timeout_seconds", 2.0, "Timeout of a call."),
    _seconds(
        "platform", "live_list_seconds", 1.0, "Interval between reads of the list."
    ),
    _count("platform", "reads_per_second", 2000, "Read limit of all daemons together."),
    _count(
        "platform", "writes_per_second", 300, "Write limit of all daemons together."
    ),
    Option(
        "endpoint",
        "driver",
        "aiohttp",
        "HTTP client library for endpoints.",
        choices=("aiohttp", "httpx"),
    ),
    _count("router", "queue_limit", 512, "Maximum number of queued requests."),
    Option(
        "router",
        "policy",
        "two-expected",
        "How a replica is chosen.",
        choices=tuple(routing.POLICIES),
    ),
    _count("router", "daemons_per_domain", 4, "Maximum number of daemons in a domain."),
    _count("router", "slot_percent", 100, "Requests in flight per 100 endpoint slots."),
    _count(
        "router", "eject_percent", 25, "Maximum share of ejected endpoints.", 0, 100
    ),
    _seconds(
        "router", "spill_seconds", 0.02, "Latency cost of a hop to another domain.", 0.0
    ),
    _count(
        "router", "ticket_limit", 20_000, "Maximum number of open once-only tickets."
    ),
    _seconds("router", "ticket_seconds", 60.0, "Validity of a ticket."),
    _count("router", "retry_percent", 10, "Maximum retries per 100 requests.", 0, 100),
    _seconds(
        "router",
        "default_deadline_seconds",
        10.0,
        "Deadline of requests that give none.",
    ),
    _seconds(
        "scheduler", "tick_seconds", 0.1, "Interval between scheduling decisions."
    ),
    _seconds("scheduler", "poll_seconds", 1.0, "Interval between endpoint reports."),
    _seconds(
        "scheduler",
        "start_grace_seconds",
        3.0,
        "Length of a first lease, from the last platform read.",
    ),
    _seconds("scheduler", "lease_seconds", 30.0, "Length of a renewed lease."),
    _count(
        "scheduler", "renewals_per_second", 8, "Maximum lease renewals by one daemon."
    ),
    _seconds(
        "scheduler",
        "reclaim_after_seconds",
        30.0,
        "Maximum time leases are renewed while cut off.",
    ),
    _seconds(
        "scheduler",
        "clock_skew_seconds",
        0.5,
        "Maximum difference between clocks.",
        0.0,
    ),
    _seconds(
        "scheduler", "leader_seconds", 4.0, "Length of the shard scheduler's lease."
    ),
    _seconds(
        "scheduler", "retention_seconds", 120.0, "Retention of truncated records."
    ),
    _seconds(
        "scheduler",
        "job_retention_seconds",
        3600.0,
        "Retention of ended jobs and lost endpoints.",
        low=120.0,
    ),
    _seconds(
        "scheduler",
        "adopt_after_seconds",
        15.0,
        "Delay before a domain without entry VMs is adopted.",
    ),
    _count(
        "scheduler", "snapshot_batches", 200, "Number of batches between two snapshots."
    ),
    _seconds(
        "scheduler",
        "usage_lag_seconds",
        2.0,
        "Age of usage measurements when they are reported.",
        0.0,
    ),
    Option(
        "scheduler",
        "placement",
        "balanced",
        "Placement policy.",
        choices=("balanced", "spread", "least-declared"),
    ),
    Option(
        "scheduler",
        "colocation",
        "on",
        "Whether the scheduler counteracts interference.",
        choices=("on", "off"),
    ),
    Option(
        "scheduler",
        "eviction",
        "on",
        "Whether urgent work evicts batch work.",
        choices=("on", "off"),
    ),
    Option(
        "scheduler",
        "balance",
        "on",
        "Whether work moves to domains with free capacity.",
        choices=("on", "off"),
    ),
    Option(
        "scheduler",
        "quotas",
        "lent",
        "How quotas are split between domains: lent as needed, or equally.",
        choices=("lent", "equal"),
    ),
    Option(
        "scheduler",
        "task_health",
        "on",
        "Whether endpoints that fail tasks are excluded.",
        choices=("on", "off"),
    ),
    Option("log", "level", "info", "Minimum log level.", choices=log.LEVELS),
    Option(
        "trace",
        "sample_percent",
        1.0,
        "Share of requests that are traced.",
        float,
        low=0.0,
        high=100.0,
    ),
    _count("trace", "spans", 20_000, "Number of recent spans kept in memory."),
)


class Settings:
    """Validated settings; one attribute per option, named ``section_key``."""

    __slots__ = tuple(option.attribute for option in OPTIONS)

    def __init__(self, **values):
        for option in OPTIONS:
            setattr(
                self, option.attribute, values.pop(option.attribute, option.default)
            )
        if values:
            raise errors.SettingsError([f"unknown option {name}" for name in values])


class Problem:
    """A validation error in a settings file."""

    __slots__ = ("file", "section", "key", "value", "allowed")

    def __init__(self, file, section, key, value, allowed):
        self.file = file
        self.section = section
        self.key = key
        self.value = value
        self.allowed = allowed

    def __str__(self):
        location = f"{self.file}: [{self.section}] {self.key}"
        return f"{location} = {self.value!r}: allowed is {self.allowed}"


def parse(text, file="settings"):
    """Parse INI ``text`` into `Settings`; raise `SettingsError` with all problems."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        raise errors.SettingsError([f"{file}: {error.message}"]) from error
    problems = list(_unknown_keys(parser, file))
    values = {}
    for option in OPTIONS:
        raw_value = parser.get(option.section, option.key, fallback=None)
        if raw_value is None:
            if option.default is REQUIRED:
                problems.append(
                    Problem(file, option.section, option.key, None, option.allowed)
                )
            continue
        try:
            values[option.attribute] = option.parse(raw_value)
        except ValueError:
            problems.append(
                Problem(file, option.section, option.key, raw_value, option.allowed)
            )
    if problems:
        raise errors.SettingsError(problems)
    return Settings(**values)


def _unknown_keys(parser, file):
    known = {}
    for option in OPTIONS:
        known.setdefault(option.section, []).append(option.key)
    for section in parser.sections():
        if section not in known:
            yield Problem(
                file, section, "*", None, "one of the sections " + ", ".join(known)
            )
            continue
        for key, value in parser.items(section):
            if key not in known[section]:
                allowed = "one of the keys " + ", ".join(known[section])
                yield Problem(file, section, key, value, allowed)


def read(path):
    """Read the `Settings` file ``path``; raise `SettingsError` if it is invalid."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error


def describe():
    """Yield the lines of a sample settings file with every option and its help."""
    section = None
    for option in OPTIONS:
        if option.section != section:
            if section is not None:
                yield ""
            section = option.section
            yield f"[{section}]"
        yield f"# {option.help}  Allowed is {option.allowed}."
        if option.default is REQUIRED:
            yield f"{option.key} ="
        else:
            yield f"# {option.key} = {option.default or ''}"
