"""The one client of the platform's store: single calls, and following a kind of objects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol

import anyio

from redwingbank.front.clock import now_s
from redwingbank.front.outbound import ConnectionPool
from redwingbank.platform.objects import (
    STATUS_HISTORY_GONE,
    MalformedError,
    decode_changes,
    decode_page,
    list_path,
    watch_path,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from redwingbank.front.outbound import Loss
    from redwingbank.front.wire import AnswerHead
    from redwingbank.platform.objects import Change, StoredObject
    from redwingbank.settings import Address

# a slow store answers in some 200 ms; beyond this it counts as out of reach
CALL_TIMEOUT_S = 0.6
LEAST_WAIT_S = 0.02
LIST_TIMEOUT_S = 1.0
# pause after a failed call, doubled after each; hosts spread theirs, since all see one outage
PAUSE_S = 0.25
LONGEST_PAUSE_S = 0.5
PAUSE_SPREAD = 0.5
# changes come in groups, as when servers start together; a watch for each costs a call a host
GATHER_S = 0.6
KEEP_IDLE_S = 5.0
STATUS_OK = 200


class StoreError(Exception):
    """A call that gave no usable answer; whether it took effect is not known."""


class HistoryGoneError(Exception):
    """The store no longer holds the changes a watch asked for."""


class _Call:
    """Gathers the answer to one call."""

    def __init__(self) -> None:
        self.done: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
        self._status = 0
        self._body = bytearray()

    def headed(self, head: AnswerHead) -> None:
        """Take the status."""
        self._status = head.status

    def fed(self, data: bytes) -> None:
        """Gather the body."""
        self._body += data

    def ended(self) -> None:
        """Give the whole answer."""
        if not self.done.done():
            self.done.set_result((self._status, bytes(self._body)))

    def lost(self, loss: Loss, detail: str) -> None:
        """Give the failure."""
        if not self.done.done():
            self.done.set_exception(StoreError(f"{loss}: {detail}"))


class StoreClient:
    """Calls the store over kept connections."""

    def __init__(self, address: Address) -> None:
        self.calls = 0
        self._pool = ConnectionPool(address, KEEP_IDLE_S)

    def move(self, address: Address) -> None:
        """Use another address from the next call on."""
        if address != self._pool.address:
            self._pool.close()
            self._pool = ConnectionPool(address, KEEP_IDLE_S)

    async def get(self, path: str, timeout_s: float) -> bytes:
        """Read a path.

        :raises StoreError: where no answer came in time, or another than success
        :raises HistoryGoneError: where the changes asked for are no longer kept
        """
        status, body = await self.call("GET", path, b"", timeout_s)
        if status == STATUS_HISTORY_GONE:
            raise HistoryGoneError(path)
        if status != STATUS_OK:
            raise StoreError(f"status {status}")
        return body

    async def call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Make a call and give the answer's status and body.

        :raises StoreError: where no answer came in time
        """
        self.calls += 1
        call = _Call()
        connection = None
        try:
            with anyio.fail_after(timeout_s):
                connection = self._pool.take() or await self._pool.connect()
                connection.send(_request(method, path, body, self._pool.address), call)
                return await call.done
        except (TimeoutError, OSError) as error:
            raise StoreError(str(error) or "timeout") from error
        finally:
            if connection and not call.done.done():
                connection.abandon()


class Listing(NamedTuple):
    """All objects of a kind; `asked_s` is when the first page was asked for.

    `since` is the revision up to which changes were known before, 0 at first.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    asked_s: float
    since: int


class Seen(NamedTuple):
    """Changes that a watch saw between two of the store's revisions, none where it ended so."""

    changes: Sequence[Change]
    since: int
    until: int
    asked_s: float


class Follower(Protocol):
    """Takes the objects of a kind as they change."""

    def listed(self, listing: Listing) -> None:
        """Take the whole kind."""

    def changed(self, seen: Seen) -> None:
        """Take what a watch saw."""

    def lost(self, reason: str) -> None:
        """Take note that the store is out of reach."""

    def regained(self) -> None:
        """Take note that the store answers again."""


class Follow:
    """Keeps a follower up to date with a kind of objects.

    After a failure the watch goes on from the last revision; the kind is listed anew where the
    store no longer holds the changes since, or where an answer could not be read. `wait_s` says
    how long the next watch may wait; None where other hosts tell of changes and no watch is due.
    """

    def __init__(
        self,
        client: StoreClient,
        kind: str,
        follower: Follower,
        wait_s: Callable[[], float | None],
        random: Random,
    ) -> None:
        self.revision = 0
        self._client = client
        self._kind = kind
        self._follower = follower
        self._wait_s = wait_s
        self._random = random
        self._listed = False
        self._lost = False
        self._woken = False
        self._pause_s = PAUSE_S
        self._waiting = anyio.CancelScope()

    def interrupt(self) -> None:
        """End a wait; the next watch begins at once, on another connection."""
        self._woken = True
        self._waiting.cancel()

    def told(self, since: int, until: int) -> bool:
        """Take changes between two revisions as known; tell whether those before are, too."""
        if not self._listed or since > self.revision:
            return False
        self.revision = max(self.revision, until)
        return True

    async def run(self) -> None:
        """Follow, for ever."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._listed = False
            except (StoreError, MalformedError) as error:
                if isinstance(error, MalformedError):
                    self._listed = False
                if not self._lost:
                    self._follower.lost(str(error))
                self._lost = True
                await anyio.sleep(self._pause_s * (1 + PAUSE_SPREAD * self._random.random()))
                self._pause_s = min(2 * self._pause_s, LONGEST_PAUSE_S)

    async def _step(self) -> None:
        if not self._listed:
            listing = await _list(self._client, self._kind, self.revision)
            self._back()
            self._follower.listed(listing)
            self.revision, self._listed = listing.revision, True
            return
        # a store that did not answer, or has news, is asked for an answer at once
        wait_s = LEAST_WAIT_S if self._lost or self._woken else self._wait_s()
        if wait_s is None:
            with anyio.CancelScope() as self._waiting:
                await anyio.sleep_forever()
        else:
            await self._watch(wait_s)

    async def _watch(self, wait_s: float) -> None:
        self._woken = False
        since, asked_s = self.revision, now_s()
        body = None
        with anyio.CancelScope() as self._waiting:
            body = await self._client.get(
                watch_path(self._kind, since, wait_s), wait_s + CALL_TIMEOUT_S
            )
        if body is None:
            return
        seen = decode_changes(body)
        self._back()
        if seen.revision < self.revision:
            # others have told of later changes meanwhile
            return
        self._follower.changed(Seen(seen.changes, since, seen.revision, asked_s))
        self.revision = seen.revision
        if seen.changes:
            await anyio.sleep(GATHER_S)

    def _back(self) -> None:
        if self._lost:
            self._lost = False
            self._pause_s = PAUSE_S
            self._follower.regained()


async def _list(client: StoreClient, kind: str, since: int) -> Listing:
    asked_s = now_s()
    objects: list[StoredObject] = []
    after = ""
    while True:
        page = decode_page(await client.get(list_path(kind, after), LIST_TIMEOUT_S))
        objects += page.objects
        if not page.more or not page.objects:
            return Listing(tuple(objects), page.revision, asked_s, since)
        after = page.objects[-1].name


def _request(method: str, path: str, body: bytes, address: Address) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
    if body:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


__all__ = [
    "CALL_TIMEOUT_S",
    "Follower",
    "HistoryGoneError",
    "Listing",
    "Seen",
    "StoreClient",
    "StoreError",
]
