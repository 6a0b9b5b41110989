"""Service "platform": the key-value store, with limited call rates."""

import asyncio
import importlib

from clementinebay import errors
from clementinebay.service import Service
from clementinebay.store.accountant import CallBudget, RateLimitedStore, rate_shares

#: Number of daemons assumed to share the platform until the live list is read.
ASSUMED_DAEMONS = 40
#: Time between two updates of this daemon's share of the platform, in seconds.
RESIZE_SECONDS = 1.0

#: Protocol name -> (module, class) of `KeyValueStore`.
STORES = {"etcd-json": ("clementinebay.store.etcd", "EtcdStore")}


def open_store(name, url, timeout):
    """Return a store client for protocol ``name`` at ``url``."""
    try:
        module, class_name = STORES[name]
    except KeyError:
        raise errors.KernelError(f"no store is named {name}") from None
    return getattr(importlib.import_module(module), class_name)(url, timeout)


class Platform(Service):
    """Owns ``store`` and ``control``, through which all calls to the platform go.

    ``control`` is for data on which guarantees depend: the leader lease, the shard's
    log and the configuration.  A part of this daemon's call rate is reserved for it.
    ``schedules`` is set while this daemon schedules its domain and needs more writes.
    """

    name = "platform"
    requires = ("livelist",)

    async def start(self):
        """Open the store."""
        settings = self.settings
        store = open_store(
            settings.platform_store,
            settings.platform_url,
            settings.platform_timeout_seconds,
        )
        self.schedules = False
        self.budget = CallBudget(self.clock, *self.rate_limits())
        self.store = RateLimitedStore(store, self.budget)
        self.control = RateLimitedStore(store, self.budget, control=True)
        self.background.spawn(self.resize)

    async def resize(self):
        """Adapt the call rates to the number of daemons that share the platform."""
        while True:
            self.budget.resize(*self.rate_limits())
            await asyncio.sleep(RESIZE_SECONDS)

    def rate_limits(self):
        """Return this daemon's limits of reads and writes per second."""
        livelist = self.kernel.find("livelist")
        settings = self.settings
        daemons = 1 + len(livelist.daemons()) if livelist.vms else ASSUMED_DAEMONS
        domains = max(1, len(livelist.domains()))
        return rate_shares(
            settings.platform_reads_per_second,
            settings.platform_writes_per_second,
            daemons,
            domains,
            self.schedules,
        )

    async def stop(self):
        """Close the store."""
        await self.store.close()
