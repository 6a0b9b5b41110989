"""The tool's client of a daemon, and the exit codes that its failures stand for."""

import sys

import httpx

from clementinebay import errors

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4

#: Exit codes of the HTTP statuses that do not stand for a plain failure.
EXIT_OF_STATUS = {
    409: EXIT_CONFLICT,
    422: EXIT_USAGE,
    503: EXIT_UNREACHABLE,
    504: EXIT_UNREACHABLE,
}

#: Longest wait for an answer of the daemon, in seconds.
TIMEOUT_SECONDS = 30.0


class CommandError(errors.ClementineError):
    """A command failed; ``exit_code`` is what the tool ends with."""

    code = "command"

    def __init__(self, exit_code, message):
        self.exit_code = exit_code
        super().__init__(message)


class Client:
    """Talks to one daemon; raises `CommandError` with an exit code."""

    def __init__(self, url):
        self.http = httpx.Client(base_url=url, timeout=TIMEOUT_SECONDS)

    def call(self, method, path, body=None):
        """Return the decoded answer."""
        try:
            response = self.http.request(method, path, json=body)
        except httpx.HTTPError as error:
            raise CommandError(
                EXIT_UNREACHABLE, f"{self.http.base_url}: {error}"
            ) from error
        if domains := response.headers.get("X-Unanswered-Domains"):
            print(f"clementinectl: partial: no answer from {domains}", file=sys.stderr)
        if response.is_success:
            return response.json()
        code = EXIT_OF_STATUS.get(response.status_code, EXIT_FAILED)
        raise CommandError(code, failure_text(response))


def failure_text(response):
    """Return what a failed answer says, one problem a line."""
    try:
        body = response.json()
        return f"{body['code']}: {body['message']}"
    except (ValueError, KeyError, TypeError):
        return f"status {response.status_code}: {response.text}"
