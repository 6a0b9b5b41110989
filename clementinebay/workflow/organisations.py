"""Organisations: whose work a job is, and how much each may run.

The operators' configuration names the organisations with their API keys.  Keys are kept
as digests only, so that no log, error or stored job can contain one.
"""

import hashlib

from clementinebay import errors

#: Scheme of the header field that carries an API key.
KEY_SCHEME = "token"


class Organisation:
    """An organisation.

    ``weight`` is its share while there is too little room, and ``limit`` the
    (milli-processors, MB, accelerators) that it may have running at a time, each
    ``None`` if it is not limited.
    """

    __slots__ = ("name", "weight", "limit")

    def __init__(self, name, weight=1.0, limit=(None, None, None)):
        self.name = name
        self.weight = weight
        self.limit = limit

    @property
    def is_limited(self):
        """Whether there is a limit of any resource."""
        return any(amount is not None for amount in self.limit)


class OrganisationTable:
    """The organisations of one configuration, by name and by the digests of their keys.

    ``keys`` is a list of (digest, `Organisation`).  Raises `OrganisationsInvalidError`
    for a name that occurs twice and for a key of two organisations.
    """

    __slots__ = ("by_name", "by_digest")

    def __init__(self, organisations, keys):
        self.by_name = {}
        self.by_digest = {}
        for organisation in organisations:
            if organisation.name in self.by_name:
                raise errors.OrganisationsInvalidError(
                    f"organisation {organisation.name!r} occurs twice"
                )
            self.by_name[organisation.name] = organisation
        for digest, organisation in keys:
            other = self.by_digest.setdefault(digest, organisation)
            if other is not organisation:
                raise errors.OrganisationsInvalidError(
                    f"{other.name!r} and {organisation.name!r} have a key in common"
                )

    def find(self, digest):
        """Return the `Organisation` with a key of this digest, or ``None``.

        The time of the look-up depends on the digest, which tells nothing of the key.
        """
        return self.by_digest.get(digest)

    def limits(self):
        """Return the limits of organisations by name, without unlimited ones."""
        return {
            name: organisation.limit
            for name, organisation in self.by_name.items()
            if organisation.is_limited
        }


class Caller:
    """Who makes a request.

    ``organisation`` is a name, "" if the caller has none.  ``is_restricted`` says
    whether the caller may use the jobs of its own organisation only.
    """

    __slots__ = ("organisation", "is_restricted")

    def __init__(self, organisation="", is_restricted=False):
        self.organisation = organisation
        self.is_restricted = is_restricted

    def may_use(self, owner):
        """Return whether the caller may use a job of the organisation ``owner``.

        Jobs without an owner were submitted through a public queue, or before there
        were organisations.
        """
        return not self.is_restricted or not owner or owner == self.organisation


#: A caller in an installation without organisations.
ANYONE = Caller()


def key_digest(key):
    """Return the digest of an API key, as hexadecimal text."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


def digest_of_header(text):
    """Return the digest of the key in an authorization header, or ``None``."""
    scheme, _space, key = text.strip().partition(" ")
    if scheme.lower() != KEY_SCHEME or not key.strip():
        return None
    return key_digest(key.strip())


def authenticate(table, queue, digest):
    """Return the `Caller` with a key of ``digest``, or ``None`` if it is refused.

    ``table`` is the `OrganisationTable`, ``None`` if the installation has none;
    ``digest`` is ``None`` for a request without a key.
    """
    if table is None:
        return ANYONE
    organisation = table.find(digest) if digest else None
    if queue.is_public:
        return Caller(organisation.name if organisation else "")
    return Caller(organisation.name, True) if organisation else None
