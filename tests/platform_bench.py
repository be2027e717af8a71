"""A platform stand-in for steps of several features."""

from __future__ import annotations

from anyio.from_thread import start_blocking_portal

from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.settings import Address, PeerKey, Settings
from redwingbank_standins.platform import build_platform, serve_platform


def settings_for(platform: Address, **fields) -> Settings:
    free = Address("127.0.0.1", 0)
    keys = (PeerKey(1, b"0123456789abcdef"),)
    return Settings("entry-1", "amman-a", free, free, platform, keys, **fields)


class PlatformStandIn:
    """A stand-in that serves one scenario; `run` calls its client on its event loop."""

    def __init__(self, context):
        self.app = build_platform()
        self.versions = []
        portal = start_blocking_portal()
        self._portal = portal.__enter__()
        context.add_cleanup(portal.__exit__, None, None, None)
        served = self._portal.wrap_async_context_manager(serve_platform(self.app))
        self.address = served.__enter__()
        context.add_cleanup(served.__exit__, None, None, None)

    def run(self, function, **fields):
        async def body():
            client = HttpPlatform(settings_for(self.address, **fields))
            try:
                return await function(client)
            finally:
                await client.close()

        return self._portal.call(body)
