"""Service "platform": the key-value store, accounted."""

import importlib

from clementinebay import errors
from clementinebay.platform.accountant import AccountedStore
from clementinebay.service import Service

#: Protocol name -> (module, class) of `KeyValueStore`.
STORES = {"etcd-json": ("clementinebay.platform.etcd", "EtcdStore")}


def open_store(name, url, timeout):
    """Return the store that speaks protocol ``name`` with ``url``."""
    try:
        module, class_name = STORES[name]
    except KeyError:
        raise errors.KernelError(f"no store is named {name}") from None
    return getattr(importlib.import_module(module), class_name)(url, timeout)


class Platform(Service):
    """Owns ``store``, through which every call to the platform goes."""

    name = "platform"

    async def start(self):
        """Open the store."""
        settings = self.settings
        store = open_store(
            settings.platform_store,
            settings.platform_url,
            settings.platform_timeout_seconds,
        )
        self.store = AccountedStore(
            store,
            self.clock,
            settings.platform_reads_per_second,
            settings.platform_writes_per_second,
        )

    async def stop(self):
        """Close the store."""
        await self.store.close()
