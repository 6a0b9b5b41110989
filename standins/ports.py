"""Free ports of loopback."""

import random
import socket

#: Ports to choose from: from, and before.
PORTS = (10_000, 32_000)
#: Ports that were given out.
GIVEN = set()
#: Not seeded, so that two runs at a time do not draw the same ports.
PICK = random.SystemRandom()


def free_ports(count):
    """Return ports of loopback that are free now."""
    return [free_range(1) for _number in range(count)]


def free_range(count):
    """Return the first of ``count`` consecutive free ports.

    They lie below the range from which the kernel takes the ports of outgoing
    connections, and none is given out twice.
    """
    while True:
        first = PICK.randrange(*PORTS)
        ports = range(first, first + count)
        if not GIVEN.intersection(ports) and all(map(is_free, ports)):
            GIVEN.update(ports)
            return first


def is_free(port):
    """Return whether nothing listens at ``port``."""
    with socket.socket() as opened:
        try:
            opened.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
