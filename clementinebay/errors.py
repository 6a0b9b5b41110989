"""The exception hierarchy: every failure has a type and a stable code."""


class ClementineError(Exception):
    """Base class of all errors of this package.

    ``code`` identifies the failure on the wire, in logs and in ``--json`` output.
    """

    code = "internal"


class KernelError(ClementineError):
    """A service is not running, is unknown, or has circular requirements."""

    code = "kernel"


class SettingsError(ClementineError):
    """Settings are invalid; ``problems`` lists every problem found."""

    code = "settings-invalid"

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


# Configuration document


class ConfigError(ClementineError):
    """The configuration document could not be read or changed."""

    code = "config"


class ConfigInvalidError(ConfigError):
    """The document fails validation; ``problems`` lists every problem found."""

    code = "config-invalid"

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class ConfigConflictError(ConfigError):
    """The section was changed after the revision on which a change was based."""

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
    """The response to a change was lost; it may or may not have taken effect."""

    code = "config-outcome-unknown"


class UnknownDomainError(ConfigError):
    """The failure domain is neither on the live list nor in the document."""

    code = "unknown-domain"


# Platform


class PlatformError(ClementineError):
    """A call to the platform failed."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform did not accept the call; it had no effect."""

    code = "platform-unavailable"


class PlatformOutcomeUnknownError(PlatformError):
    """The response was lost; a write may have taken effect."""

    code = "platform-outcome-unknown"


class CompareFailedError(PlatformError):
    """A compare-and-swap found another version; ``entry`` is the current entry."""

    code = "compare-failed"

    def __init__(self, key, entry):
        self.key = key
        self.entry = entry
        super().__init__(f"{key} has another version")


class LeaseGoneError(PlatformError):
    """The lease of a write has expired or does not exist; nothing was written."""

    code = "lease-gone"


class CallBudgetSpentError(PlatformUnavailableError):
    """The call would exceed this daemon's share of the platform's rate limits."""

    code = "call-budget-spent"


class HistoryGoneError(PlatformError):
    """The platform has discarded the history from which a watch was to start."""

    code = "history-gone"


class UnreadableError(ClementineError):
    """Bytes written by another process cannot be decoded."""

    code = "unreadable"

    def __init__(self, reason):
        self.reason = reason
        super().__init__(reason)


class EntryInvalidError(ClementineError):
    """An entry written to the platform by another process cannot be decoded."""

    code = "entry-invalid"

    def __init__(self, key, reason):
        self.key = key
        self.reason = reason
        super().__init__(f"{key}: {reason}")


class OrderRefusedError(ClementineError):
    """An endpoint refused an order, which had no effect.

    ``reason`` is the reason that the endpoint gave.
    """

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
    """A submission was refused and will never run.

    The client may submit it again after ``retry_after`` seconds.
    """

    code = "job-refused"

    def __init__(self, reason, retry_after=1.0):
        self.reason = reason
        self.retry_after = retry_after
        super().__init__(reason)


class JobBacklogError(JobRefusedError):
    """A submission was refused because of the jobs that wait already."""

    code = "job-backlog"


class BacklogChangedError(ClementineError):
    """A job was not stored, because the backlog was not the one that was known."""

    code = "backlog-changed"


class JobInvalidError(ClementineError):
    """A submission is malformed; ``problem`` describes the error."""

    code = "job-invalid"

    def __init__(self, problem):
        self.problem = problem
        super().__init__(problem)


class JobUnknownError(ClementineError):
    """The store holds no job with this id."""

    code = "job-unknown"


class JobOwnedError(ClementineError):
    """The id of a submission is that of another organisation's job."""

    code = "job-owned"


class OrganisationsInvalidError(ClementineError):
    """The organisations of a configuration contradict each other."""

    code = "organisations-invalid"


class NotLeaderError(ClementineError):
    """This daemon does not hold the scheduler's term, or has lost it."""

    code = "not-leader"


# Shard


class ShardError(ClementineError):
    """A shard's log or state machine refused an operation."""

    code = "shard"


class RecordRefusedError(ShardError):
    """Applying a record would violate an invariant of the state machine."""

    code = "record-refused"


class OverCommitError(RecordRefusedError):
    """The endpoint has too few free processors, memory or accelerators."""

    code = "over-commit"


class SecondBindingError(RecordRefusedError):
    """The task is already bound, or its previous attempt may still be running."""

    code = "second-binding"


class DomainOutError(RecordRefusedError):
    """Operators have taken the failure domain out of service."""

    code = "domain-out"


class EndpointUnavailableError(RecordRefusedError):
    """The endpoint is unknown, draining or lost."""

    code = "endpoint-unavailable"


class StaleAttemptError(RecordRefusedError):
    """The record refers to an attempt that has ended."""

    code = "stale-attempt"


class UnknownJobError(RecordRefusedError):
    """The job does not exist or was cancelled."""

    code = "unknown-job"


