"""Steps of rules/crash_causes.feature."""

from __future__ import annotations

from random import Random

from behave import then, when

from redwingbank.rules.crash_causes import CrashCauses, LostRun

SERVERS = 6
RESTART_S = 4.5
POISON_EVERY_S = 1.2
STREAM_S = 3.0
SURVIVAL_S = 1.0
MAX_POISON_REQUESTS = 8


@when('runs end as "{runs}"')
def runs_end(context, runs):
    if not hasattr(context, "causes"):
        context.causes = CrashCauses()
    for run in runs.split("; "):
        first, *rest = run.split()
        traits = tuple(rest[-1].split("."))
        if first == "ok":
            context.causes.clear(traits)
            continue
        sent_s, lost_s = map(float, rest[0].split("-"))
        context.now_s = lost_s
        context.causes.record(LostRun(traits, first, sent_s, lost_s), lost_s)
        context.causes.pop_refuted()


@then('the blocked traits are "{names}"')
def blocked_traits(context, names):
    blocked_later(context, 0, names)


@then('the blocked traits {later:d} s later are "{names}"')
def blocked_later(context, later, names):
    blocked = context.causes.blocked(context.now_s + later)
    assert (" ".join(sorted(blocked)) or "none") == names, blocked
    if later:
        context.causes.pop_expired(context.now_s + later)


@when("{count:d} servers crash one after the other, each with {runs:d} requests unlike all others")
def crash_many(context, count, runs):
    context.causes = CrashCauses()
    for number in range(count):
        for other in range(runs):
            run = LostRun((f"r-{number}-{other}",), f"s-{number}", number, number + 0.5)
            context.causes.record(run, number + 0.5)


@then("at most {count:d} traits are tracked")
def tracked(context, count):
    assert len(context.causes._runs_by_trait) <= count
    assert len(context.causes._last_crash_by_server) <= count


class Play:
    """A seeded play: streams of sound requests, and requests that crash the server they reach.

    Sound requests share the caller's part and a part of 30 others with the requests that crash.
    """

    def __init__(self, seed, sound_per_crash):
        self.random = Random(seed)
        self.causes = CrashCauses()
        self.sound_every_s = POISON_EVERY_S / sound_per_crash
        self.up_s_by_server = dict.fromkeys(range(SERVERS), 0.0)
        self.running = []
        self.crashes = 0
        self.sound_parts = set()

    def run(self):
        next_poison_s, next_sound_s, now_s = 2.0, 0.0, 0.0
        sent = 0
        while sent < MAX_POISON_REQUESTS:
            now_s = min(next_poison_s, next_sound_s)
            self.expire(now_s)
            server = self.random.choice(
                [s for s, up in self.up_s_by_server.items() if up <= now_s]
            )
            if now_s == next_sound_s:
                next_sound_s += self.sound_every_s * self.random.uniform(0.5, 1.5)
                self.start_sound(server, now_s)
                continue
            next_poison_s += POISON_EVERY_S * self.random.uniform(0.5, 1.5)
            sent += 1
            traits = (f"poison-{sent}", "bad", "caller")
            if not self.causes.find_blocked(traits, now_s):
                self.crash(server, traits, now_s)
        self.expire(now_s + STREAM_S + 1)

    def start_sound(self, server, now_s):
        name = f"part-{self.random.randrange(30)}"
        self.sound_parts.update((name, "caller"))
        traits = (f"sound-{now_s}", name, "caller")
        if not self.causes.find_blocked(traits, now_s):
            self.running.append((server, traits, now_s))

    def expire(self, now_s):
        for server, traits, sent_s in list(self.running):
            if now_s - sent_s > SURVIVAL_S:
                self.causes.clear(traits)
            if now_s - sent_s > STREAM_S:
                self.running.remove((server, traits, sent_s))

    def crash(self, server, traits, now_s):
        self.crashes += 1
        lost_s = now_s + 0.1
        self.up_s_by_server[server] = now_s + RESTART_S
        lost = [run for run in self.running if run[0] == server]
        self.running = [run for run in self.running if run[0] != server]
        fresh = [(one, sent_s) for _, one, sent_s in lost if lost_s - sent_s < SURVIVAL_S]
        runs = [*fresh, (traits, now_s)]
        self.random.shuffle(runs)
        for one, sent_s in runs:
            self.causes.record(LostRun(one, f"s-{server}-{self.crashes}", sent_s, lost_s), lost_s)
            self.causes.pop_refuted()


@when("a part crashes servers in {plays:d} seeded plays, {sound:d} sound requests to each crash")
def seeded_plays(context, plays, sound):
    context.plays = [Play(seed, sound) for seed in range(plays)]
    for play in context.plays:
        play.run()


@then("in each play the part is blocked after at most {count:d} crashes")
def blocked_in_time(context, count):
    crashes = [play.crashes for play in context.plays]
    assert max(crashes) <= count, crashes


@then("no trait of the sound requests is blocked at the end")
def sound_spared(context):
    wrong = [
        (seed, part)
        for seed, play in enumerate(context.plays)
        for part in play.sound_parts
        if play.causes.find_blocked((part,), 20.0)
    ]
    assert not wrong, wrong
