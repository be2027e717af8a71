"""Which of the listed backend servers stands at an address.

Answers servers that start again while hosts list the store, and entries that are late or foreign:
several entries name one address for a time, and one process listens there.
"""

from __future__ import annotations

from enum import Enum, StrEnum, auto
from functools import singledispatchmethod
from typing import Any, NamedTuple

from redwingbank.front.values import ServerEntry  # noqa: TC001 - a field's type
from redwingbank.settings import Address  # noqa: TC001 - a field's type

NEVER_S = float("-inf")


class Proof(Enum):
    """What the process at an address has said of a start that is listed there."""

    NONE = auto()
    CONFIRMED = auto()
    DENIED = auto()


class Reason(StrEnum):
    """Why an entry stands at an address, or why none does."""

    LATEST_START = "latest start"
    LATER_DENIED = "the server denies a later start"
    ANSWERED = "the server answers to its name"
    ONLY_ENTRY = "no other entry"
    DENIED = "the server answers to another name"
    UNLISTED = "no entry"


class AnsweredAs(NamedTuple):
    """A server ran a request that was sent at `sent_s` and named this entry's server."""

    entry: ServerEntry
    sent_s: float


class Misdirected(NamedTuple):
    """A server turned a request away that was sent at `sent_s`: it isn't the entry's.

    `named` is the name that the answer gave in its place, empty if it gave none.
    """

    entry: ServerEntry
    named: str
    sent_s: float


class StartTold(NamedTuple):
    """The server at an entry's address told when it started, asked at `sent_s`."""

    entry: ServerEntry
    started_ms: int
    sent_s: float


Evidence = AnsweredAs | Misdirected | StartTold


class Claim(NamedTuple):
    """A start that an entry lists at an address.

    The start is listed here since `listed_s`. `proved_s` is when the request was sent whose answer
    is the `proof`.
    """

    entry: ServerEntry
    listed_s: float
    proof: Proof = Proof.NONE
    proved_s: float = NEVER_S


class Verdict(NamedTuple):
    """The entry that stands at an address, None if no start there may be used."""

    entry: ServerEntry | None
    reason: Reason


