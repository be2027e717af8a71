"""Authenticates callers and selects their requests' class by the table in force."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.ports.http import Refusal

if TYPE_CHECKING:
    from redwingbank.ports.http import RequestHead
    from redwingbank.rules.table import ClassRow, OrganisationRow, Table

CLASS_HEADER = "x-service-class"
ORGANISATION_HEADER = "openai-organization"


class Admitted(NamedTuple):
    """An authenticated caller's organisation and the class of its request."""

    organisation: OrganisationRow
    service_class: ClassRow


class Directory:
    """Looks up organisations by the hash of their key; rebuilt for each table."""

    def __init__(self, table: Table) -> None:
        self.table = table
        rows = table.organisations_by_name.values()
        self._organisation_by_key_hash = {row.key_hash: row for row in rows}

    def admit(self, head: RequestHead) -> Admitted | Refusal:
        """Check the key, organisation and class in a request's headers."""
        organisation = self._organisation(head)
        if isinstance(organisation, Refusal):
            return organisation
        name = head.headers_by_name.get(CLASS_HEADER) or organisation.default_class
        row = self.table.classes_by_name.get(name)
        if row is None:
            return Refusal(Code.UNKNOWN_CLASS, name)
        return Admitted(organisation, row)

    def _organisation(self, head: RequestHead) -> OrganisationRow | Refusal:
        key_hash = hashlib.sha256(head.bearer.encode()).hexdigest()
        requested = head.headers_by_name.get(ORGANISATION_HEADER)
        if requested is None:
            row = self._organisation_by_key_hash.get(key_hash)
            return row or Refusal(Code.WRONG_KEY)
        row = self.table.organisations_by_name.get(requested)
        if row is None:
            return Refusal(Code.UNKNOWN_ORGANISATION, requested)
        key_matches = hmac.compare_digest(row.key_hash, key_hash)
        return row if key_matches else Refusal(Code.WRONG_KEY)


__all__ = ["Admitted", "Directory"]
