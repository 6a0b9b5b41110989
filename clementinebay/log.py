"""Plain-text logs: short sentences with a fixed prefix per component."""

import logging

from absl import logging as absl_logging

#: Level names that settings accept.
LEVELS = ("debug", "info", "warning", "error")


class Log:
    """Writes to absl's logger with the prefix of one component of the daemon."""

    __slots__ = ("prefix",)

    def __init__(self, prefix):
        self.prefix = prefix

    def debug(self, message, *args):
        """Log details for developers."""
        absl_logging.debug(f"{self.prefix}: {message}", *args)

    def info(self, message, *args):
        """Log a normal event."""
        absl_logging.info(f"{self.prefix}: {message}", *args)

    def warning(self, message, *args):
        """Log a fault that the daemon tolerates."""
        absl_logging.warning(f"{self.prefix}: {message}", *args)

    def error(self, message, *args):
        """Log a fault that requires an operator."""
        absl_logging.error(f"{self.prefix}: {message}", *args)


def configure(level):
    """Send logs at ``level`` and above to standard error."""
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold("debug")
    for name in ("httpx", "httpcore"):
        logging.getLogger(name).setLevel(logging.WARNING)
