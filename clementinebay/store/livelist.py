"""The platform's list of VMs, read over HTTP with conditional requests."""

from clementinebay import decoding, errors
from clementinebay.store.base import LiveList, Vm
from clementinebay.store.session import CALL_ERRORS, Session

_decoder = decoding.Decoder(list[dict])


class HttpLiveList(LiveList):
    """Reads the list at ``url``, a JSON array of objects with the fields of `Vm`."""

    def __init__(self, url, timeout):
        self.url = url
        self.session = Session(timeout)
        self.etag = None

    async def read(self):
        """See `LiveList`."""
        headers = {"If-None-Match": self.etag} if self.etag else {}
        try:
            async with self.session.open().get(self.url, headers=headers) as response:
                content = await response.read()
        except CALL_ERRORS as error:
            raise errors.PlatformUnavailableError(f"live list: {error!r}") from error
        if response.status == 304:
            return None
        if response.status != 200:
            raise errors.PlatformUnavailableError(f"live list: {response.status}")
        try:
            vms = [Vm(**item) for item in _decoder.decode(content)]
        except (errors.UnreadableError, TypeError, ValueError, OverflowError) as error:
            raise errors.PlatformUnavailableError(f"live list: {error!r}") from error
        self.etag = response.headers.get("ETag")
        return vms

    async def close(self):
        """See `LiveList`."""
        await self.session.close()
