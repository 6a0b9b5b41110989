"""Child processes with their logs, and waiting for what they do."""

import os
import signal
import subprocess
import sys
import time

import httpx

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
#: Longest wait for a process to answer or to end, in seconds.
WAIT_SECONDS = 20.0


def wait_for(what, condition, seconds=WAIT_SECONDS):
    """Return ``condition()`` once it is true; raise `TimeoutError` naming ``what``."""
    limit = time.monotonic() + seconds
    while True:
        try:
            if found := condition():
                return found
        except httpx.HTTPError:
            pass
        if time.monotonic() > limit:
            raise TimeoutError(f"waited {seconds} s for {what}")
        time.sleep(0.05)


class Process:
    """A child process with its log file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = arguments
        self.path = os.path.join(folder, f"{name}.log")
        self.child = None
        self.start()

    def start(self):
        """Start the process, again after it ended."""
        with open(self.path, "ab") as output:
            self.child = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        """Send a signal."""
        self.child.send_signal(number)

    def stop(self, seconds=WAIT_SECONDS):
        """Ask the process to end and return its exit code."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            raise

    def kill(self):
        """End the process at once."""
        self.child.kill()
        self.child.wait()
