"""HTTP client of ``clementinectl``, and the exit codes for its failures."""

import sys

import httpx

from clementinebay import errors

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4

#: Exit codes for HTTP statuses other than those of general failures.
EXIT_OF_STATUS = {
    409: EXIT_CONFLICT,
    422: EXIT_USAGE,
    503: EXIT_UNREACHABLE,
    504: EXIT_UNREACHABLE,
}

#: Maximum wait for a response of the daemon, in seconds.
TIMEOUT_SECONDS = 30.0


class CommandError(errors.ClementineError):
    """A command failed; ``exit_code`` is the exit code of the process."""

    code = "command"

    def __init__(self, exit_code, message):
        self.exit_code = exit_code
        super().__init__(message)


class Client:
    """Calls one daemon; failures raise `CommandError` with an exit code."""

    def __init__(self, url):
        self.http = httpx.Client(base_url=url, timeout=TIMEOUT_SECONDS)

    def call(self, method, path, body=None):
        """Send a request and return the decoded response."""
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
    """Return the error message in a failed response."""
    try:
        body = response.json()
        return f"{body['code']}: {body['message']}"
    except (ValueError, KeyError, TypeError):
        return f"status {response.status_code}: {response.text}"
