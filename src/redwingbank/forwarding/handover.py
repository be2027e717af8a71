"""Sends one request to a helper while this host reaches no server of its pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.forwarding.client import Forward
from redwingbank.forwarding.forwarded_call import ForwardedCall
from redwingbank.routing.reachability import SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from redwingbank.forwarding.forwarded_call import ForwardOwner
    from redwingbank.forwarding.task import Forwarding
    from redwingbank.front.attempt import Attempt
    from redwingbank.front.caller_answer import CallerAnswer
    from redwingbank.front.request_recorder import RequestRecorder
    from redwingbank.front.values import ServerEntry
    from redwingbank.front.wire import RequestHead
    from redwingbank.intake.body import RequestBody
    from redwingbank.model import Request
    from redwingbank.rules.lifecycle import Lifecycle


class Parties(NamedTuple):
    """Who takes part in a request; `forwarded` is true if another host forwarded it here."""

    owner: ForwardOwner
    answer: CallerAnswer
    head: RequestHead
    body: RequestBody
    recorder: RequestRecorder
    forwarded: bool


class Handover:
    """Decides where a request goes whose pool may be cut off, and forwards it.

    A request that was forwarded here is never forwarded again.
    """

    def __init__(self, forwarding: Forwarding, parties: Parties) -> None:
        self._forwarding = forwarding
        self._parties = parties
        self._forward: Forward | None = None
        self._reason = "cut"
        if parties.forwarded:
            forwarding.metrics.count("forwards_taken_total")

    @property
    def possible(self) -> bool:
        """Whether the request may be forwarded at all."""
        return self._forwarding.enabled and not self._parties.forwarded

    @property
    def active(self) -> bool:
        """Whether a helper has the request, or is about to get it."""
        return self._forward is not None and self._forward.active

    def select_servers(
        self,
        entries: list[ServerEntry],
        request: Request,
        life: Lifecycle,
        tried: Collection[str],
        now: float,
        *,
        begun: bool,
    ) -> list[ServerEntry] | None:
        """List the servers that may get the request; None if it was forwarded.

        Servers whose connections live on are used first. `begun` answers can't be forwarded; if
        there is no helper, any server is tried.
        """
        if request.pool not in self._forwarding.cut_pools:
            return entries
        alive = self._forwarding.alive_entries(entries, now)
        alive = [entry for entry in alive if entry.name not in tried]
        if alive or self._parties.forwarded:
            return alive
        if begun:
            return entries
        owner, answer, head, body, recorder, _ = self._parties
        call = ForwardedCall(
            head,
            body,
            request.request_id,
            request.pool,
            request.give_up_s,
            request.repeatable,
            request.max_attempts,
            self._reason,
        )
        self._forward = Forward(self._forwarding, owner, call, life, answer, recorder)
        return None if self._forward.start() else entries

    def may_take(
        self, attempt: Attempt, request: Request, life: Lifecycle, sent_before_s: float
    ) -> bool:
        """Whether to forward a request whose attempt began before a time and has no answer.

        One on a connection that lives on stays there. One that may have been sent may go only
        if it may run again and its class lets another server get it.
        """
        if not self.possible or attempt.begun or attempt.started_s > sent_before_s:
            return False
        heard_s = attempt.backend.connections.contact.heard_s
        if attempt.proved and heard_s > sent_before_s - SILENCE_S:
            return False
        may_go_again = request.repeatable and life.accepted < request.max_attempts
        return may_go_again or not attempt.sent

    def reroute(self) -> None:
        """Take the request, which an attempt had, as one that is to be forwarded."""
        self._reason = "rerouted"

    def cancel(self) -> None:
        """Cancel the forwarded request, if any."""
        if self._forward:
            self._forward.cancel()

    def pause(self) -> None:
        """Stop reading the answer of the forwarded request until `resume`."""
        if self._forward:
            self._forward.pause()

    def resume(self) -> None:
        """Continue to read the answer of the forwarded request."""
        if self._forward:
            self._forward.resume()


__all__ = ["Handover", "Parties"]
