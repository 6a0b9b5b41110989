"""Service "livelist": polls the platform's list of VMs."""

import asyncio

from clementinebay import errors
from clementinebay.log import Log
from clementinebay.service import Service
from clementinebay.store.livelist import HttpLiveList

log = Log("livelist")


class LiveListWatcher(Service):
    """Holds ``vms`` by id and the ids of ``leaving`` VMs.

    ``confirmed_at`` is the time at which the last successful read was requested.
    ``observers`` are called without arguments after each change of ``vms``.
    """

    name = "livelist"

    async def start(self):
        """Start to poll the list."""
        self.live_list = HttpLiveList(
            self.settings.platform_live_list_url,
            self.settings.platform_timeout_seconds,
        )
        self.vms = {}
        self.leaving = frozenset()
        self.confirmed_at = 0.0
        self.observers = []
        self.background.spawn(self.watch)

    async def watch(self):
        """Read the list periodically."""
        while True:
            await self.read()
            await asyncio.sleep(self.settings.platform_live_list_seconds)

    async def read(self):
        """Read the list once."""
        requested_at = self.clock.now()
        try:
            vms = await self.live_list.read()
        except errors.PlatformError as error:
            log.debug("Cannot read the live list: %s.", error)
            return
        self.confirmed_at = requested_at
        if vms is not None:
            self.vms = {vm.id: vm for vm in vms}
            self.leaving = {vm.id for vm in vms if vm.leaving}
            for observer in self.observers:
                observer()

    def endpoints(self, domain):
        """Return the endpoints of ``domain``."""
        return [
            vm
            for vm in self.vms.values()
            if vm.role == "endpoint" and vm.failure_domain == domain
        ]

    def daemons(self):
        """Return the entry VMs other than this one."""
        return [
            vm
            for vm in self.vms.values()
            if vm.role == "entry" and vm.id != self.settings.daemon_name
        ]

    def domains(self):
        """Return the names of all failure domains on the list, sorted."""
        return sorted({vm.failure_domain for vm in self.vms.values()})

    async def stop(self):
        """Close the client."""
        await self.live_list.close()