class AddressBook:
    """All starts of servers that are listed, by address, and what the servers say of them.

    In each pool the latest start stands that doesn't drain, in whatever order entries became
    known, and an earlier one again when that goes. Entries of other pools don't count: a server
    turns a request away that is meant for another one. What the process there says goes before
    any entry that was listed when it said so: a start that it denies gives way to another one, and
    the start by which it answers stays until a later one is listed. Without another one, a denied
    start stays in use, since a single answer may be misplaced.

    >>> address = Address("10.0.0.9", 80)
    >>> book = AddressBook()
    >>> for name, started_ms in (("i-2", 5), ("i-1", 9)):
    ...     book.put(ServerEntry(name, "pool", address, "a", 4, False, started_ms), 0.0)
    >>> latest = book.find_holder(address, "pool").entry
    >>> latest.name
    'i-1'
    >>> book.record(Misdirected(latest, "", sent_s=1.0))
    >>> book.find_holder(address, "pool").entry.name
    'i-2'
    """

    def __init__(self) -> None:
        self._claims_by_address: dict[Address, dict[str, Claim]] = {}
        self._address_by_name: dict[str, Address] = {}

    def put(self, entry: ServerEntry, now_s: float) -> None:
        """List an entry; another address or start under its name is another claim."""
        known = self._find(entry.name)
        same = (
            known is not None
            and known.entry.address == entry.address
            and known.entry.started_ms == entry.started_ms
        )
        if known and not same:
            self.remove(entry.name)
        claim = known._replace(entry=entry) if known and same else Claim(entry, now_s)
        self._claims_by_address.setdefault(entry.address, {})[entry.name] = claim
        self._address_by_name[entry.name] = entry.address

    def remove(self, name: str) -> None:
        """Remove the entry of a server that is no longer listed."""
        address = self._address_by_name.pop(name, None)
        if address is None:
            return
        claims = self._claims_by_address[address]
        del claims[name]
        if not claims:
            del self._claims_by_address[address]

    def rivals(self, address: Address, name: str) -> list[str]:
        """Return the names of the other servers that are listed at an address."""
        return sorted(self._claims_by_address.get(address, {}).keys() - {name})

    def pools(self, address: Address) -> set[str]:
        """Return the pools whose servers are listed at an address."""
        claims = self._claims_by_address.get(address, {})
        return {claim.entry.pool for claim in claims.values()}

    def find_holder(self, address: Address, pool: str) -> Verdict:
        """Return which entry of a pool stands at an address."""
        listed = self._claims_by_address.get(address, {}).values()
        claims = [claim for claim in listed if claim.entry.pool == pool]
        if not claims:
            return Verdict(None, Reason.UNLISTED)
        undenied = [claim for claim in claims if claim.proof is not Proof.DENIED]
        if undenied:
            return _choose(undenied, max(claims, key=_order))
        # no use while the server there answers to the name of another pool's
        confirmed_s = max(map(_confirmed_s, listed))
        later = [claim for claim in claims if claim.proved_s > confirmed_s]
        if not later:
            return Verdict(None, Reason.DENIED)
        return Verdict(min(later, key=_proved_first).entry, Reason.ONLY_ENTRY)

    def concerns(self, evidence: Evidence) -> bool:
        """Whether evidence can change which entry stands at its address."""
        claims = self._claims_by_address.get(evidence.entry.address, {})
        return (
            isinstance(evidence, Misdirected)
            or len(claims) > 1
            or any(claim.proof is Proof.DENIED for claim in claims.values())
        )

    @singledispatchmethod
    def record(self, evidence: Any) -> None:
        """Record what a server said of itself; it binds only the starts that are listed."""
        raise TypeError(type(evidence))

    @record.register
    def _record_answered(self, evidence: AnsweredAs) -> None:
        entry = evidence.entry
        self._confirm(entry.address, entry.started_ms, evidence.sent_s, entry.name)

    @record.register
    def _record_start(self, evidence: StartTold) -> None:
        claims = self._claims_by_address.get(evidence.entry.address, {})
        names = [
            name for name, claim in claims.items() if claim.entry.started_ms == evidence.started_ms
        ]
        # starts of one moment can't be told apart by it
        if len(names) == 1:
            self._confirm(evidence.entry.address, evidence.started_ms, evidence.sent_s, names[0])

    @record.register
    def _record_misdirected(self, evidence: Misdirected) -> None:
        entry = evidence.entry
        claims = self._claims_by_address.get(entry.address, {})
        claim = claims.get(entry.name)
        if claim is None or claim.entry.started_ms != entry.started_ms:
            return
        if evidence.sent_s < claim.proved_s:
            return
        if claim.proof is Proof.CONFIRMED:
            # the process that denied the other starts is gone
            for name, other in claims.items():
                claims[name] = Claim(other.entry, other.listed_s)
        claims[entry.name] = claim._replace(proof=Proof.DENIED, proved_s=evidence.sent_s)
        named = claims.get(evidence.named)
        if named and evidence.named != entry.name:
            started_ms = named.entry.started_ms
            self._confirm(entry.address, started_ms, evidence.sent_s, evidence.named)

    def _confirm(self, address: Address, started_ms: int, sent_s: float, name: str) -> None:
        claims = self._claims_by_address.get(address, {})
        claim = claims.get(name)
        if claim and claim.entry.started_ms == started_ms and sent_s >= claim.proved_s:
            claims[name] = claim._replace(proof=Proof.CONFIRMED, proved_s=sent_s)

    def _find(self, name: str) -> Claim | None:
        address = self._address_by_name.get(name)
        return None if address is None else self._claims_by_address[address][name]


def _choose(claims: list[Claim], latest_listed: Claim) -> Verdict:
    """Choose among the starts that the server has not denied."""
    latest = max(claims, key=_order)
    proved = max(claims, key=_confirmed_last)
    if (
        proved.proof is Proof.CONFIRMED
        and proved is not latest
        and proved.proved_s > latest.listed_s
    ):
        return Verdict(proved.entry, Reason.ANSWERED)
    reason = Reason.LATEST_START if latest is latest_listed else Reason.LATER_DENIED
    return Verdict(latest.entry, reason)


def _order(claim: Claim) -> tuple[bool, int, float, str]:
    """Order starts; those of one moment by when they were listed, then by name."""
    entry = claim.entry
    return not entry.draining, entry.started_ms, claim.listed_s, entry.name


def _confirmed_s(claim: Claim) -> float:
    return claim.proved_s if claim.proof is Proof.CONFIRMED else NEVER_S


def _confirmed_last(claim: Claim) -> tuple[float, tuple[bool, int, float, str]]:
    return _confirmed_s(claim), _order(claim)


def _proved_first(claim: Claim) -> float:
    return claim.proved_s


__all__ = [
    "AddressBook",
    "AnsweredAs",
    "Evidence",
    "Misdirected",
    "Reason",
    "StartTold",
    "Verdict",
]
