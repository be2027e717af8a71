"""Limits that backend servers name in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from redwingbank.decisions import DecisionLog
    from redwingbank.front.values import ServerEntry, StatedLimit


class ServerLimits:
    """Keeps the requests a second that each server takes, by its latest answer at this host."""

    def __init__(self, log: DecisionLog) -> None:
        self.per_s_by_server: dict[str, float] = {}
        self._log = log

    def answer_received(self, server: ServerEntry, stated: StatedLimit | None) -> None:
        """Record what an answer says; a limit that can't be read changes nothing."""
        if stated is None:
            self._log.detail("limit-unreadable", server=server.name)
            return
        before = self.per_s_by_server.get(server.name)
        if stated.per_s == before:
            return
        if stated.per_s is None:
            del self.per_s_by_server[server.name]
        else:
            self.per_s_by_server[server.name] = stated.per_s
        self._log.essential(
            "limit-named", server=server.name, per_s=stated.per_s, per_s_before=before
        )

    def remove(self, server: str) -> None:
        """Forget the limit of a server that has left."""
        self.per_s_by_server.pop(server, None)


__all__ = ["ServerLimits"]
