"""Steps of rules/quarantine.feature."""

from __future__ import annotations

from itertools import count

from behave import given, then, when

from redwingbank.model import Outcome, Request
from redwingbank.rules.answer_proof import AnswerKind
from redwingbank.rules.quarantine import Allowed, Blocked, Quarantine, Suspect

END_BY_VERB = {
    "done": (Outcome.DONE, AnswerKind.SUCCESS),
    "rejected": (Outcome.DONE, AnswerKind.REJECTED),
    "failed": (Outcome.DONE, AnswerKind.FAILED),
    "cancelled": (Outcome.CANCELLED, AnswerKind.BROKEN),
    "cut": (Outcome.CRASHED, AnswerKind.BROKEN),
}


class WithoutSuspicion(Quarantine):
    def check(self, fingerprint, now_s):
        return Allowed()


class WithoutClearing(Quarantine):
    def _drop_explained_crashes(self, culprit, now_s, survivors=frozenset()):
        pass

    def _recently_started(self, runs, fingerprints, now_s):
        return fingerprints


class WithoutTurns(Quarantine):
    def _turn_s(self, fingerprint, suspicion):
        return suspicion.crashes[-1].at_s


def request(request_id, fingerprint):
    return Request(request_id, "o", "quick", 1, "p", 0.0, 9.0, 99.0, 100, fingerprint)


class Cluster:
    """The quarantines of several hosts, exchanging notices.

    While `delayed` is a list, notices are collected there until `deliver`.
    """

    def __init__(self, hosts, quarantine_type=Quarantine, *, notices_enabled=True):
        self.by_host = {host: quarantine_type(host) for host in hosts}
        self.notices_enabled = notices_enabled
        self.delayed = None
        self.in_flight = {}

    def publish(self, notices, now_s):
        if self.delayed is not None:
            self.delayed += [(notice, now_s) for notice in notices]
            return
        for notice in notices if self.notices_enabled else []:
            for quarantine in self.by_host.values():
                quarantine.apply_notice(notice, now_s)

    def deliver(self, order, now_s):
        delayed, self.delayed = self.delayed, None
        orders = {"deliver": delayed, "reversed": delayed[::-1], "twice": delayed + delayed}
        for notice, published_s in orders[order]:
            left_s = notice.ttl_s - (now_s - published_s)
            self.publish([notice._replace(ttl_s=left_s)] if left_s > 0 else [], now_s)

    def start(self, host, server, fingerprint, now_s):
        entry = request(f"{host}-{fingerprint}-{now_s}", fingerprint)
        self.in_flight[host, server, fingerprint] = entry
        self.publish(self.by_host[host].record_start(server, entry, now_s), now_s)

    def report(self, host, server, now_s):
        self.by_host[host].record_report(server, now_s)

    def end(self, key, outcome, now_s, answer=AnswerKind.SUCCESS):
        entry, quarantine = self.in_flight.pop(key), self.by_host[key[0]]
        notices = quarantine.record_finish(key[1], entry, outcome, now_s, answer)
        self.publish(notices, now_s)

    def crash(self, server, now_s):
        for key in [key for key in self.in_flight if key[1] == server]:
            self.end(key, Outcome.CRASHED, now_s)

    def check(self, host, fingerprint, now_s):
        return self.by_host[host].check(fingerprint, now_s)


@given('the quarantines of hosts "{hosts}"')
def quarantines_of(context, hosts):
    context.cluster = Cluster(hosts.split())


@when('the quarantines see the events "{events}"')
def see_events(context, events):
    cluster = context.cluster
    for entry in events.split(";"):
        at, verb, *rest = entry.split()
        now_s = float(at)
        if verb in {"start", "report"}:
            getattr(cluster, verb)(*rest, now_s)
        elif verb == "crash":
            cluster.crash(rest[0], now_s)
        elif verb == "hold":
            cluster.delayed = []
        elif verb == "renew":
            cluster.publish(cluster.by_host[rest[0]].renew_trials(now_s), now_s)
        elif verb == "release":
            cluster.publish(cluster.by_host[rest[0]].release(rest[1], now_s), now_s)
        elif verb in END_BY_VERB:
            outcome, answer = END_BY_VERB[verb]
            cluster.end(tuple(rest), outcome, now_s, answer)
        else:
            cluster.deliver(verb, now_s)


def describe(decision):
    if isinstance(decision, Blocked):
        return "quarantined" if decision.confirmed else "waiting"
    return type(decision).__name__.lower()


@then('the quarantines\' decisions at {at:g} s are "{decisions}"')
def decisions_are(context, at, decisions):
    for entry in decisions.split():
        subject, _, expected = entry.partition("=")
        host, _, fingerprint = subject.partition(":")
        decision = context.cluster.check(host, fingerprint, at)
        assert describe(decision) == expected, (entry, decision)


