"""Binds the stream of one request to the software version that began it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.codes import Code
from redwingbank.front.attempt import StartCheck
from redwingbank.front.values import Kind
from redwingbank.routing.stream_answers import TakeUp, answer_key
from redwingbank.routing.stream_origin import StreamOrigin, serving_version, stream_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.admission import AdmittedRequest
    from redwingbank.front.attempt import Attempt
    from redwingbank.front.router import Router
    from redwingbank.front.stream_takeover import AnswerOwner
    from redwingbank.front.values import ServerEntry

# Within so many tries, each as long as its class's timeout, a stream is taken up that its caller
# does not name.
MAX_TRIES = 2
# A class's timeout may have been lowered since a stream began, and a host that has just started
# does not know the earlier one.
MIN_WATCHED_S = 10.0
MILLISECONDS = 1000


class StreamBinding:
    """The version at which a stream goes on, in this answer and over its caller's tries.

    A stream that may be resumed is bound by its first event, which is told to other hosts before
    it is forwarded. A caller that takes a stream up names the request that brought it. If it
    names none, the stream goes on only where the pools of its route have had a single version.
    """

    def __init__(self, router: Router, admitted: AdmittedRequest, owner: AnswerOwner) -> None:
        route, facts = admitted.route, admitted.facts
        self.origin: StreamOrigin | None = None
        self._router = router
        self._owner = owner
        self._route = route
        self._pool = admitted.pool
        self._pools = {share.pool for share in route.shares}
        self._resumable = route.kind is Kind.STREAM and route.resumable
        # the class may have been resumable when a stream began that is named
        named = route.kind is Kind.STREAM and bool(facts.resumes)
        self._taken_up = named or (self._resumable and facts.takes_up)
        self._begun = self._bound = self._serves = False
        self._stream = facts.resumes if self._taken_up else facts.request_id
        # empty for a stream that is taken up without its name
        bindable = self._resumable or self._taken_up
        self._key = stream_key(self._stream) if bindable and self._stream else ""
        patience_s = route.timeout_s if facts.deadline_s is None else facts.deadline_s
        self._request_id = facts.request_id
        self._started_s = now_s()
        self._ends_s = self._started_s + patience_s
        self._take_up = self._name_take_up(admitted) if self._key else None

    @property
    def pool(self) -> str:
        """The pool that serves the stream."""
        return self.origin.pool if self.origin else self._pool

    @property
    def start_check(self) -> StartCheck:
        """What a server must tell of its start before it gets the request."""
        if self.origin:
            return StartCheck.MATCH
        return StartCheck.ASK if self._resumable else StartCheck.NONE

    def find(self, found: Callable[[Code | None], None]) -> None:
        """Find out what began a stream that is taken up; pass on a code if it can't go on."""
        if self._take_up:
            self._router.takeover.answers.begin(self._owner, self._take_up)
        if not self._taken_up:
            found(None)
        elif not self._stream:
            self._find_unnamed(found)
        else:
            self._router.streams.find(self._key, lambda origin: found(self._bind(origin)))

    def _name_take_up(self, admitted: AdmittedRequest) -> TakeUp:
        organisation = admitted.organisation.name if admitted.organisation else ""
        key, request = answer_key(organisation, self._stream), stream_key(self._request_id)
        return TakeUp(key, request, self._started_s)

    def _find_unnamed(self, found: Callable[[Code | None], None]) -> None:
        """Find the only version of the pools, once it is known that no other one has joined."""

        def told(current: bool) -> None:  # noqa: FBT001 - the only argument of a callback
            if not current:
                self._router.log.detail("list-unconfirmed", request=self._request_id)
            found(self._bind(self._only_origin() if current else None))

        if self._only_origin():
            self._router.freshness.list_check.start(told)
        else:
            found(self._bind(None))

    def _only_origin(self) -> StreamOrigin | None:
        router, now = self._router, now_s()
        within_s = max(MIN_WATCHED_S, MAX_TRIES * self._route.timeout_s)
        # other hosts may have used an earlier table for as long as the bound allows
        pools = router.routes.pools(self._route, within_s + router.settings.bounds.table_s, now)
        version = router.versions.only_version(pools, within_s, now)
        return StreamOrigin(self._pool, version, "") if version else None

    def usable(self) -> list[ServerEntry]:
        """List the servers that may get the request."""
        entries = self._router.servers.usable(self.pool)
        if self.origin:
            return serving_version(entries, self.origin)
        return [] if self._begun else entries

    def refusal_code(self, code: Code) -> Code:
        """Return a more specific code if no server of the stream's version is left."""
        bound = self.origin is not None and code is Code.NO_BACKEND_SERVER
        return Code.VERSION_GONE if bound else code

    def sent(self) -> None:
        """Take a stream over from the answer before, as it is sent to a server."""
        if self._bound or not self._taken_up:
            return
        self._bind_here()
        if self.origin and self._take_up:
            self._router.takeover.take_up(self._take_up, self.origin.host)

    def events_received(self, attempt: Attempt) -> None:
        """Bind the stream before its first event is forwarded, or once its version is known."""
        if self._bound or not (self._resumable or self.origin):
            return
        version = self._version_of(attempt)
        self._begun = True
        if self.origin is None and version:
            host = self._router.settings.name
            self.origin = StreamOrigin(attempt.entry.pool, version, host)
        self._bind_here()

    def _bind_here(self) -> None:
        self._bound = self.origin is not None
        if self.origin and self._key:
            self._serves = True
            self._router.streams.begin(self._key, self.origin, self._ends_s)

    def finish(self) -> None:
        """Forget the stream, which is complete."""
        if self.origin and self._key and self._serves == self._router.streams.serves(self._key):
            self._serves = False
            self._router.streams.finish(self._key)

    def release(self) -> None:
        """Leave the stream to the host at which its caller takes it up."""
        if self._take_up:
            self._router.takeover.answers.end(self._owner, self._take_up.key)
        if self._serves:
            self._serves = False
            self._router.streams.release(self._key)

    def hand_over(self) -> None:
        """Leave the stream to the answer in which its caller has taken it up."""
        if self._serves:
            self._serves = False
            self._router.streams.hand_over(self._key)

    def _bind(self, origin: StreamOrigin | None) -> Code | None:
        self._router.log.detail(
            "stream-origin",
            request=self._request_id,
            resumes=self._stream,
            version=origin.version if origin else "",
            pool=origin.pool if origin else "",
            served_by=origin.host if origin else "",
            waited_ms=round((now_s() - self._started_s) * MILLISECONDS),
        )
        if origin is None:
            return Code.VERSION_UNKNOWN
        self.origin = origin
        return None if origin.pool in self._pools else Code.VERSION_GONE

    def _version_of(self, attempt: Attempt) -> str:
        """Return the version of the server that an attempt reached, empty if it is not known."""
        if attempt.server_start in {None, attempt.entry.started_ms}:
            return attempt.entry.version
        # the server has started again since it was chosen
        listed = self._router.servers.entries_by_name.get(attempt.entry.name)
        if listed and attempt.server_start and listed.started_ms == attempt.server_start:
            return listed.version
        if not self._begun:
            self._router.log.detail(
                "version-unknown",
                request=self._request_id,
                server=attempt.entry.name,
                listed_start=attempt.entry.started_ms,
                told_start=attempt.server_start,
            )
        return ""


__all__ = ["StreamBinding"]
