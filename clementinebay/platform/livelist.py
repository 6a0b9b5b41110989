"""The platform's list of VMs, read over HTTP with an entity tag."""

import httpx
import msgspec

from clementinebay import errors
from clementinebay.platform.base import LiveList, Vm


class HttpLiveList(LiveList):
    """Reads the list at ``url``, a JSON array of objects with the fields of `Vm`."""

    def __init__(self, url, timeout):
        self.url = url
        self.client = httpx.AsyncClient(timeout=timeout)
        self.tag = None

    async def read(self):
        """See `LiveList`."""
        headers = {"If-None-Match": self.tag} if self.tag else {}
        try:
            response = await self.client.get(self.url, headers=headers)
        except httpx.HTTPError as error:
            raise errors.PlatformUnavailableError(f"live list: {error!r}") from error
        if response.status_code == 304:
            return None
        if response.status_code != 200:
            raise errors.PlatformUnavailableError(f"live list: {response.status_code}")
        try:
            vms = [Vm(**item) for item in msgspec.json.decode(response.content)]
        except (msgspec.DecodeError, TypeError, ValueError) as error:
            raise errors.PlatformUnavailableError(f"live list: {error!r}") from error
        self.tag = response.headers.get("ETag")
        return vms

    async def close(self):
        """See `LiveList`."""
        await self.client.aclose()
