"""The long streams of a soak, which take time, and what goes wrong in the middle of them."""

from __future__ import annotations

from typing import NamedTuple

from redwingbank_standins.brittle_server import BrittleServer

DRAFT_EVENTS = 8
DRAFT_PAUSE_S = 0.15
DRAFT_PREFIX = "/draft/"
# longer than a host waits for an event
STALL_S = 2.2


class StreamFault(NamedTuple):
    """What a server does to each long stream: nothing, by default.

    It stalls after the event `at`, breaks off in it, or names an earlier id in it. Or each event
    takes `slowness` times as long.
    """

    at: int = 0
    stall_s: float = 0.0
    goes_back: bool = False
    breaks_off: bool = False
    slowness: float = 1.0


STREAM_FAULTS = (
    StreamFault(2, stall_s=STALL_S),
    StreamFault(5, stall_s=STALL_S),
    StreamFault(4, goes_back=True),
    StreamFault(6, goes_back=True),
    StreamFault(5, breaks_off=True),
    StreamFault(slowness=3.0),
)


class PacedServer(BrittleServer):
    """A server whose drafts take `DRAFT_EVENTS` pauses; `stream_fault` spoils them."""

    stream_fault = StreamFault()

    def events_in(self, target: str) -> int:
        """Return how many events a stream has."""
        return DRAFT_EVENTS if target.startswith(DRAFT_PREFIX) else super().events_in(target)

    def breaks_off(self, target: str, number: int) -> bool:
        """Whether a stream breaks off in an event."""
        at_event = self.stream_fault.at == number and target.startswith(DRAFT_PREFIX)
        return at_event and self.stream_fault.breaks_off

    def pause_after(self, target: str, number: int) -> float:
        """Return the seconds between an event of a stream and the next one."""
        if not target.startswith(DRAFT_PREFIX):
            return super().pause_after(target, number)
        fault = self.stream_fault
        stall_s = fault.stall_s if number == fault.at else 0.0
        return DRAFT_PAUSE_S * fault.slowness + stall_s

    def event_id(self, target: str, number: int) -> int:
        """Return the id of an event, an earlier one if the event is spoilt."""
        spoilt = self.stream_fault.goes_back and self.stream_fault.at == number
        return number - 2 if spoilt and target.startswith(DRAFT_PREFIX) else number


__all__ = ["DRAFT_EVENTS", "STREAM_FAULTS", "PacedServer", "StreamFault"]
