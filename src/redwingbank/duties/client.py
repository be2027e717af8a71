"""Calls to the platform's interface, each within a permit."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.duties.values import DutyAnswer, ServerOrder, UsageReport
from redwingbank.front.store import StoreClient, StoreError
from redwingbank.platform.duties import decode_duty_answer, encode_duty_call
from redwingbank.rules.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from redwingbank.duties.values import DutySettings, Permit
    from redwingbank.settings import Address

    Call = UsageReport | ServerOrder

# Part of the interface's rate that this host uses: the holder before may just have used the rest.
RATE_SHARE = 0.5
MIN_BURST = 2.0
# A slow interface answers in about a second.
CALL_TIMEOUT_S = 1.5


class NoPermitError(Exception):
    """The permit of a call ended before the call was sent."""


class DutyClient:
    """Calls the interface for the host that holds the lease.

    `current` returns the permit at this moment: it is checked when the call is written, after the
    connection is open, so that nothing is sent after a pause of the process. `refused` is awaited
    after a call was refused, before its answer is returned.
    """

    def __init__(
        self,
        settings: DutySettings,
        host: str,
        current: Callable[[], Permit | None],
        refused: Callable[[Call], Awaitable[None]],
    ) -> None:
        self._host = host
        self._current = current
        self._refused = refused
        self._http = StoreClient(settings.address)
        rate = RATE_SHARE * settings.per_s
        self._calls = 0
        self._bucket = TokenBucket(rate, max(MIN_BURST, rate), now_s())

    def move(self, address: Address) -> None:
        """Use another address for later calls."""
        self._http.move(address)

    @property
    def busy(self) -> bool:
        """Whether a call is on its way."""
        return self._calls > 0

    async def report_usage(self, report: UsageReport, permit: Permit) -> DutyAnswer:
        """Report the usage of a window."""
        return await self._call(report, permit)

    async def order_servers(self, order: ServerOrder, permit: Permit) -> DutyAnswer:
        """Order the number of servers of a pool in a data centre.

        `REFUSED` while the lease is still held afterwards means that there are none available.
        """
        return await self._call(order, permit)

    async def _call(self, call: Call, permit: Permit) -> DutyAnswer:
        now = now_s()
        if not self._permits(permit) or not self._bucket.try_acquire(now):
            return DutyAnswer.BUSY
        timeout_s = min(CALL_TIMEOUT_S, permit.ends_s - now)
        encode = partial(self._encode, call, permit)
        self._calls += 1
        try:
            status, _ = await self._http.exchange(encode, timeout_s)
        except NoPermitError:
            return DutyAnswer.BUSY
        except StoreError:
            return DutyAnswer.UNKNOWN
        finally:
            self._calls -= 1
        answer = decode_duty_answer(status)
        if answer is DutyAnswer.REFUSED:
            await self._refused(call)
        return answer

    def _permits(self, permit: Permit) -> bool:
        current = self._current()
        return current is not None and current.fence == permit.fence and now_s() < permit.ends_s

    def _encode(self, call: Call, permit: Permit, address: Address) -> bytes:
        if not self._permits(permit):
            raise NoPermitError
        return encode_duty_call(call, self._host, permit.fence, address)


__all__ = ["DutyClient"]
