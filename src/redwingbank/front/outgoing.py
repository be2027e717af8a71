"""A request as it goes to the chosen backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.front.outbound import Message
from redwingbank.platform.headers import Envelope, encode_call

if TYPE_CHECKING:
    from redwingbank.front.admission import AdmittedRequest
    from redwingbank.front.wire import RequestHead
    from redwingbank.intake.body import RequestBody
    from redwingbank.routing.choice import Choice


class OutgoingRequest(NamedTuple):
    """A request and the server chosen for it; `resume_after` is the last event forwarded."""

    head: RequestHead
    body: RequestBody
    admitted: AdmittedRequest
    choice: Choice
    give_up_s: float
    resume_after: str

    def encode(self, now_s: float) -> Message:
        """Encode the request with the time that is left when it is sent."""
        choice, admitted = self.choice, self.admitted
        envelope = Envelope(
            server=choice.backend.entry.name,
            organisation=admitted.organisation,
            deadline_s=self.give_up_s - now_s,
            resume_after=self.resume_after,
            rank=choice.rank if admitted.route.has_prompt else None,
            copy_from=choice.copy.source.address if choice.copy else None,
        )
        head = self.head
        size = len(self.body)
        encoded = encode_call(head.method, head.target, admitted.facts, size, envelope)
        return Message(encoded, self.body)


__all__ = ["OutgoingRequest"]
