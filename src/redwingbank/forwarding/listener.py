"""The listener for requests that other hosts forward."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.inbound import InboundConnection
from redwingbank.front.listener import Listener

if TYPE_CHECKING:
    from redwingbank.front.router import Router


async def listen_for_forwards(router: Router) -> Listener | None:
    """Listen on the TCP port with the number of the port of messages between hosts.

    Without that port the host goes on, and takes no forwarded requests: return None.
    """
    settings, forwarding = router.settings, router.forwarding
    if not forwarding.enabled:
        return None
    listener = Listener(settings.peer, lambda: InboundConnection(router, forwarded=True))
    try:
        await listener.start()
    except OSError as error:
        router.log.essential("forwards-refused", address=str(settings.peer), reason=str(error))
        return None
    # the shutdown may have begun while the front started
    forwarding.takes_forwards = not router.shutdown.begun
    return listener


__all__ = ["listen_for_forwards"]
