"""Client of the platform's store: single calls, and watches of a kind of objects."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, NamedTuple, Protocol

import anyio

from redwingbank.clock import now_s
from redwingbank.front.outbound import ConnectionPool, Loss, Message
from redwingbank.front.wire import DEFAULT_ANSWER_LIMITS
from redwingbank.platform.objects import (
    STATUS_HISTORY_GONE,
    MalformedError,
    decode_changes,
    decode_era,
    decode_page,
    list_path,
    watch_path,
)
from redwingbank.rules.store_order import EraStep, StoreOrder

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from redwingbank.front.wire import AnswerHead, AnswerLimits, Header
    from redwingbank.platform.objects import Change, StoredObject
    from redwingbank.settings import Address

# A slow store answers in about 200 ms; after this timeout it counts as unreachable.
CALL_TIMEOUT_S = 0.6
MIN_WAIT_S = 0.02
LIST_TIMEOUT_S = 1.0
# The backoff doubles with each failed call. Jitter spreads the calls of the hosts, which all see
# the same outage.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 0.5
BACKOFF_JITTER = 0.5
# Changes come in groups, for example when servers start together. Waiting for more of them saves
# a call per change and host.
CHANGE_BATCH_S = 0.6
KEEP_IDLE_S = 5.0
# several times the longest page of a listing
MAX_ANSWER_BYTES = 16 * 1024 * 1024
STATUS_OK = 200
FIRST_STATUS_AFTER_SUCCESS = 300


class StoreError(Exception):
    """A call without a usable answer; it may have taken effect."""


class HistoryGoneError(Exception):
    """The store no longer holds the changes that a watch asked for."""


class _Answer(NamedTuple):
    """The answer to a call."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class _Call:
    """Collects the answer to one call."""

    def __init__(self) -> None:
        self.answered = False
        self.done: asyncio.Future[_Answer] = asyncio.get_running_loop().create_future()
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._body = bytearray()

    def head_received(self, head: AnswerHead) -> None:
        """Record the status and the headers."""
        self._status, self._headers = head.status, head.headers

    def body_received(self, data: bytes) -> None:
        """Append to the body; one that is too long fails the call."""
        self._body += data
        if len(self._body) > MAX_ANSWER_BYTES:
            self._body.clear()
            self.answer_lost(Loss.GARBAGE, "answer is too long")

    def answer_completed(self) -> None:
        """Return the complete answer to the caller."""
        self.answered = True
        if not self.done.done():
            self.done.set_result(_Answer(self._status, self._headers, bytes(self._body)))

    def answer_lost(self, loss: Loss, detail: str) -> None:
        """Raise a `StoreError` at the caller."""
        if not self.done.done():
            self.done.set_exception(StoreError(f"{loss}: {detail}"))


class StoreClient:
    """Calls the store over reused connections, and follows its era.

    `on_new_era` is called with the eras before and after a rise, before the answer that tells it
    is returned, and `on_bad_era` with the reason for which an answer's era changes nothing.
    """

    def __init__(self, address: Address, limits: AnswerLimits = DEFAULT_ANSWER_LIMITS) -> None:
        self.calls = 0
        self.on_new_era: list[Callable[[int, int], None]] = []
        self.on_bad_era: Callable[[str], None] = lambda reason: None
        self._order = StoreOrder()
        self._pool = ConnectionPool(address, KEEP_IDLE_S, limits)

    @property
    def era(self) -> int:
        """The store's era, that of the answer that was returned last; 0 if none was stated."""
        return self._order.era

    def move(self, address: Address) -> None:
        """Use another address for later calls."""
        if address != self._pool.address:
            self._pool.close()
            self._pool = ConnectionPool(address, KEEP_IDLE_S, self._pool.limits)

    async def get(self, path: str, timeout_s: float) -> bytes:
        """Read a path.

        :raises StoreError: if there is no answer in time, or one without success
        :raises HistoryGoneError: if the store no longer holds the requested changes
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
        """Make a call and return the answer's status and body.

        :raises StoreError: if there is no answer in time
        """
        return await self.exchange(partial(_request, method, path, body), timeout_s)

    async def exchange(
        self, encode: Callable[[Address], bytes], timeout_s: float
    ) -> tuple[int, bytes]:
        """Send what `encode` returns once a connection is open; return the status and body.

        :raises StoreError: if there is no answer in time
        """
        self.calls += 1
        call = _Call()
        connection = None
        try:
            with anyio.fail_after(timeout_s):
                connection = self._pool.acquire() or await self._pool.connect()
                connection.send(Message(encode(self._pool.address)), call)
                answer = await call.done
        except (TimeoutError, OSError) as error:
            raise StoreError(str(error) or "timeout") from error
        finally:
            if connection and not call.answered:
                connection.abort()
        self._check_era(answer.headers)
        return answer.status, answer.body

    def _check_era(self, headers: tuple[Header, ...]) -> None:
        """Follow the era of an answer; one that can't be read is taken for the era known."""
        before, stated = self._order.era, None
        try:
            stated = decode_era(headers)
        except MalformedError as error:
            self.on_bad_era(str(error))
        step = self._order.judge(stated)
        if step is EraStep.RISEN:
            for listener in self.on_new_era:
                listener(before, self._order.era)
        elif step is not EraStep.SAME:
            reason = f"era {stated} after {before}"
            self.on_bad_era(reason)
            if step is EraStep.FALLEN:
                raise StoreError(reason)


