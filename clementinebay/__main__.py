"""Runs the daemon: ``python -m clementinebay --settings FILE``."""

import sys

from clementinebay.cmdline import daemon_main

sys.exit(daemon_main())
