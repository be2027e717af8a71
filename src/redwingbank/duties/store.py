"""The store object of the lease: reads and conditional writes."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from redwingbank.duties.codec import MAX_FENCE
from redwingbank.duties.lease import NO_LEASE, LeaseRecord, SentReport, StoredLease
from redwingbank.front.store import CALL_TIMEOUT_S, FIRST_STATUS_AFTER_SUCCESS, StoreError
from redwingbank.platform.fields import (
    decoding,
    read_integer,
    read_list,
    read_object,
    read_text,
    read_whole,
)
from redwingbank.platform.objects import (
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    decode_object,
    decode_page,
    encode_object,
    list_path,
    object_path,
)

if TYPE_CHECKING:
    from redwingbank.front.store import StoreClient
    from redwingbank.platform.objects import StoredObject

KIND_DUTIES = "redwingbank-duties"
NAME_HOLDER = "holder"
# what hosts of earlier releases leave out
NONE_COMPOSED = -1
UNKNOWN_ERA = 0


async def read_lease(client: StoreClient) -> StoredLease:
    """Read the lease, not from an older copy; without an object it is `NO_LEASE`.

    :raises StoreError: if the store does not answer in time
    :raises MalformedError: if the object is not a lease
    """
    page = decode_page(await client.get(list_path(KIND_DUTIES), CALL_TIMEOUT_S))
    by_name = {stored.name: stored for stored in page.objects}
    return _decode(by_name[NAME_HOLDER]) if NAME_HOLDER in by_name else NO_LEASE


async def write_lease(client: StoreClient, record: LeaseRecord, revision: int) -> StoredLease:
    """Write the lease if the object has this revision, 0 for none; return what is stored then.

    :raises StoreError: if the outcome is not known
    :raises MalformedError: if what the store returns is not a lease
    """
    written = partial(encode_object, NAME_HOLDER, encode_lease(record))
    if revision:
        path = object_path(KIND_DUTIES, NAME_HOLDER)
        status, body = await client.call("PUT", path, written(revision), CALL_TIMEOUT_S)
    else:
        status, body = await client.call("POST", list_path(KIND_DUTIES), written(), CALL_TIMEOUT_S)
    if status == STATUS_NOT_FOUND:
        return NO_LEASE
    if status >= FIRST_STATUS_AFTER_SUCCESS and status != STATUS_CONFLICT:
        raise StoreError(f"status {status}")
    return _decode(decode_object(body))


def encode_lease(record: LeaseRecord) -> dict[str, Any]:
    """Encode a lease as the content of the store object."""
    sent = [
        {"windowId": window, "counts": counts, "accepted": accepted}
        for window, counts, accepted in record.sent
    ]
    return {**record._asdict(), "sent": sent}


def decode_lease(content: Any) -> LeaseRecord:
    """Decode the content of the store object.

    :raises MalformedError: if it is not a lease
    """
    with decoding("lease"):
        content = read_object(content)
        return LeaseRecord(
            holder=read_text(content["holder"]),
            incarnation=read_integer(content["incarnation"]),
            fence=read_integer(content["fence"], most=MAX_FENCE),
            renewal=read_integer(content["renewal"]),
            sent=tuple(map(_sent, read_list(content["sent"]))),
            capacity=read_whole(content.get("capacity")),
            composed=read_integer(content.get("composed", NONE_COMPOSED), least=NONE_COMPOSED),
            era=read_integer(content.get("era", UNKNOWN_ERA)),
        )


def _sent(row: Any) -> SentReport:
    counts = {
        read_text(name): read_integer(count) for name, count in read_object(row["counts"]).items()
    }
    return SentReport(read_integer(row["windowId"]), counts, bool(row["accepted"]))


def _decode(stored: StoredObject) -> StoredLease:
    return StoredLease(decode_lease(stored.content), stored.revision)


__all__ = [
    "KIND_DUTIES",
    "NAME_HOLDER",
    "decode_lease",
    "encode_lease",
    "read_lease",
    "write_lease",
]
