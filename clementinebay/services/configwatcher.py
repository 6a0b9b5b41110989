"""Service "config": holds the configuration document in force."""

import asyncio

from clementinebay import config, errors, metrics
from clementinebay.configstore import ConfigStore
from clementinebay.log import Log
from clementinebay.service import Service

#: Time between two reads of the revision, in seconds.
POLL_SECONDS = 1.0
#: Maximum wait at start until peers have been asked for their revision, in seconds.
PEERS_TIMEOUT_SECONDS = 3.0

log = Log("config")


class ConfigWatcher(Service):
    """Holds ``document``, the configuration in force.

    ``confirmed_at`` is the start of the last read that found it to be the newest.
    Revisions only increase; an older one is never adopted.
    """

    name = "config"
    requires = ("platform",)

    async def start(self):
        """Open the configuration store and start to poll it."""
        self.store = ConfigStore(self.kernel.find("platform").control, self.clock)
        self.document = config.Document(config.Head(), {})
        self.confirmed_at = 0.0
        self.peers_asked = asyncio.Event()
        self.background.spawn(self.watch)

    async def watch(self):
        """Wait until the peers have been asked for their revision, then poll the store.

        Peers may know a newer revision than a stale read of the platform returns.
        """
        try:
            async with asyncio.timeout(PEERS_TIMEOUT_SECONDS):
                await self.peers_asked.wait()
        except TimeoutError:
            log.info("Peers were not asked in time; reading the platform only.")
        while True:
            await self.read()
            await asyncio.sleep(POLL_SECONDS)

    async def read(self):
        """Read the revision, and the document if the revision is newer."""
        requested_at = self.clock.now()
        held_revision = self.document.revision
        try:
            newest = await self.store.revision()
            if newest > self.document.revision:
                self.adopt(await self.store.document(self.document))
        except errors.PlatformError as error:
            log.debug("Cannot read the revision or the document: %s.", error)
            return
        if held_revision <= newest <= self.document.revision:
            self.confirmed_at = requested_at
        else:
            # A stale read does not confirm that the document is the newest.
            log.warning(
                "Stale read: revision %d after revision %d.", newest, held_revision
            )

    def adopt(self, document):
        """Put ``document`` in force if it is newer than the current one."""
        self.check(document)
        if document.revision > self.document.revision:
            self.document = document
            metrics.CONFIG_REVISION.set(document.revision)
            log.info("Revision %d is in force.", document.revision)

    def check(self, document):
        """Raise `InvariantBrokenError` if the same revision has different contents."""
        same = document.revision == self.document.revision
        if same and document.head != self.document.head:
            raise errors.InvariantBrokenError(
                f"revision {document.revision} has two different contents"
            )
