"""Values that are parsed from text and validated by type, bounds and choices."""


class CheckedValue:
    """The type, bounds, choices and default of a value.

    ``kind`` converts a text to the value.  ``low`` and ``high`` are given together or
    not at all.
    """

    __slots__ = ("default", "kind", "low", "high", "choices", "help")

    #: Description of the allowed values of a text without choices.
    text_allowed = "any text"

    def __init__(self, default, help, kind=str, low=None, high=None, choices=None):
        self.default = default
        self.help = help
        self.kind = kind
        self.low = low
        self.high = high
        self.choices = choices

    @property
    def allowed(self):
        """Description of the allowed values."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        if self.kind is str:
            return self.text_allowed
        noun = "a whole number" if self.kind is int else "a number"
        return f"{noun} from {self.low} to {self.high}"

    def parse(self, text):
        """Parse ``text``; raise `ValueError` if the value is not allowed."""
        value = self.kind(text)
        if not self.is_allowed(value):
            raise ValueError(text)
        return value

    def is_allowed(self, value):
        """Return whether ``value`` is within the bounds and choices."""
        if self.choices:
            return value in self.choices
        return self.low is None or self.low <= value <= self.high
