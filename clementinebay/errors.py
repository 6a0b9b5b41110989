"""The exception tree: every failure has a type and a stable code."""


class ClementineError(Exception):
    """Base of all errors of this package.

    ``code`` names the failure on the wire, in logs and in ``--json`` output.
    """

    code = "internal"


class KernelError(ClementineError):
    """A service is missing, unknown or was started out of order."""

    code = "kernel"


class SettingsError(ClementineError):
    """Settings are wrong; ``problems`` lists all of them."""

    code = "settings-invalid"

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


# Configuration document


class ConfigError(ClementineError):
    """The configuration document cannot be read or changed."""

    code = "config"


class ConfigInvalidError(ConfigError):
    """The document breaks its rules; ``problems`` lists all of them."""

    code = "config-invalid"

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class ConfigConflictError(ConfigError):
    """Another operator changed the same section first."""

    code = "config-conflict"

    def __init__(self, section, expected, found):
        self.section = section
        self.expected = expected
        self.found = found
        super().__init__(
            f"section [{section}] was read at revision {expected} "
            f"and changed at revision {found}"
        )


class ConfigOutcomeUnknownError(ConfigError):
    """The answer to a change was lost; it may be in force, or come into force."""

    code = "config-outcome-unknown"


class UnknownDomainError(ConfigError):
    """No such failure domain on the live list or in the document."""

    code = "unknown-domain"


# Platform


class PlatformError(ClementineError):
    """A call to the platform failed."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform did not take the call; it had no effect."""

    code = "platform-unavailable"


class PlatformOutcomeUnknownError(PlatformError):
    """The answer was lost; a write may have taken effect."""

    code = "platform-outcome-unknown"


class CompareFailedError(PlatformError):
    """A compare-and-swap found another version; ``entry`` is what it found."""

    code = "compare-failed"

    def __init__(self, key, entry):
        self.key = key
        self.entry = entry
        super().__init__(f"{key} has another version")


class LeaseGoneError(PlatformError):
    """The lease of a write has run out or never was; the write had no effect."""

    code = "lease-gone"


class CallBudgetSpentError(PlatformUnavailableError):
    """The call would exceed this daemon's share of the platform's rates."""

    code = "call-budget-spent"


class HistoryGoneError(PlatformError):
    """The platform no longer knows the changes that a watch asked for."""

    code = "history-gone"


class EntryInvalidError(ClementineError):
    """What another writer left in the platform cannot be read."""

    code = "entry-invalid"

    def __init__(self, key, reason):
        self.key = key
        self.reason = reason
        super().__init__(f"{key}: {reason}")


class OrderRefusedError(ClementineError):
    """An endpoint refused an order; it had no effect.  ``reason`` is its word."""

    code = "order-refused"

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    FULL = "full"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other-life"
    INVALID = "invalid"

    def __init__(self, endpoint, reason):
        self.endpoint = endpoint
        self.reason = reason
        super().__init__(f"{endpoint} refused: {reason}")


class JobRefusedError(ClementineError):
    """A submission was refused; it will never run."""

    code = "job-refused"

    def __init__(self, reason, retry_after=1.0):
        self.reason = reason
        self.retry_after = retry_after
        super().__init__(reason)


class JobInvalidError(ClementineError):
    """A submission is malformed; ``problem`` says where."""

    code = "job-invalid"

    def __init__(self, problem):
        self.problem = problem
        super().__init__(problem)


class JobUnknownError(ClementineError):
    """No such job is stored."""

    code = "job-unknown"


class NotLeaderError(ClementineError):
    """Another scheduler holds the term, or none does any more."""

    code = "not-leader"


# Shard


class ShardError(ClementineError):
    """A shard's log or state machine refused something."""

    code = "shard"


class RecordRefusedError(ShardError):
    """A record would break a promise of the state machine."""

    code = "record-refused"


class OverCommitError(RecordRefusedError):
    """The endpoint lacks the processors, memory or accelerators."""

    code = "over-commit"


class SecondBindingError(RecordRefusedError):
    """The task is already bound, or its last binding may still run."""

    code = "second-binding"


class DomainOutError(RecordRefusedError):
    """Operators have taken the failure domain out."""

    code = "domain-out"


class EndpointUnavailableError(RecordRefusedError):
    """The endpoint is unknown, leaving or lost."""

    code = "endpoint-unavailable"


class StaleAttemptError(RecordRefusedError):
    """The record speaks of an attempt that is over."""

    code = "stale-attempt"


class UnknownJobError(RecordRefusedError):
    """No such job, or it was cancelled."""

    code = "unknown-job"


class LogConflictError(ShardError):
    """Another writer took the next index; the state has moved on."""

    code = "log-conflict"


