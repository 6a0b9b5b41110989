"""Proves to a daemon that a request was relayed by another one, and whose it is.

A relayed request carries the digest of the client's API key instead of the key.  The
daemon that gets it looks the digest up in its own configuration, which may be newer.
Clients reach the same address, so the digest is signed with a secret that only the
daemons read from the store.
"""

import hashlib
import hmac

from clementinebay import errors

#: Header fields of the digest and of its signature.
DIGEST_HEADER = "clementine-key-digest"
SIGNATURE_HEADER = "clementine-signature"
#: Value of Retry-After for a relayed request that cannot be verified, in seconds.
RETRY_AFTER_SECONDS = 1


class RelaySecret:
    """The secret of the daemons; ``value`` is ``None`` until `load` has read it."""

    def __init__(self, jobs, log):
        self.jobs = jobs
        self.log = log
        self.value = None
        self.is_loading = False

    @property
    def is_known(self):
        """Whether the secret has been read."""
        return self.value is not None

    def request(self, background):
        """Begin to read the secret unless it is known or being read."""
        if not self.is_known and not self.is_loading:
            self.is_loading = True
            background.spawn(self.load)

    async def load(self):
        """Read the secret; a failure is logged, and the next request tries again."""
        try:
            self.value = await self.jobs.relay_secret()
        except (errors.PlatformError, errors.EntryInvalidError) as error:
            self.log.warning("relay.secret_unread", error=error.code, why=str(error))
        finally:
            self.is_loading = False

    def sign(self, request, digest):
        """Return the signature of a request with a key of ``digest``."""
        fields = (request.method, request.path, request.headers.get("host", ""), digest)
        message = "\n".join(fields).encode("latin-1") + b"\n" + request.body
        return hmac.new(self.value, message, hashlib.sha256).hexdigest()

    def headers(self, request, digest):
        """Return the headers of a relayed request; ``digest`` may be ``None``."""
        digest = digest or ""
        return [
            (DIGEST_HEADER, digest),
            (SIGNATURE_HEADER, self.sign(request, digest)),
        ]

    def verified_digest(self, request):
        """Return the digest that a relayed request carries, ``None`` if it has no key.

        Raises `JobRefusedError` unless a daemon of this installation has signed it.
        """
        digest = request.headers.get(DIGEST_HEADER, "")
        signature = request.headers.get(SIGNATURE_HEADER, "")
        if not self.is_known or not hmac.compare_digest(
            self.sign(request, digest).encode(), signature.encode("latin-1")
        ):
            raise errors.JobRefusedError("relay-unverified", RETRY_AFTER_SECONDS)
        return digest or None
