"""Host discovery: each host stores an object with its peer address."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from redwingbank.front.store import CALL_TIMEOUT_S, FIRST_STATUS_AFTER_SUCCESS, StoreError
from redwingbank.front.unreadable_entries import UnreadableEntries
from redwingbank.platform.fields import decoding, read_object
from redwingbank.platform.objects import (
    STATUS_CONFLICT,
    MalformedError,
    decode_object,
    decode_page,
    encode_object,
    list_path,
    object_path,
)
from redwingbank.settings import Address, parse_remote_address

if TYPE_CHECKING:
    from redwingbank.decisions import DecisionLog
    from redwingbank.front.peers import Peers
    from redwingbank.front.store import StoreClient
    from redwingbank.platform.objects import StoredObject

KIND_HOSTS = "redwingbank-hosts"
# A starting host greets the listed hosts. The list is read again soon, for hosts that start at the
# same time.
LIST_S = 10.0
RETRY_S = 1.0


async def discover_hosts(
    client: StoreClient, host: str, address: Address, peers: Peers, log: DecisionLog
) -> None:
    """Register this host, then read the list of hosts periodically until cancelled.

    In a new era of the store it registers again: the copy may be older than its object.
    """
    unreadable = UnreadableEntries(log, "host-unreadable", "host_named")
    registered = listed = False
    era = 0
    while True:
        registered = registered and era == client.era
        registered = registered or await _try_step(_register, client, host, address, log)
        era = client.era
        listed_before = listed
        listed = registered and await _try_step(_list, client, peers, unreadable, log)
        await anyio.sleep(LIST_S if listed_before and listed else RETRY_S)


async def _try_step(step: Any, client: StoreClient, *rest: Any) -> bool:
    log: DecisionLog = rest[-1]
    try:
        await step(client, *rest)
    except (StoreError, MalformedError) as error:
        log.detail("hosts-unknown", step=step.__name__.strip("_"), reason=str(error))
        return False
    return True


async def _register(client: StoreClient, host: str, address: Address, log: DecisionLog) -> None:
    content = {"peer": str(address)}
    created = encode_object(host, content)
    status, body = await client.call("POST", list_path(KIND_HOSTS), created, CALL_TIMEOUT_S)
    if status == STATUS_CONFLICT:
        stored = decode_object(body)
        if stored.content == content:
            return
        replaced = encode_object(host, content, stored.revision)
        path = object_path(KIND_HOSTS, host)
        status, _ = await client.call("PUT", path, replaced, CALL_TIMEOUT_S)
    if status >= FIRST_STATUS_AFTER_SUCCESS:
        raise StoreError(f"status {status}")


async def _list(
    client: StoreClient, peers: Peers, unreadable: UnreadableEntries, log: DecisionLog
) -> None:
    body = await client.get(list_path(KIND_HOSTS, stale=True), CALL_TIMEOUT_S)
    objects = decode_page(body).objects
    addresses: dict[str, Address] = {}
    for stored in objects:
        try:
            addresses[stored.name] = decode_peer(stored)
        except MalformedError as error:
            unreadable.record(stored.name, error)
    unreadable.retain({stored.name for stored in objects} - addresses.keys())
    peers.add_hosts(addresses)


def decode_peer(stored: StoredObject) -> Address:
    """Decode the address of a host's messages.

    :raises MalformedError: if the object names none
    """
    with decoding("host"):
        return parse_remote_address(read_object(stored.content)["peer"])


__all__ = ["KIND_HOSTS", "decode_peer", "discover_hosts"]
