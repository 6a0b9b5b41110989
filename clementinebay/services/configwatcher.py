"""Service "config": holds the document in force, newer revisions only."""

import asyncio

from clementinebay import config, errors, metrics
from clementinebay.configstore import ConfigStore
from clementinebay.log import Log
from clementinebay.service import Service

#: Time between two reads of the revision, in seconds.
POLL_SECONDS = 1.0
#: Longest wait of a daemon that starts for the word of its peers, in seconds.
FIRST_PEERS_SECONDS = 3.0

log = Log("config")


class ConfigWatcher(Service):
    """Holds ``document``; ``confirmed_at`` is when it was last known to be newest."""

    name = "config"
    requires = ("platform",)

    async def start(self):
        """Begin to read."""
        self.store = ConfigStore(self.kernel.find("platform").control, self.clock)
        self.document = config.Document(config.Head(), {})
        self.confirmed_at = 0.0
        self.peers_asked = asyncio.Event()
        self.background.spawn(self.watch)

    async def watch(self):
        """Read the revision at every interval, once the peers have been asked.

        They may know a newer revision than an old value of the platform shows.
        """
        try:
            async with asyncio.timeout(FIRST_PEERS_SECONDS):
                await self.peers_asked.wait()
        except TimeoutError:
            log.info("No peer answers; the platform's word is taken.")
        while True:
            await self.read()
            await asyncio.sleep(POLL_SECONDS)

    async def read(self):
        """Read the revision, and the document if it is newer."""
        asked_at = self.clock.now()
        held = self.document.revision
        try:
            newest = await self.store.revision()
            if newest > self.document.revision:
                self.adopt(await self.store.document(self.document))
        except errors.PlatformError as error:
            log.debug("Cannot read the revision: %s.", error)
            return
        if held <= newest <= self.document.revision:
            self.confirmed_at = asked_at
        else:
            # An old value says nothing of what is in force now.
            log.warning("The platform told revision %d after %d.", newest, held)

    def adopt(self, document):
        """Put ``document`` in force if it is newer than the one that is."""
        self.check(document)
        if document.revision > self.document.revision:
            self.document = document
            metrics.CONFIG_REVISION.set(document.revision)
            log.info("Revision %d is in force.", document.revision)

    def check(self, document):
        """Raise `InvariantBrokenError` if one revision has two contents."""
        same = document.revision == self.document.revision
        if same and document.head != self.document.head:
            raise errors.InvariantBrokenError(
                f"revision {document.revision} has two contents"
            )