class Listing(NamedTuple):
    """All objects of a kind; `asked_s` is when the first page was requested.

    `since` is the revision up to which changes were known before in the same era, 0 at first.
    `begins_era` is true for the first list of an era after another one.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    asked_s: float
    since: int
    era: int = 0
    begins_era: bool = False


class WatchedChanges(NamedTuple):
    """Changes that a watch received between two store revisions, empty if it timed out."""

    changes: Sequence[Change]
    since: int
    until: int
    asked_s: float
    era: int = 0


class ChangeHandler(Protocol):
    """Receives the objects of a kind and their changes."""

    def handle_listing(self, listing: Listing) -> None:
        """Handle a list of all objects."""

    def handle_changes(self, watched: WatchedChanges) -> None:
        """Handle the result of a watch."""

    def handle_loss(self, reason: str) -> None:
        """Handle the loss of the store."""

    def handle_recovery(self) -> None:
        """Handle the store's return."""


class Watcher:
    """Keeps a handler up to date with a kind of objects.

    After a failure the watch continues from the last revision. The objects are listed again if
    the store no longer holds the changes since then, if an answer could not be decoded, or in a
    new era, in which `revision` is of other contents.
    `wait_s` returns how long the next watch may wait, or None if other hosts send the changes and
    no watch is needed.
    """

    def __init__(
        self,
        client: StoreClient,
        kind: str,
        handler: ChangeHandler,
        wait_s: Callable[[], float | None],
        random: Random,
    ) -> None:
        self.revision = 0
        self.era = 0
        self._client = client
        self._kind = kind
        self._handler = handler
        self._wait_s = wait_s
        self._random = random
        self._listed = False
        self._unreachable = False
        self._interrupted = False
        self._backoff_s = INITIAL_BACKOFF_S
        self._wait_scope = anyio.CancelScope()
        client.on_new_era.append(lambda before, after: self.interrupt())

    @property
    def _in_era(self) -> bool:
        """Whether the objects were listed in the store's era."""
        return self._listed and self.era == self._client.era

    def interrupt(self) -> None:
        """End the current wait; the next watch starts at once, on another connection."""
        self._interrupted = True
        self._wait_scope.cancel()

    def advance(self, since: int, until: int) -> bool:
        """Mark changes up to `until` as known; return False if changes before `since` are not."""
        if not self._in_era or since > self.revision:
            return False
        self.revision = max(self.revision, until)
        return True

    async def run(self) -> None:
        """List and watch the objects until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._listed = False
            except (StoreError, MalformedError) as error:
                if isinstance(error, MalformedError):
                    self._listed = False
                if not self._unreachable:
                    self._handler.handle_loss(str(error))
                self._unreachable = True
                await anyio.sleep(self._backoff_s * (1 + BACKOFF_JITTER * self._random.random()))
                self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)

    async def _step(self) -> None:
        if not self._in_era:
            listing = await _list(self._client, self._kind)
            begins_era = bool(self.revision) and listing.era != self.era
            since = 0 if begins_era else self.revision
            self._note_recovery()
            self._handler.handle_listing(listing._replace(since=since, begins_era=begins_era))
            self.revision, self.era, self._listed = listing.revision, listing.era, True
            return
        # after a failure or an interruption, the store is asked to answer at once
        wait_s = MIN_WAIT_S if self._unreachable or self._interrupted else self._wait_s()
        if wait_s is None:
            with anyio.CancelScope() as self._wait_scope:
                await anyio.sleep_forever()
        else:
            await self._watch(wait_s)

    async def _watch(self, wait_s: float) -> None:
        self._interrupted = False
        since, asked_s = self.revision, now_s()
        body = None
        with anyio.CancelScope() as self._wait_scope:
            body = await self._client.get(
                watch_path(self._kind, since, wait_s), wait_s + CALL_TIMEOUT_S
            )
        if body is None:
            return
        if not self._in_era:
            # the changes are since a revision that was given out again
            return
        changes = decode_changes(body)
        self._note_recovery()
        if changes.revision < self.revision:
            # another host has sent later changes in the meantime
            return
        self._handler.handle_changes(
            WatchedChanges(changes.changes, since, changes.revision, asked_s, self.era)
        )
        self.revision = changes.revision
        if changes.changes:
            with anyio.CancelScope() as self._wait_scope:
                await anyio.sleep(CHANGE_BATCH_S)

    def _note_recovery(self) -> None:
        if self._unreachable:
            self._unreachable = False
            self._backoff_s = INITIAL_BACKOFF_S
            self._handler.handle_recovery()


async def _list(client: StoreClient, kind: str) -> Listing:
    asked_s, era, revision = now_s(), 0, 0
    objects: list[StoredObject] = []
    after = ""
    while True:
        page = decode_page(await client.get(list_path(kind, after), LIST_TIMEOUT_S))
        if after and client.era != era:
            raise StoreError("new era between two pages")
        if not after:
            # a page may change while those after it are read; the watch from here on tells it
            era, revision = client.era, page.revision
        objects += page.objects
        if not page.more or not page.objects:
            return Listing(tuple(objects), revision, asked_s, 0, era)
        after = page.objects[-1].name


def _request(method: str, path: str, body: bytes, address: Address) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
    if body:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


__all__ = [
    "CALL_TIMEOUT_S",
    "FIRST_STATUS_AFTER_SUCCESS",
    "ChangeHandler",
    "HistoryGoneError",
    "Listing",
    "WatchedChanges",
    "StoreClient",
    "StoreError",
]
