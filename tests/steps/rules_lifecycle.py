"""Steps of rules/lifecycle.feature."""

from __future__ import annotations

from behave import given, then
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from redwingbank.codes import MEANING_BY_CODE, Code, Ran
from redwingbank.rules.lifecycle import Lifecycle, LifecycleError, State, Step

CHECKED = settings(max_examples=150, stateful_step_count=30, deadline=None, derandomize=True)


@given('a life that took the steps "{steps}"')
def life_with_steps(context, steps):
    context.life = Lifecycle("a1")
    for name in steps.split(", "):
        context.life.advance(Step(name))


@then('the life\'s ran is "{ran}"')
def life_ran(context, ran):
    assert context.life.ran == ran, context.life.ran


@then('the life\'s state is "{state}"')
def life_state(context, state):
    assert context.life.state == state, context.life.state


@then('the life refuses the step "{step}"')
def life_refuses(context, step):
    try:
        context.life.advance(Step(step))
    except LifecycleError:
        return
    raise AssertionError(f"{step} was taken")


@then('the life answers "{asked}" with "{given_code}"')
def life_answers(context, asked, given_code):
    assert context.life.correct_code(Code[asked]).name == given_code


@then("the life's attempt 1 is not current and attempt 2 is")
def life_attempts(context):
    assert not context.life.is_current(1)
    assert context.life.is_current(2)


class ForgetfulLife(Lifecycle):
    """A variant whose refusals set ran back to no, whatever earlier attempts did."""

    def advance(self, step):
        super().advance(step)
        if step is Step.NOT_TAKEN:
            self.ran = Ran.NO


def machine(life_type):  # noqa: C901
    """Drive a life by any steps that may follow, beside a plain account of what servers saw."""

    class Machine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.begin()

        @precondition(lambda self: self.life.state in {State.DONE, State.FAILED})
        @rule()
        def begin(self):
            self.life = life_type("a1")
            self.life.advance(Step.CHECK)
            self.life.advance(Step.QUEUE)
            self.seen = False
            self.unsure = False

        @precondition(lambda self: self.life.state is State.QUEUED)
        @rule()
        def send(self):
            self.take(Step.GRANT)
            self.take(Step.SEND)
            self.unsure = True

        @precondition(lambda self: self.life.state is State.SENT)
        @rule(refused=st.booleans())
        def hear(self, refused):
            self.take(Step.NOT_TAKEN if refused else Step.ANSWER)
            self.seen = self.seen or not refused
            self.unsure = not refused

        @precondition(lambda self: self.life.state in {State.SENT, State.STREAMING, State.GRANTED})
        @rule()
        def lose(self):
            self.take(Step.RETRY)
            self.seen = self.seen or self.unsure

        @precondition(lambda self: self.life.state is State.STREAMING)
        @rule(whole=st.booleans())
        def end(self, whole):
            self.take(Step.FINISH if whole else Step.FAIL)

        def take(self, step):
            self.life.advance(step)

        @invariant()
        def truthful(self):
            if self.seen or self.unsure:
                assert self.life.ran is not Ran.NO
                code = self.life.correct_code(Code.SHED)
                assert MEANING_BY_CODE[code].ran is not Ran.NO

    return Machine


@then("a life checked over random steps never claims less than a server saw")
def life_checked(context):
    run_state_machine_as_test(machine(Lifecycle), settings=CHECKED)


@then("a life whose refusals forget earlier attempts is caught by the same check")
def life_caught(context):
    try:
        run_state_machine_as_test(machine(ForgetfulLife), settings=CHECKED)
    except AssertionError:
        return
    raise RuntimeError("the variant without its mechanism passed")
