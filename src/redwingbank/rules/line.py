"""One class's requests waiting for one pool, shared fairly among its organisations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from redwingbank.model import Request
    from redwingbank.rules.table import Table

PROMPT_TOKEN_COST = 0.1
DEFAULT_ANSWER_TOKENS = 200.0
MEAN_SHARE = 0.05
LEAD_STARTS = 0.5
SMALLEST_WEIGHT = 0.001


def request_cost(request: Request, answer_tokens: float) -> float:
    """Price a request in generated tokens; a prompt token is cheaper, being read in bulk."""
    return request.prompt_tokens * PROMPT_TOKEN_COST + answer_tokens


class Flow:
    """An organisation's requests in a line; `served` is its cost so far by its weight."""

    def __init__(self, organisation: str, weight: float, served: float) -> None:
        self.organisation = organisation
        self.weight = weight
        self.served = served
        self.waiting = SortedList()

    def head(self) -> tuple[float, float, str, str]:
        """Order flows by the deadline of their first request."""
        return (*self.waiting[0], self.organisation)

    def next(self, now_s: float) -> str:
        """Name the request with the earliest deadline not yet missed, else the earliest."""
        at = self.waiting.bisect_left((now_s,))
        chosen = self.waiting[at] if at < len(self.waiting) else self.waiting[0]
        return str(chosen[2])

    def load(self) -> tuple[float, str]:
        """Order flows by how much waits for their weight."""
        return len(self.waiting) / self.weight, self.organisation


class Line:
    """Requests of a class for a pool.

    Start-time fair queueing with a lead: each organisation is charged by weight for what it
    was served; those within `lead` of the least served may start, the earliest deadline first.
    So deadlines rule until an organisation takes more than its share. One that comes anew
    begins level with the last that started, before that was charged. When the line empties the
    account is closed.
    """

    def __init__(self, class_name: str, tier: int, table: Table) -> None:
        row = table.classes_by_name.get(class_name)
        self.class_name = class_name
        self.tier = tier
        self.weight = max(SMALLEST_WEIGHT, row.weight if row else 1.0)
        self.served = 0.0
        self._organisations = table.organisations_by_name
        self._clock = 0.0
        self._mean_cost = DEFAULT_ANSWER_TOKENS
        self._mean_tokens = DEFAULT_ANSWER_TOKENS
        self._flows: dict[str, Flow] = {}
        self._heads = SortedList()
        self._served = SortedList()
        self._loads = SortedList()
        self._arrivals = SortedList()
        self._requests_by_id: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._requests_by_id)

    @property
    def oldest_s(self) -> float:
        """Arrival of the request that has waited longest."""
        return float(self._arrivals[0][0])

    @property
    def earliest_s(self) -> float:
        """The earliest deadline."""
        return float(self._heads[0][0])

    @property
    def organisations(self) -> int:
        """Number of organisations with requests waiting."""
        return len(self._heads)

    @property
    def lead(self) -> float:
        """How much cost one may be served ahead of the least served."""
        return LEAD_STARTS * self._mean_cost

    def add(self, request: Request) -> None:
        """Put a request in its organisation's flow."""
        flow = self._flow(request.organisation)
        self._unlist(flow)
        flow.waiting.add((request.deadline_s, request.arrived_s, request.request_id))
        self._arrivals.add((request.arrived_s, request.request_id))
        self._requests_by_id[request.request_id] = request
        self._list(flow)

    def remove(self, request: Request) -> None:
        """Take a request out uncharged."""
        self._take(request)
        self._close_when_empty()

    def start(self, request: Request) -> float:
        """Take a request out and charge for it; return the charge."""
        flow = self._take(request)
        charge = request_cost(request, self._mean_tokens)
        self._clock = max(self._clock, flow.served)
        self._mean_cost += MEAN_SHARE * (charge - self._mean_cost)
        self._charge(flow, charge)
        self.served += charge / self.weight
        self._close_when_empty()
        return charge

    def settle(self, request: Request, cost: float, charged: float) -> None:
        """Correct an earlier charge by what the request really cost."""
        answer_tokens = cost - request_cost(request, 0)
        self._mean_tokens += MEAN_SHARE * (answer_tokens - self._mean_tokens)
        self.served += (cost - charged) / self.weight
        flow = self._flows.get(request.organisation)
        if flow is not None:
            self._charge(flow, cost - charged)

    def best(self, now_s: float) -> Request:
        """Choose by deadline among organisations not ahead of their share.

        Of the organisation chosen, the earliest deadline that can still be met goes first:
        where not all can be served in time, those already late make way, and are served
        in their order when nothing else of the organisation waits.
        """
        least = self._served[0][0]
        for _, _, _, organisation in self._heads:
            flow = self._flows[organisation]
            if flow.served <= least + self.lead / flow.weight:
                return self._requests_by_id[flow.next(now_s)]
        raise AssertionError("the least served organisation is never ahead")

    def victim(self) -> Request:
        """Choose the latest deadline of the organisation with the most waiting for its weight."""
        _, organisation = self._loads[-1]
        return self._requests_by_id[self._flows[organisation].waiting[-1][2]]

    def ahead(self, request: Request) -> int:
        """Count what starts before a new request: its own organisation's and others' shares."""
        own = self._flows.get(request.organisation)
        own_waiting = len(own.waiting) if own else 0
        fair = (own_waiting + 1) * len(self._heads)
        return min(len(self), fair)

    def _flow(self, organisation: str) -> Flow:
        flow = self._flows.get(organisation)
        if flow is None:
            row = self._organisations.get(organisation)
            weight = max(SMALLEST_WEIGHT, row.weight if row else 1.0)
            flow = Flow(organisation, weight, self._clock)
            self._flows[organisation] = flow
        if not flow.waiting:
            flow.served = max(flow.served, self._clock)
        return flow

    def _take(self, request: Request) -> Flow:
        flow = self._flows[request.organisation]
        self._unlist(flow)
        flow.waiting.remove((request.deadline_s, request.arrived_s, request.request_id))
        self._arrivals.remove((request.arrived_s, request.request_id))
        del self._requests_by_id[request.request_id]
        self._list(flow)
        return flow

    def _charge(self, flow: Flow, cost: float) -> None:
        self._unlist(flow)
        flow.served += cost / flow.weight
        self._list(flow)

    def _list(self, flow: Flow) -> None:
        if flow.waiting:
            self._heads.add(flow.head())
            self._loads.add(flow.load())
            self._served.add((flow.served, flow.organisation))

    def _unlist(self, flow: Flow) -> None:
        if flow.waiting:
            self._heads.remove(flow.head())
            self._loads.remove(flow.load())
            self._served.remove((flow.served, flow.organisation))

    def _close_when_empty(self) -> None:
        if not self._requests_by_id:
            self._flows.clear()
            self._clock = 0.0


__all__ = ["Line", "request_cost"]
