"""The waiting requests of one class for one pool, shared fairly among organisations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from redwingbank.model import Request
    from redwingbank.rules.table import Table

PROMPT_TOKEN_COST = 0.1
DEFAULT_ANSWER_TOKENS = 200.0
EWMA_WEIGHT = 0.05
MAX_LEAD_REQUESTS = 0.5
MIN_WEIGHT = 0.001


def request_cost(request: Request, answer_tokens: float) -> float:
    """Return the cost in generated tokens; prompt tokens cost less, as they are read in bulk."""
    return request.prompt_tokens * PROMPT_TOKEN_COST + answer_tokens


class Flow:
    """One organisation's waiting requests; `served` is its total cost divided by its weight."""

    def __init__(self, organisation: str, weight: float, served: float) -> None:
        self.organisation = organisation
        self.weight = weight
        self.served = served
        self.waiting = SortedList()

    def deadline_key(self) -> tuple[float, float, str, str]:
        """Return the sort key by the deadline of the first request."""
        return (*self.waiting[0], self.organisation)

    def select(self, now_s: float) -> str:
        """Return the id with the earliest deadline not yet missed, or else the earliest."""
        index = self.waiting.bisect_left((now_s,))
        chosen = self.waiting[index] if index < len(self.waiting) else self.waiting[0]
        return str(chosen[2])

    def backlog_key(self) -> tuple[float, str]:
        """Return the sort key by backlog relative to weight."""
        return len(self.waiting) / self.weight, self.organisation


class ClassQueue:
    """Waiting requests of one class for one pool.

    Start-time fair queueing with an allowed lead: each organisation is charged by weight for
    what it was served; those within `max_lead` of the least served may start, the earliest
    deadline first. So deadlines set the order until an organisation exceeds its share. A new
    organisation starts at the virtual time: the highest `served` that any organisation had when
    it started a request, before the charge for it. An empty queue drops all charges.
    """

    def __init__(self, class_name: str, tier: int, table: Table) -> None:
        row = table.classes_by_name.get(class_name)
        self.class_name = class_name
        self.tier = tier
        self.weight = max(MIN_WEIGHT, row.weight if row else 1.0)
        self.served = 0.0
        self._organisations = table.organisations_by_name
        self._virtual_time = 0.0
        self._mean_cost = DEFAULT_ANSWER_TOKENS
        self._mean_tokens = DEFAULT_ANSWER_TOKENS
        self._flows: dict[str, Flow] = {}
        self._by_deadline = SortedList()
        self._by_served = SortedList()
        self._by_backlog = SortedList()
        self._by_arrival = SortedList()
        self._requests_by_id: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._requests_by_id)

    @property
    def oldest_arrival_s(self) -> float:
        """Arrival time of the request that has waited longest."""
        return float(self._by_arrival[0][0])

    @property
    def earliest_deadline_s(self) -> float:
        """Earliest deadline of the waiting requests."""
        return float(self._by_deadline[0][0])

    @property
    def organisations(self) -> int:
        """Number of organisations with waiting requests."""
        return len(self._by_deadline)

    @property
    def max_lead(self) -> float:
        """Cost that an organisation may be served ahead of the least served one."""
        return MAX_LEAD_REQUESTS * self._mean_cost

    def add(self, request: Request) -> None:
        """Add a request to its organisation's flow."""
        flow = self._flow(request.organisation)
        self._unindex(flow)
        flow.waiting.add((request.deadline_s, request.arrived_s, request.request_id))
        self._by_arrival.add((request.arrived_s, request.request_id))
        self._requests_by_id[request.request_id] = request
        self._index(flow)

    def remove(self, request: Request) -> None:
        """Remove a request without a charge."""
        self._remove(request)
        self._reset_when_empty()

    def start(self, request: Request) -> float:
        """Remove a request and charge its organisation the estimated cost; return the charge."""
        flow = self._remove(request)
        charge = request_cost(request, self._mean_tokens)
        self._virtual_time = max(self._virtual_time, flow.served)
        self._mean_cost += EWMA_WEIGHT * (charge - self._mean_cost)
        self._charge(flow, charge)
        self.served += charge / self.weight
        self._reset_when_empty()
        return charge

    def correct_charge(self, request: Request, cost: float, charged: float) -> None:
        """Replace an earlier charge with the request's actual cost."""
        answer_tokens = cost - request_cost(request, 0)
        self._mean_tokens += EWMA_WEIGHT * (answer_tokens - self._mean_tokens)
        self.served += (cost - charged) / self.weight
        flow = self._flows.get(request.organisation)
        if flow is not None:
            self._charge(flow, cost - charged)

    def select(self, now_s: float) -> Request:
        """Return the next request, by deadline among organisations within their share.

        Within the chosen organisation the earliest deadline that can still be met goes first.
        Under overload, requests that have missed their deadline yield to those that have not;
        they are served in deadline order once nothing else of the organisation waits.
        """
        least = self._by_served[0][0]
        for _, _, _, organisation in self._by_deadline:
            flow = self._flows[organisation]
            if flow.served <= least + self.max_lead / flow.weight:
                return self._requests_by_id[flow.select(now_s)]
        raise AssertionError("the least served organisation is always within the lead")

    def shed_candidate(self) -> Request:
        """Return the latest deadline of the organisation with the largest backlog by weight."""
        _, organisation = self._by_backlog[-1]
        return self._requests_by_id[self._flows[organisation].waiting[-1][2]]

    def count_ahead(self, request: Request) -> int:
        """Estimate how many start before a new request if organisations start in turn."""
        flow = self._flows.get(request.organisation)
        own_waiting = len(flow.waiting) if flow else 0
        fair_count = (own_waiting + 1) * len(self._by_deadline)
        return min(len(self), fair_count)

    def _flow(self, organisation: str) -> Flow:
        flow = self._flows.get(organisation)
        if flow is None:
            row = self._organisations.get(organisation)
            weight = max(MIN_WEIGHT, row.weight if row else 1.0)
            flow = Flow(organisation, weight, self._virtual_time)
            self._flows[organisation] = flow
        if not flow.waiting:
            flow.served = max(flow.served, self._virtual_time)
        return flow

    def _remove(self, request: Request) -> Flow:
        flow = self._flows[request.organisation]
        self._unindex(flow)
        flow.waiting.remove((request.deadline_s, request.arrived_s, request.request_id))
        self._by_arrival.remove((request.arrived_s, request.request_id))
        del self._requests_by_id[request.request_id]
        self._index(flow)
        return flow

    def _charge(self, flow: Flow, cost: float) -> None:
        self._unindex(flow)
        flow.served += cost / flow.weight
        self._index(flow)

    def _index(self, flow: Flow) -> None:
        if flow.waiting:
            self._by_deadline.add(flow.deadline_key())
            self._by_backlog.add(flow.backlog_key())
            self._by_served.add((flow.served, flow.organisation))

    def _unindex(self, flow: Flow) -> None:
        if flow.waiting:
            self._by_deadline.remove(flow.deadline_key())
            self._by_backlog.remove(flow.backlog_key())
            self._by_served.remove((flow.served, flow.organisation))

    def _reset_when_empty(self) -> None:
        if not self._requests_by_id:
            self._flows.clear()
            self._virtual_time = 0.0


__all__ = ["ClassQueue", "request_cost"]
