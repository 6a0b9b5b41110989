"""Service "queues": follows the operators' queue table and disabled domains."""

from clementinebay import errors
from clementinebay.clock import BootClock
from clementinebay.service import Service
from clementinebay.workflow.boundary import DisabledDomain
from clementinebay.workflow.mirror import Mirror
from clementinebay.workflow.model import QueueTable


class Queues(Service):
    """Holds the newest `QueueTable` and the failure domains that are ``out``.

    ``listener`` is called without arguments after each change.
    """

    name = "queues"
    requires = ("eventlog",)

    async def start(self):
        """Start to follow the operators' items."""
        self.log = self.kernel.find("eventlog").log
        self.boundary = self.settings.boundary
        self.table = None
        self.domains_out = {}
        self.listener = None
        self.mirror = Mirror(
            self.settings.store,
            self.boundary.operator_prefix,
            self.replace,
            self.update,
            BootClock(),
            self.log,
        )
        self.background.spawn(self.mirror.run)

    @property
    def out(self):
        """Names of the failure domains that are out of service."""
        return frozenset(self.domains_out.values())

    def replace(self, entries):
        """Handle the initial set of items."""
        self.domains_out = {}
        for entry in entries:
            self.apply_item(entry)
        self.notify_listener()

    def update(self, entry):
        """Handle a change of one item; a value of ``None`` means deletion."""
        if entry.value is None:
            name = self.domains_out.pop(entry.key, None)
            if name is not None:
                self.log.info("domain.back", domain=name, version=entry.version)
        else:
            self.apply_item(entry)
        self.notify_listener()

    def apply_item(self, entry):
        """Decode and apply one item."""
        try:
            item = self.boundary.decode_operator_item(entry.key, entry.value)
        except errors.EntryInvalidError as error:
            self.log.error("operator.item_invalid", key=error.key, why=error.reason)
            return
        if isinstance(item, DisabledDomain):
            self.domains_out[entry.key] = item.name
            self.log.info("domain.out", domain=item.name, version=entry.version)
        elif isinstance(item, QueueTable):
            self.adopt(item)

    def adopt(self, table):
        """Adopt ``table`` if it is newer than the current one."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.log.info("queues.adopted", version=table.version, queues=len(table.queues))

    def notify_listener(self):
        """Call the listener, if any."""
        if self.listener is not None:
            self.listener()
