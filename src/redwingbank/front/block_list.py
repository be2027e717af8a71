"""Keeps the blocked causes of crashes in the store, for hosts that start later."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Any

import anyio

from redwingbank.clock import now_s
from redwingbank.front.store import CALL_TIMEOUT_S, FIRST_STATUS_AFTER_SUCCESS, StoreError
from redwingbank.platform.fields import read_number, read_object
from redwingbank.platform.objects import (
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    encode_object,
    list_path,
    object_path,
)
from redwingbank.rules.crash_causes import BLOCK_S

if TYPE_CHECKING:
    from random import Random

    from redwingbank.decisions import DecisionLog
    from redwingbank.front.poison import PoisonTracker
    from redwingbank.front.store import Listing, StoreClient, WatchedChanges
    from redwingbank.platform.objects import StoredObject

KIND_BLOCKS = "redwingbank-blocks"
LEFT = "seconds_left"
# All hosts block a trait at about the same time; the first to write it spares the others the call.
MAX_WRITE_DELAY_S = 1.0
RETRY_S = 1.0
# A write that is later than this was held up, and news of the block may still be unread.
HELD_UP_S = 0.2
# The watch only serves to learn of changes that the hosts' messages did not bring.
WATCH_S = 25.0


class BlockList:
    """Writes this host's blocks to the store, and applies those that it holds.

    The object of a block is named after the trait. Deleting it lifts the block on every host. An
    object tells no time of day, since the hosts' clocks may differ, but the seconds of the block
    that were left as it was written. A host blocks the trait for so long from when it learns of
    it, and the first whose term ends deletes the object.
    """

    def __init__(
        self, client: StoreClient, poison: PoisonTracker, log: DecisionLog, random: Random
    ) -> None:
        self._client = client
        self._poison = poison
        self._log = log
        self._random = random
        self._stored: set[str] = set()
        self._due_s_by_trait: dict[str, float] = {}
        self._lifted: set[str] = set()
        # what this host wrote; the host that clears a trait may not have read that yet
        self._written: set[str] = set()
        self._changed = anyio.Event()
        poison.on_blocked = self._schedule_write
        poison.on_cleared = self._schedule_deletion
        poison.on_cleared_elsewhere = self._delete_own

    def wait_s(self) -> float:
        """Return how long a watch may wait."""
        return WATCH_S

    def handle_listing(self, listing: Listing) -> None:
        """Apply the list of all blocks; those no longer listed have been lifted.

        A block whose write isn't confirmed may not have been in the store yet.
        """
        listed = {stored.name for stored in listing.objects}
        for trait in self._stored - listed - self._due_s_by_trait.keys():
            if listing.begins_era:
                # the copy is older than the block
                self._stored.discard(trait)
                self._schedule_write(trait)
            else:
                self._lift(trait)
        for stored in listing.objects:
            if stored.name not in self._stored:
                self._apply(stored)

    def handle_changes(self, watched: WatchedChanges) -> None:
        """Apply blocks that were written or deleted."""
        for change in watched.changes:
            if change.deleted:
                self._lift(change.stored.name)
            else:
                self._apply(change.stored)

    def handle_loss(self, reason: str) -> None:
        """Log that the store is unreachable."""
        self._log.essential("store-lost", kind="blocks", reason=reason)

    def handle_recovery(self) -> None:
        """Log that the store is reachable again."""
        self._log.essential("store-regained", kind="blocks")

    def expire(self, now: float) -> None:
        """Lift the blocks whose term has ended."""
        for trait in self._poison.causes.pop_expired(now):
            self._log.essential("poison-unblocked", fingerprint=trait, reason="term ended")
            self._schedule_deletion(trait)

    async def run(self) -> None:
        """Write and delete objects until cancelled."""
        while True:
            if not self._due_s_by_trait and not self._lifted:
                self._changed = anyio.Event()
                await self._changed.wait()
            wait_s = min(self._due_s_by_trait.values(), default=0.0) - now_s()
            if not self._lifted and wait_s > 0:
                self._changed = anyio.Event()
                with anyio.move_on_after(wait_s):
                    # an earlier one may come meanwhile
                    await self._changed.wait()
                    continue
            try:
                await self._write_due()
            except StoreError as error:
                self._log.detail("block-not-written", reason=str(error))
                await anyio.sleep(RETRY_S)

    async def _write_due(self) -> None:
        for trait in list(self._lifted):
            path = object_path(KIND_BLOCKS, trait)
            await self._call("DELETE", path, b"", tolerated=STATUS_NOT_FOUND)
            self._lifted.discard(trait)
        for trait, due_s in list(self._due_s_by_trait.items()):
            late_s = now_s() - due_s
            if late_s > HELD_UP_S:
                self._set_due(trait)
            elif late_s >= 0 and not self._poison.find_blocked((trait,), now_s()):
                self._due_s_by_trait.pop(trait, None)
            elif late_s >= 0:
                left_s = self._poison.causes.seconds_left(trait, now_s())
                created = encode_object(trait, {LEFT: round(left_s, 1)})
                # the store may hold it from now on, also without an answer
                self._stored.add(trait)
                self._written.add(trait)
                await self._call("POST", list_path(KIND_BLOCKS), created, STATUS_CONFLICT)
                self._due_s_by_trait.pop(trait, None)

    async def _call(self, method: str, path: str, body: bytes, tolerated: int) -> None:
        status, _ = await self._client.call(method, path, body, CALL_TIMEOUT_S)
        if status >= FIRST_STATUS_AFTER_SUCCESS and status != tolerated:
            raise StoreError(f"status {status}")

    def _schedule_write(self, trait: str) -> None:
        if trait not in self._stored:
            self._set_due(trait)
            self._changed.set()

    def _set_due(self, trait: str) -> None:
        self._due_s_by_trait[trait] = now_s() + MAX_WRITE_DELAY_S * self._random.random()

    def _delete_own(self, trait: str) -> None:
        """Delete a block that this host wrote, and that another one has cleared."""
        if trait in self._written:
            self._schedule_deletion(trait)
        else:
            self._due_s_by_trait.pop(trait, None)

    def _schedule_deletion(self, trait: str) -> None:
        self._due_s_by_trait.pop(trait, None)
        self._written.discard(trait)
        if trait in self._stored:
            self._stored.discard(trait)
            self._lifted.add(trait)
            self._changed.set()

    def _apply(self, stored: StoredObject) -> None:
        """Block a trait that the store lists, unless it is blocked already or being lifted."""
        trait = stored.name
        self._due_s_by_trait.pop(trait, None)
        if trait in self._lifted:
            return
        self._stored.add(trait)
        if self._poison.causes.refutes(trait, now_s()):
            # its writer may know of more crashes, so it stays in the store
            self._log.essential("block-left-out", fingerprint=trait, reason="common cause")
            return
        if not self._poison.find_blocked((trait,), now_s()):
            self._poison.causes.block(trait, now_s(), _read_left_s(stored.content))
            self._log.essential("poison-blocked", fingerprint=trait, reason="listed")

    def _lift(self, trait: str) -> None:
        self._written.discard(trait)
        if trait in self._stored:
            self._stored.discard(trait)
            self._poison.causes.unblock(trait)
            self._log.essential("poison-unblocked", fingerprint=trait, reason="deleted")


def _read_left_s(content: Any) -> float:
    """Return for how long a block holds; a whole term if that is not told or can't be read."""
    with suppress(ValueError):
        return read_number(read_object(content).get(LEFT, BLOCK_S), most=BLOCK_S)
    return BLOCK_S


__all__ = ["KIND_BLOCKS", "BlockList"]
