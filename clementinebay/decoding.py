"""Decodes bytes that other processes have written.

Whatever the bytes are, a `Decoder` returns a value of its type or raises
`UnreadableError`: any other exception could end a loop that meets the same bytes again
after each restart.
"""

from typing import Annotated

import msgspec

from clementinebay import errors

#: Largest value that is decoded, in bytes: four times the usual limit of the store,
#: which may differ between installations.  A value of 16 MB takes 0.2 to 0.6 s, which
#: would delay the renewal of a lease.
MAX_VALUE_BYTES = 4_194_304
#: Largest whole number that is accepted.  Above it, floating-point numbers, and so many
#: writers of JSON, no longer distinguish adjacent whole numbers.
MAX_WHOLE_NUMBER = 2**53 - 1
#: Longest name that is accepted, in characters; keys of the store have 200 bytes.
MAX_NAME_LENGTH = 200

#: Exceptions that msgspec raises for bytes that it cannot decode.  A value that is
#: nested too deeply raises a `RecursionError`, even in a field that is not used.
DECODE_FAILURES = (
    msgspec.MsgspecError,
    RecursionError,
    ValueError,
    TypeError,
    OverflowError,
)

#: A text that can be the name of something; it may be empty.
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
#: A whole number that every writer and reader of JSON can represent.
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class Decoder:
    """Decodes values of type ``kind`` of at most ``max_bytes``.

    ``codec`` is the module of the encoding.
    """

    __slots__ = ("max_bytes", "decode_any")

    def __init__(self, kind, max_bytes=MAX_VALUE_BYTES, codec=msgspec.json):
        self.max_bytes = max_bytes
        self.decode_any = codec.Decoder(kind).decode

    def decode(self, data):
        """Return the value that ``data`` encodes, or raise `UnreadableError`."""
        if len(data) > self.max_bytes:
            raise errors.UnreadableError(f"{len(data)} bytes")
        try:
            return self.decode_any(data)
        except DECODE_FAILURES as error:
            raise errors.UnreadableError(str(error)) from error


def is_name(text):
    """Return whether ``text`` can be the name of something, as in logs and labels."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()