class LogGapError(ShardError):
    """The log was truncated past this reader; it must load the snapshot."""

    code = "log-gap"


class LogFormatError(ShardError):
    """A batch or snapshot is of a newer format than this daemon knows."""

    code = "log-format"


class ValueTooLargeError(ShardError):
    """A batch or snapshot exceeds what the platform holds under one key."""

    code = "value-too-large"


class InvariantBrokenError(ShardError):
    """An assertion inside the program found a promise broken."""

    code = "invariant-broken"


# Requests


class RequestError(ClementineError):
    """A client's request was not answered by an endpoint."""

    code = "request"
    outcome = "unknown"


class NotRunError(RequestError):
    """The request did not run and will not."""

    code = "not-run"
    outcome = "not-run"


class BadRequestError(NotRunError):
    """The request is malformed."""

    code = "bad-request"


class SlowBodyError(BadRequestError):
    """The body of the request did not come in time."""

    code = "slow-body"


class OverloadedError(NotRunError):
    """Admission refused the request: its queue is full or its wait too long."""

    code = "overloaded"


class DeadlinePassedError(NotRunError):
    """The deadline passed before the request was sent."""

    code = "deadline-passed"


class NoEndpointError(NotRunError):
    """No endpoint serves this service at present."""

    code = "no-endpoint"


class DrainingError(NotRunError):
    """The daemon is stopping and takes no new work."""

    code = "draining"


class DuplicateKeyError(NotRunError):
    """The once-only key was used before; this copy did not run."""

    code = "duplicate-key"


class KeyNotClaimedError(NotRunError):
    """The once-only key could not be claimed, so the request was not sent."""

    code = "key-not-claimed"


class AttemptNotRunError(NotRunError):
    """One attempt did not run; another may be made elsewhere."""

    code = "attempt-not-run"


class OutcomeUnknownError(RequestError):
    """The request may have run; its answer was lost or did not fit."""

    code = "outcome-unknown"


# Endpoints


class EndpointError(ClementineError):
    """A call to an endpoint failed."""

    code = "endpoint"


class EndpointUnreachableError(EndpointError):
    """No byte of the call reached the endpoint."""

    code = "endpoint-unreachable"


class EndpointRefusedError(EndpointError):
    """The endpoint said that it did not carry out the call."""

    code = "endpoint-refused"


class EndpointAnswerLostError(EndpointError):
    """The call may have been carried out; no whole answer came back."""

    code = "endpoint-answer-lost"


class AnswerMismatchError(EndpointAnswerLostError):
    """The answer's request id, length or digest does not fit the request."""

    code = "answer-mismatch"


# Peers


class PeerError(ClementineError):
    """The link to a peer daemon failed."""

    code = "peer"


class PeerUnreachableError(PeerError):
    """No byte of the message reached the peer."""

    code = "peer-unreachable"


class PeerAnswerLostError(PeerError):
    """The message was sent; the link broke or the deadline passed first."""

    code = "peer-answer-lost"


class FrameError(PeerError):
    """A frame breaks the protocol; its connection is closed."""

    code = "frame"


class FrameTooLargeError(FrameError):
    """A frame exceeds the size limit."""

    code = "frame-too-large"


class FrameTruncatedError(FrameError):
    """The connection ended inside a frame."""

    code = "frame-truncated"


class FrameVersionError(FrameError):
    """A frame has another version of the protocol."""

    code = "frame-version"


class FrameMalformedError(FrameError):
    """A frame's payload cannot be decoded."""

    code = "frame-malformed"


# Calls over HTTP


class CallError(ClementineError):
    """A call to another process failed."""

    code = "call"


class CallNotSentError(CallError):
    """No connection could be opened; no byte of the call was sent."""

    code = "call-not-sent"

    def __init__(self, address, cause):
        super().__init__(f"cannot connect to {address}: {cause!r}")


class CallUnansweredError(CallError):
    """No whole answer came; the call may have been carried out, also later."""

    code = "call-unanswered"

    def __init__(self, address, path, cause):
        super().__init__(f"no answer from {address} to {path}: {cause!r}")


class RequestTooLargeError(ClementineError):
    """A request's head or body is longer than ``limit`` bytes."""

    code = "request-too-large"

    def __init__(self, limit):
        self.limit = limit
        super().__init__(f"longer than {limit} bytes")


def subclasses(base=ClementineError):
    """Yield ``base`` and every error class below it."""
    yield base
    for child in base.__subclasses__():
        yield from subclasses(child)


def from_code(code, message, base=ClementineError):
    """Return the error of class ``code`` that a peer reported.

    A code that is unknown here yields ``base`` itself.
    """
    for kind in subclasses(base):
        if kind.code == code and kind.__init__ is Exception.__init__:
            return kind(message)
    error = base(message)
    return error
