"""Steps of rules/quarantine.feature."""

from __future__ import annotations

from itertools import count

from behave import given, then, when

from redwingbank.model import Outcome, Request
from redwingbank.rules.quarantine import Allowed, Blocked, Quarantine, Suspect

OUTCOME_BY_VERB = {"done": Outcome.DONE, "cancelled": Outcome.CANCELLED, "cut": Outcome.CRASHED}


class WithoutSuspicion(Quarantine):
    def check(self, fingerprint, now_s):
        return Allowed()


class WithoutAcquittal(Quarantine):
    def _acquit(self, culprit, now_s, outlived=frozenset()):
        pass

    def _just_tried(self, runs, names, now_s):
        return names


class WithoutTurns(Quarantine):
    def _turn_s(self, fingerprint, suspicion):
        return suspicion.crashes[-1].at_s


def request(request_id, fingerprint):
    return Request(request_id, "o", "quick", 1, "p", 0.0, 9.0, 99.0, 100, fingerprint)


class World:
    """Quarantines of several hosts and the notices between them."""

    def __init__(self, hosts, kind=Quarantine, *, told=True):
        self.by_host = {host: kind(host) for host in hosts}
        self.told = told
        self.held = None
        self.in_flight = {}

    def tell(self, notices, now_s):
        if self.held is not None:
            self.held += [(notice, now_s) for notice in notices]
            return
        for notice in notices if self.told else []:
            for quarantine in self.by_host.values():
                quarantine.apply_notice(notice, now_s)

    def deliver(self, order, now_s):
        held, self.held = self.held, None
        orders = {"deliver": held, "reversed": held[::-1], "twice": held + held}
        for notice, told_s in orders[order]:
            left_s = notice.ttl_s - (now_s - told_s)
            self.tell([notice._replace(ttl_s=left_s)] if left_s > 0 else [], now_s)

    def start(self, host, server, fingerprint, now_s):
        entry = request(f"{host}-{fingerprint}-{now_s}", fingerprint)
        self.in_flight[host, server, fingerprint] = entry
        self.tell(self.by_host[host].record_start(server, entry, now_s), now_s)

    def end(self, key, outcome, now_s):
        entry = self.in_flight.pop(key)
        self.tell(self.by_host[key[0]].record_finish(key[1], entry, outcome, now_s), now_s)

    def crash(self, server, now_s):
        for key in [key for key in self.in_flight if key[1] == server]:
            self.end(key, Outcome.CRASHED, now_s)

    def verdict(self, host, fingerprint, now_s):
        return self.by_host[host].check(fingerprint, now_s)


@given('the quarantines of hosts "{hosts}"')
def quarantines_of(context, hosts):
    context.world = World(hosts.split())


@when('the quarantines live through "{life}"')
def live(context, life):
    world = context.world
    for entry in life.split(";"):
        at, verb, *rest = entry.split()
        now_s = float(at)
        if verb == "start":
            world.start(*rest, now_s)
        elif verb == "crash":
            world.crash(rest[0], now_s)
        elif verb == "hold":
            world.held = []
        elif verb == "renew":
            world.tell(world.by_host[rest[0]].renew_trials(now_s), now_s)
        elif verb == "release":
            world.tell(world.by_host[rest[0]].release(rest[1], now_s), now_s)
        elif verb in OUTCOME_BY_VERB:
            world.end(tuple(rest), OUTCOME_BY_VERB[verb], now_s)
        else:
            world.deliver(verb, now_s)


def name_of(verdict):
    if isinstance(verdict, Blocked):
        return "quarantined" if verdict.confirmed else "held"
    return type(verdict).__name__.lower()


@then('the quarantines\' verdicts at {at:g} s are "{verdicts}"')
def verdicts_are(context, at, verdicts):
    for entry in verdicts.split():
        subject, _, expected = entry.partition("=")
        host, _, fingerprint = subject.partition(":")
        told = context.world.verdict(host, fingerprint, at)
        assert name_of(told) == expected, (entry, told)


