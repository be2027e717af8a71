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


@given('a lifecycle after the steps "{steps}"')
def lifecycle_with_steps(context, steps):
    context.lifecycle = Lifecycle("a1")
    for name in steps.split(", "):
        context.lifecycle.advance(Step(name))


@then('the lifecycle\'s ran is "{ran}"')
def lifecycle_ran(context, ran):
    assert context.lifecycle.ran == ran, context.lifecycle.ran


@then('the lifecycle\'s state is "{state}"')
def lifecycle_state(context, state):
    assert context.lifecycle.state == state, context.lifecycle.state


@then('the lifecycle refuses the step "{step}"')
def lifecycle_refuses(context, step):
    try:
        context.lifecycle.advance(Step(step))
    except LifecycleError:
        return
    raise AssertionError(f"{step} was accepted")


@then('the lifecycle answers "{asked}" with "{given_code}"')
def lifecycle_answers(context, asked, given_code):
    assert context.lifecycle.correct_code(Code[asked]).name == given_code


@then("the lifecycle's attempt 1 is not current and attempt 2 is")
def lifecycle_attempts(context):
    assert not context.lifecycle.is_current(1)
    assert context.lifecycle.is_current(2)


class ForgetfulLifecycle(Lifecycle):
    """Variant whose refusals reset `ran` to no regardless of earlier attempts."""

    def advance(self, step):
        super().advance(step)
        if step is Step.NOT_ACCEPTED:
            self.ran = Ran.NO


def machine(lifecycle_type):  # noqa: C901
    """Drive a lifecycle by valid steps, next to a simple model of what servers saw."""

    class Machine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.begin()

        @precondition(lambda self: self.lifecycle.state in {State.DONE, State.FAILED})
        @rule()
        def begin(self):
            self.lifecycle = lifecycle_type("a1")
            self.lifecycle.advance(Step.CHECK)
            self.lifecycle.advance(Step.QUEUE)
            self.seen = False
            self.unsure = False

        @precondition(lambda self: self.lifecycle.state is State.QUEUED)
        @rule()
        def send(self):
            self.advance(Step.GRANT)
            self.advance(Step.SEND)
            self.unsure = True

        @precondition(lambda self: self.lifecycle.state is State.SENT)
        @rule(refused=st.booleans())
        def answer(self, refused):
            self.advance(Step.NOT_ACCEPTED if refused else Step.ANSWER)
            self.seen = self.seen or not refused
            self.unsure = not refused

        @precondition(
            lambda self: self.lifecycle.state in {State.SENT, State.STREAMING, State.GRANTED}
        )
        @rule()
        def lose(self):
            self.advance(Step.RETRY)
            self.seen = self.seen or self.unsure

        @precondition(lambda self: self.lifecycle.state is State.STREAMING)
        @rule(whole=st.booleans())
        def end(self, whole):
            self.advance(Step.FINISH if whole else Step.FAIL)

        def advance(self, step):
            self.lifecycle.advance(step)

        @invariant()
        def ran_is_truthful(self):
            if self.seen or self.unsure:
                assert self.lifecycle.ran is not Ran.NO
                code = self.lifecycle.correct_code(Code.SHED)
                assert MEANING_BY_CODE[code].ran is not Ran.NO

    return Machine


@then("a lifecycle over random steps never claims less than a server saw")
def lifecycle_checked(context):
    run_state_machine_as_test(machine(Lifecycle), settings=CHECKED)


@then("a lifecycle whose refusals forget earlier attempts is caught by the same check")
def lifecycle_caught(context):
    try:
        run_state_machine_as_test(machine(ForgetfulLifecycle), settings=CHECKED)
    except AssertionError:
        return
    raise RuntimeError("the variant without the mechanism passed")
