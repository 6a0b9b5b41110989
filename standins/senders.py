"""Threads that send requests until they are stopped."""

import threading
from abc import ABC, abstractmethod


class Senders(ABC):
    """``count`` sender threads; a context manager that starts and stops them."""

    def __init__(self, count):
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number,)) for number in range(count)
        ]

    @abstractmethod
    def run(self, number):
        """Body of thread ``number``, which sends until ``stopping`` is set."""

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exc):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