class Resends:
    """A caller resends a poison to one host after another, whatever it is told.

    Three innocents, sent by the next host, share a server with it where that is allowed. A
    second poison follows and meets the same innocents.
    """

    def __init__(self, world):
        self.world = world
        self.servers = count()
        self.refused = 0
        self.now_s = 0.0

    def run(self, host, fingerprint, innocents):
        """Run a poison until its server crashes; suspects share no server with each other."""
        server = f"s{next(self.servers)}"
        hosts = list(self.world.by_host)
        neighbour = hosts[(hosts.index(host) + 1) % len(hosts)]
        alone = isinstance(self.world.verdict(host, fingerprint, self.now_s), Suspect)
        for name in innocents:
            told = self.world.verdict(neighbour, name, self.now_s)
            self.refused += isinstance(told, Blocked) and told.confirmed
            tried = isinstance(told, Suspect) and not alone and server not in told.busy
            if isinstance(told, Allowed) or tried:
                self.world.start(neighbour, server, name, self.now_s)
        self.world.start(host, server, fingerprint, self.now_s)
        self.now_s += 0.05
        self.world.crash(server, self.now_s)

    def send(self, host, fingerprint, innocents):
        """Try twice at most, as a host does; tell how many servers that cost."""
        lost = 0
        while lost < 2 and self.allowed(host, fingerprint):
            self.run(host, fingerprint, innocents)
            lost += 1
        self.now_s += 0.2
        return lost

    def allowed(self, host, fingerprint):
        """Wait up to 2 s for the turn, as a request in the queue does."""
        for _ in range(20):
            told = self.world.verdict(host, fingerprint, self.now_s)
            if not isinstance(told, Blocked) or told.confirmed:
                return not isinstance(told, Blocked)
            self.now_s += 0.1
        return False

    def lost(self, fingerprint, innocents):
        """Servers lost to a fingerprint over 30 resends."""
        hosts = list(self.world.by_host)
        return sum(
            self.send(hosts[number % len(hosts)], fingerprint, innocents) for number in range(30)
        )


@when("the quarantines {variant} meet a caller that resends poison to {hosts:d} hosts in turn")
def meet_resends(context, variant, hosts):
    kinds = {"without suspicion": WithoutSuspicion, "without acquittal": WithoutAcquittal}
    names = [f"host-{number}" for number in range(hosts)]
    world = World(names, kinds.get(variant, Quarantine), told=variant != "without notices")
    resends = Resends(world)
    context.lost = max(resends.lost(poison, ["i", "j", "k"]) for poison in ("p", "q"))
    for host in names:
        for name in "ijk":
            told = world.verdict(host, name, resends.now_s)
            resends.refused += isinstance(told, Blocked) and told.confirmed
    context.refused = resends.refused


class Rush:
    """A crash under a poison and an innocent of each of seven hosts, which retry at once."""

    hosts = "abcdefg"
    servers = ("s1", "s2", "s3", "s4", "s5")

    def __init__(self, kind):
        self.world = World(self.hosts, kind)
        self.waiting = {host: f"i-{host}" for host in self.hosts} | {"d": "f-poison"}
        self.ends = []
        self.lost = 1
        for host, fingerprint in self.waiting.items():
            self.world.start(host, "s0", fingerprint, 0.0)
        self.world.held = []
        self.world.crash("s0", 1.0)

    def run(self):
        """Go on in steps of 20 ms; what is told is heard two steps later."""
        heard = []
        for step in range(51, 300):
            now_s = step / 50
            heard.append(self.world.held)
            self.world.held = []
            if len(heard) > 2:
                self.hear(heard.pop(0), now_s)
            for host in sorted(self.waiting):
                self.retry(host, now_s)
            for end_s, key in [end for end in self.ends if end[0] <= now_s]:
                self.ends.remove((end_s, key))
                self.end(key, now_s)

    def hear(self, notices, now_s):
        held, self.world.held = self.world.held, notices
        self.world.deliver("deliver", now_s)
        self.world.held = held

    def retry(self, host, now_s):
        fingerprint = self.waiting[host]
        told = self.world.verdict(host, fingerprint, now_s)
        if isinstance(told, Blocked):
            return
        busy = told.busy if isinstance(told, Suspect) else frozenset()
        free = [server for server in self.servers if server not in busy]
        if free:
            del self.waiting[host]
            self.world.start(host, free[0], fingerprint, now_s)
            runs_s = 0.1 if fingerprint == "f-poison" else 1.0
            self.ends.append((now_s + runs_s, (host, free[0], fingerprint)))

    def end(self, key, now_s):
        if key not in self.world.in_flight:
            return
        if key[2] == "f-poison":
            self.lost += 1
            self.world.crash(key[1], now_s)
        else:
            self.world.end(key, Outcome.DONE, now_s)


@when("the quarantines {variant} retry the suspects of one crash on seven hosts at once")
def retry_at_once(context, variant):
    rush = Rush(WithoutTurns if variant == "without turns" else Quarantine)
    rush.run()
    context.lost = rush.lost
    verdicts = [rush.world.verdict("a", f"i-{host}", 6.0) for host in rush.hosts]
    context.refused = sum(isinstance(told, Blocked) and told.confirmed for told in verdicts)


def within(value, bound):
    return value <= int(bound.split()[-1]) if "most" in bound else value >= int(bound.split()[-1])


@then("the quarantines' servers lost are {lost} and innocents refused are {refused}")
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
    listing = quarantine.list_cases(10.0)
    assert [row.fingerprint for row in listing] == [f"f{n:04}" for n in range(900, 1000)]
    assert all(row.state == "suspect" and row.servers for row in listing)
