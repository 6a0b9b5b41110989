"""Values that a term publishes for daemons and successors, one at each key.

These writes are not part of the term's chain, which may wait for an answer for long.
"""

from clementinebay import errors
from clementinebay.workflow import jobstore


class PublishedValue:
    """The value of one key, written by one caller at a time.

    Load pattern: the store executes writes seconds late and does not answer them.  Each
    write names the version that it replaces, so that it has no effect once a later one
    was executed.  ``value`` is what the store has and ``version`` the version of the
    key, 0 if it does not exist.  Both are ``None`` at the begin of a term and after a
    failed write, as a write without an answer may still be executed.
    """

    def __init__(self, key, writer, log):
        self.key = key
        self.writer = writer
        self.log = log
        self.value = None
        self.version = None

    async def publish(self, value, put):
        """Store ``value`` by the write ``put``; return whether that succeeded.

        A value is replaced but not deleted: a late write could create the key again.
        Raises `NotLeaderError` if the term is over.
        """
        self.value = None
        try:
            await self.replace(put)
        except errors.CompareFailedError as error:
            if error.key != self.key:
                raise errors.NotLeaderError(error.key) from error
            self.version = 0 if error.entry is None else error.entry.version
            self.log.info("term.late_write_executed", key=self.key)
            return False
        except errors.PlatformError as error:
            self.version = None
            self.log.warning("term.side_write_failed", key=self.key, error=error.code)
            return False
        self.value = value
        return True

    async def replace(self, put):
        """Replace the known version of the key, after reading it if it is unknown."""
        store = self.writer.store
        if self.version is None:
            entry = await store.get(self.key)
            self.version = 0 if entry is None else entry.version
        compares = [(jobstore.HOLDER, self.writer.fence), (self.key, self.version)]
        self.version = await store.commit(compares, [put])