class Resends:
    """A caller that resends a poison request to each host in turn, whatever the answer.

    Three innocent requests, sent by the next host, share its server where that is allowed. A
    second poison request follows with the same innocents.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.servers = count()
        self.refused = 0
        self.now_s = 0.0

    def run(self, host, fingerprint, innocents):
        """Run a poison request until its server crashes; no two suspects share a server."""
        server = f"s{next(self.servers)}"
        hosts = list(self.cluster.by_host)
        neighbour = hosts[(hosts.index(host) + 1) % len(hosts)]
        alone = isinstance(self.cluster.check(host, fingerprint, self.now_s), Suspect)
        for name in innocents:
            decision = self.cluster.check(neighbour, name, self.now_s)
            self.refused += isinstance(decision, Blocked) and decision.confirmed
            may_try = isinstance(decision, Suspect) and not alone and server not in decision.busy
            if isinstance(decision, Allowed) or may_try:
                self.cluster.start(neighbour, server, name, self.now_s)
        self.cluster.start(host, server, fingerprint, self.now_s)
        self.now_s += 0.05
        self.cluster.crash(server, self.now_s)

    def send(self, host, fingerprint, innocents):
        """Try at most twice, as a host does; returns the number of servers lost."""
        lost = 0
        while lost < 2 and self.allowed(host, fingerprint):
            self.run(host, fingerprint, innocents)
            lost += 1
        self.now_s += 0.2
        return lost

    def allowed(self, host, fingerprint):
        """Wait up to 2 s for a trial, as a queued request does."""
        for _ in range(20):
            decision = self.cluster.check(host, fingerprint, self.now_s)
            if not isinstance(decision, Blocked) or decision.confirmed:
                return not isinstance(decision, Blocked)
            self.now_s += 0.1
        return False

    def lost(self, fingerprint, innocents):
        """Count the servers lost to a fingerprint over 30 resends."""
        hosts = list(self.cluster.by_host)
        return sum(
            self.send(hosts[number % len(hosts)], fingerprint, innocents) for number in range(30)
        )


@when("the quarantines {variant} face a caller that resends poison to {hosts:d} hosts in turn")
def face_resends(context, variant, hosts):
    type_by_variant = {"without suspicion": WithoutSuspicion, "without clearing": WithoutClearing}
    names = [f"host-{number}" for number in range(hosts)]
    cluster = Cluster(
        names,
        type_by_variant.get(variant, Quarantine),
        notices_enabled=variant != "without notices",
    )
    resends = Resends(cluster)
    context.lost = max(resends.lost(poison, ["i", "j", "k"]) for poison in ("p", "q"))
    for host in names:
        for name in "ijk":
            decision = cluster.check(host, name, resends.now_s)
            resends.refused += isinstance(decision, Blocked) and decision.confirmed
    context.refused = resends.refused


class RetryStorm:
    """A crash with a poison request and innocents of seven hosts, all retried at once."""

    hosts = "abcdefg"
    servers = ("s1", "s2", "s3", "s4", "s5")

    def __init__(self, quarantine_type):
        self.cluster = Cluster(self.hosts, quarantine_type)
        self.waiting = {host: f"i-{host}" for host in self.hosts} | {"d": "f-poison"}
        self.finishes = []
        self.lost = 1
        for host, fingerprint in self.waiting.items():
            self.cluster.start(host, "s0", fingerprint, 0.0)
        self.cluster.delayed = []
        self.cluster.crash("s0", 1.0)

    def run(self):
        """Advance in steps of 20 ms; notices arrive two steps later."""
        pending = []
        for step in range(51, 300):
            now_s = step / 50
            pending.append(self.cluster.delayed)
            self.cluster.delayed = []
            if len(pending) > 2:
                self.deliver_pending(pending.pop(0), now_s)
            for host in sorted(self.waiting):
                self.retry(host, now_s)
            for end_s, key in [end for end in self.finishes if end[0] <= now_s]:
                self.finishes.remove((end_s, key))
                self.end(key, now_s)

    def deliver_pending(self, notices, now_s):
        delayed, self.cluster.delayed = self.cluster.delayed, notices
        self.cluster.deliver("deliver", now_s)
        self.cluster.delayed = delayed

    def retry(self, host, now_s):
        fingerprint = self.waiting[host]
        decision = self.cluster.check(host, fingerprint, now_s)
        if isinstance(decision, Blocked):
            return
        busy = decision.busy if isinstance(decision, Suspect) else frozenset()
        free = [server for server in self.servers if server not in busy]
        if free:
            del self.waiting[host]
            self.cluster.start(host, free[0], fingerprint, now_s)
            runs_s = 0.1 if fingerprint == "f-poison" else 1.0
            self.finishes.append((now_s + runs_s, (host, free[0], fingerprint)))

    def end(self, key, now_s):
        if key not in self.cluster.in_flight:
            return
        if key[2] == "f-poison":
            self.lost += 1
            self.cluster.crash(key[1], now_s)
        else:
            self.cluster.end(key, Outcome.DONE, now_s)


@when("the quarantines {variant} retry the suspects of one crash on seven hosts at once")
def retry_at_once(context, variant):
    storm = RetryStorm(WithoutTurns if variant == "without turns" else Quarantine)
    storm.run()
    context.lost = storm.lost
    decisions = [storm.cluster.check("a", f"i-{host}", 6.0) for host in storm.hosts]
    context.refused = sum(
        isinstance(decision, Blocked) and decision.confirmed for decision in decisions
    )


def within(value, bound):
    return value <= int(bound.split()[-1]) if "most" in bound else value >= int(bound.split()[-1])


@then("the quarantines lose {lost} servers and refuse {refused} innocents")
def lost_are(context, lost, refused):
    assert within(context.lost, lost), context.lost
    assert within(context.refused, refused), context.refused


@then("the quarantine of 100 fingerprints at most keeps the newest of 1000")
def bounded(context):
    quarantine = Quarantine("a", limit=100)
    for number in range(1000):
        entry = request(f"r{number}", f"f{number:04}")
        quarantine.record_start(f"s{number}", entry, float(number) / 100)
        quarantine.record_finish(f"s{number}", entry, Outcome.CRASHED, float(number) / 100)
    cases = quarantine.list_cases(10.0)
    assert [row.fingerprint for row in cases] == [f"f{n:04}" for n in range(900, 1000)]
    assert all(row.state == "suspect" and row.servers for row in cases)
