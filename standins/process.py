"""Child processes with log files, and a helper to wait for conditions."""

import os
import signal
import subprocess
import sys
import time

import httpx

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
#: Default timeout for a process to respond or to end, in seconds.
WAIT_SECONDS = 20.0


def wait_for(what, condition, seconds=WAIT_SECONDS):
    """Poll ``condition()`` and return its result once it is true.

    HTTP errors count as false.  Raises `TimeoutError` after ``seconds``;
    its message contains ``what``.
    """
    deadline = time.monotonic() + seconds
    while True:
        try:
            if found := condition():
                return found
        except httpx.HTTPError:
            pass
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {seconds} s for {what}")
        time.sleep(0.05)


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = arguments
        self.path = os.path.join(folder, f"{name}.log")
        self.child = None
        self.start()

    def start(self):
        """Start the process, or restart it after it has ended."""
        with open(self.path, "ab") as output:
            self.child = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.child.send_signal(number)

    def stop(self, seconds=WAIT_SECONDS):
        """Terminate the process and return its exit code.

        Kills it and raises `subprocess.TimeoutExpired` if it does not end in time.
        """
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
        """Kill the process."""
        self.child.kill()
        self.child.wait()