class LogConflictError(ShardError):
    """Another writer appended at the next index; the state is out of date."""

    code = "log-conflict"


class LogGapError(ShardError):
    """The log was truncated beyond this reader's index; it must load the snapshot."""

    code = "log-gap"


class LogFormatError(ShardError):
    """A batch or snapshot has a newer format than this daemon supports."""

    code = "log-format"


class ValueTooLargeError(ShardError):
    """A batch or snapshot exceeds the platform's size limit for a value."""

    code = "value-too-large"


class InvariantBrokenError(ShardError):
    """An internal check found an invariant violated."""

    code = "invariant-broken"


# Requests


class RequestError(ClementineError):
    """A client's request got no response from an endpoint."""

    code = "request"
    outcome = "unknown"


class NotRunError(RequestError):
    """The request was not executed and will not be."""

    code = "not-run"
    outcome = "not-run"


class BadRequestError(NotRunError):
    """The request is malformed."""

    code = "bad-request"


class SlowBodyError(BadRequestError):
    """The body of the request did not arrive in time."""

    code = "slow-body"


class OverloadedError(NotRunError):
    """Admission refused the request: the queue is full or the wait too long."""

    code = "overloaded"


class DeadlinePassedError(NotRunError):
    """The deadline passed before the request was sent."""

    code = "deadline-passed"


class NoEndpointError(NotRunError):
    """No endpoint currently serves this service."""

    code = "no-endpoint"


class DrainingError(NotRunError):
    """The daemon is shutting down and accepts no new work."""

    code = "draining"


class DuplicateKeyError(NotRunError):
    """The once-only key was already used; this copy was not executed."""

    code = "duplicate-key"


class KeyNotClaimedError(NotRunError):
    """The once-only key could not be claimed, so the request was not sent."""

    code = "key-not-claimed"


class AttemptNotRunError(NotRunError):
    """One attempt was not executed; the request may be retried elsewhere."""

    code = "attempt-not-run"


class OutcomeUnknownError(RequestError):
    """The request may have run; its response was lost or did not match."""

    code = "outcome-unknown"


# Endpoints


class EndpointError(ClementineError):
    """A call to an endpoint failed."""

    code = "endpoint"


class EndpointUnreachableError(EndpointError):
    """No byte of the call reached the endpoint."""

    code = "endpoint-unreachable"


class EndpointRefusedError(EndpointError):
    """The endpoint reported that it did not execute the call."""

    code = "endpoint-refused"


class EndpointAnswerLostError(EndpointError):
    """The call may have been executed; no complete response arrived."""

    code = "endpoint-answer-lost"


class AnswerMismatchError(EndpointAnswerLostError):
    """The request id, length or digest of a response does not match."""

    code = "answer-mismatch"


# Peers


class PeerError(ClementineError):
    """The link to a peer daemon failed."""

    code = "peer"


class PeerUnreachableError(PeerError):
    """No byte of the message reached the peer."""

    code = "peer-unreachable"


class PeerAnswerLostError(PeerError):
    """The message was sent, but the link broke or the deadline passed."""

    code = "peer-answer-lost"


class FrameError(PeerError):
    """A frame violates the protocol; its connection is closed."""

    code = "frame"


class FrameTooLargeError(FrameError):
    """A frame exceeds the size limit."""

    code = "frame-too-large"


class FrameTruncatedError(FrameError):
    """The connection ended inside a frame."""

    code = "frame-truncated"


class FrameVersionError(FrameError):
    """A frame has a different protocol version."""

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
    """No complete response arrived; the call may have been or may yet be executed."""

    code = "call-unanswered"

    def __init__(self, address, path, cause):
        super().__init__(f"no answer from {address} to {path}: {cause!r}")


class AnswerInvalidError(CallUnansweredError):
    """The response to a call that was executed cannot be decoded."""

    code = "answer-invalid"


class AnswerTooLargeError(ClementineError):
    """The body of a response is longer than ``limit`` bytes."""

    code = "answer-too-large"

    def __init__(self, limit):
        self.limit = limit
        super().__init__(f"longer than {limit} bytes")


class RequestTooLargeError(ClementineError):
    """The head or body of a request is longer than ``limit`` bytes."""

    code = "request-too-large"

    def __init__(self, limit):
        self.limit = limit
        super().__init__(f"longer than {limit} bytes")


def subclasses(base=ClementineError):
    """Yield ``base`` and all its direct and indirect subclasses."""
    yield base
    for child in base.__subclasses__():
        yield from subclasses(child)


def from_code(code, message, base=ClementineError):
    """Return an instance of the error class with ``code``, as reported by a peer.

    Falls back to ``base`` if no class has that code or if the class needs more than
    a message.
    """
    for kind in subclasses(base):
        if kind.code == code and kind.__init__ is Exception.__init__:
            return kind(message)
    error = base(message)
    return error
