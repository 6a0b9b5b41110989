"""Threads that send until they are told to stop."""

import threading
from abc import ABC, abstractmethod


class Senders(ABC):
    """``count`` threads that run together; a context manager that ends them."""

    def __init__(self, count):
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number,)) for number in range(count)
        ]

    @abstractmethod
    def run(self, number):
        """Send as thread ``number`` until ``stopping`` is set."""

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exc):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
