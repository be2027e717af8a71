"""A request that is forwarded to another host, and its owner at this one."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.codes import Code
    from redwingbank.front.wire import RequestHead
    from redwingbank.intake.body import RequestBody


class ForwardedCall(NamedTuple):
    """A request to forward; `repeatable` is true if it may run more than once.

    `max_attempts` is the number of servers that may get it; `reason` tells why it is forwarded.
    """

    head: RequestHead
    body: RequestBody
    request_id: str
    pool: str
    give_up_s: float
    repeatable: bool
    max_attempts: int
    reason: str


class ForwardOwner(Protocol):
    """The request's owner, which is told once of its end."""

    def run_forward(self, step: Callable[[], None]) -> None:
        """Run a step of the forward; after an unexpected error, log it and end the request."""

    def forward_finished(self) -> None:
        """End the request, which is answered or whose connection was closed."""

    def forward_failed(self, code: Code) -> None:
        """Answer the request with an error; nothing was answered yet."""

    def may_send(self) -> bool:
        """Whether an answer can end before this host does; one that has begun goes on."""

    def use_repeat(self) -> bool:
        """Use one repeat of the pool's allowance; false if there is none."""


__all__ = ["ForwardOwner", "ForwardedCall"]
