"""Logs: short sentences with a fixed prefix for each part."""

import logging

from absl import logging as absl_logging

#: Level names that settings accept.
LEVELS = ("debug", "info", "warning", "error")


class Log:
    """Writes to absl's logger with the prefix of one part of the daemon."""

    __slots__ = ("prefix",)

    def __init__(self, prefix):
        self.prefix = prefix

    def debug(self, message, *args):
        """Log for developers."""
        absl_logging.debug(f"{self.prefix}: {message}", *args)

    def info(self, message, *args):
        """Log an ordinary event."""
        absl_logging.info(f"{self.prefix}: {message}", *args)

    def warning(self, message, *args):
        """Log a fault that the daemon works around."""
        absl_logging.warning(f"{self.prefix}: {message}", *args)

    def error(self, message, *args):
        """Log a fault that needs an operator."""
        absl_logging.error(f"{self.prefix}: {message}", *args)


def configure(level):
    """Send logs at ``level`` and above to standard error."""
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold("debug")
    for name in ("httpx", "httpcore"):
        logging.getLogger(name).setLevel(logging.WARNING)
