"""Values that are read from text and checked: kind, bounds and choices."""


class CheckedValue:
    """What a text may stand for: ``kind`` makes the value, the rest bounds it.

    ``low`` and ``high`` are both given or neither.
    """

    __slots__ = ("default", "kind", "low", "high", "choices", "help")

    #: What a text without choices may be, in words.
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
        """What the value may be, in words."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        if self.kind is str:
            return self.text_allowed
        noun = "a whole number" if self.kind is int else "a number"
        return f"{noun} from {self.low} to {self.high}"

    def parse(self, text):
        """Return the value that ``text`` stands for; raise `ValueError` if none."""
        value = self.kind(text)
        if not self.fits(value):
            raise ValueError(text)
        return value

    def fits(self, value):
        """Return whether ``value`` is within the bounds and choices."""
        if self.choices:
            return value in self.choices
        return self.low is None or self.low <= value <= self.high
