"""Selection of free ports on loopback."""

import random
import socket

#: Range of ports to choose from; the second bound is exclusive.
PORT_RANGE = (10_000, 32_000)
#: Ports already returned in this process.
ALLOCATED = set()
#: Not seeded, so that concurrent test runs do not choose the same ports.
RANDOM = random.SystemRandom()


def free_ports(count):
    """Return ``count`` ports that are currently free."""
    return [free_range(1) for _number in range(count)]


def free_range(count):
    """Return the first of ``count`` consecutive free ports.

    They are below the kernel's range of ephemeral ports, which it uses for outgoing
    connections.  No port is returned twice.
    """
    while True:
        first = RANDOM.randrange(*PORT_RANGE)
        ports = range(first, first + count)
        if not ALLOCATED.intersection(ports) and all(map(is_free, ports)):
            ALLOCATED.update(ports)
            return first


def is_free(port):
    """Return whether ``port`` can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
