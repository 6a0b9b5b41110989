"""Chooses the connection to close when clients take too much memory or descriptors.

Load pattern: many clients send requests of legal size and stop just short of their end,
or do not read their answers.  Each is within its limits; together they take all memory.
A request that was read completely may have been carried out, so its connection is
closed only if the client does not read, or has sent further requests ahead; these have
not begun.
"""

#: Order in which connections are closed, the last first: those that send without
#: reading, those that send ahead, those with an incomplete request, and idle ones.
IDLE, INCOMPLETE, AHEAD, UNREAD = range(4)


def kind(connection):
    """Return the kind of a connection, or ``None`` if it must not be closed.

    ``connection`` has ``is_answering``, ``is_unread`` (answers wait for the client),
    ``is_ahead`` (requests wait for their turn) and ``is_receiving`` (a request has
    begun).
    """
    if connection.is_unread:
        return UNREAD
    if connection.is_ahead:
        return AHEAD
    if connection.is_answering:
        return None
    return INCOMPLETE if connection.is_receiving else IDLE


def choose_to_close(connections):
    """Return the connection to close, or ``None``.

    Of the same kind it is the one for which the most is held, and of these the one that
    has been waiting for the longest.  ``changed_at`` is when its kind began.
    """
    candidates = [
        (found, connection.held_bytes, -connection.changed_at, id(connection))
        for connection in connections
        if (found := kind(connection)) is not None
    ]
    if not candidates:
        return None
    chosen = max(candidates)[-1]
    return next(c for c in connections if id(c) == chosen)
