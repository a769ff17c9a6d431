"""The life of a request: its table, what is counted, and all interleavings of two in a small model."""

import pickle

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lab.explorer import explore
from lab.lifecycle_explorer import Look, Message, Requests
from rushhitch.core.lifecycle import TRANSITIONS, Effect, Lifecycle, Phase, Stage

DEPTH = 16
BACKED = {Look.END_OF_INPUT, Look.REACHABLE}  # either does where the other is missing
TAKEN_OUT = [frozenset({look}) for look in Look if look not in BACKED] + [frozenset(BACKED)]


def test_no_interleaving_of_two_messages_sends_on_what_has_ended():
    explored = explore(Requests(), DEPTH)
    assert explored.broken is None, explored.path
    assert explored.told["sent 0"] and explored.told["refused"] and explored.told["cut"], explored.told
    assert explored.states > 10_000, explored


@pytest.mark.parametrize("looks", TAKEN_OUT, ids=lambda looks: "+".join(sorted(look.name for look in looks)))
def test_each_look_is_missed_where_it_is_taken_out(looks):
    explored = explore(Requests(without=looks), DEPTH)
    assert explored.broken is not None, f"nothing broke in {explored.states} states"


class Interleavings(RuleBasedStateMachine):
    """Longer paths than the explorer reaches, by chance."""

    def __init__(self):
        super().__init__()
        self.model = Requests()

    @rule(pick=st.integers(0, 1_000))
    def step(self, pick):
        steps = self.model.steps()
        self.model.take(*steps[pick % len(steps)])

    @invariant()
    def holds(self):
        assert self.model.broken() is None


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = settings(max_examples=200, stateful_step_count=40)


@pytest.mark.parametrize("stage", Stage)
@pytest.mark.parametrize("effect", Effect)
def test_an_effect_that_the_table_does_not_have_is_refused_counted_and_reported(stage, effect):
    refusals, steps = [], []
    lifecycle = Lifecycle(refusals.append, lambda request, done: steps.append(done))
    message = Message(7, stage, number=7)
    follows = TRANSITIONS.get((stage, effect))
    assert lifecycle.advance(message, effect) is (follows is not None)
    assert message.stage is (stage if follows is None else follows)
    assert steps == ([] if follows is None else [effect])
    if follows is None:
        (refusal,) = refusals
        assert (refusal.request, refusal.id, refusal.effect, refusal.stage) == (7, b"m7", effect, stage)
        assert lifecycle.counts() == {f"{effect.name}/{stage.name}/serving".lower(): 1}


def test_nothing_follows_an_end_but_its_notice():
    after = {effect for (stage, effect) in TRANSITIONS if stage >= Stage.ENDED}
    assert after == {Effect.NOTIFY}


@pytest.mark.parametrize("phase", Phase)
def test_what_a_process_may_still_do_goes_by_its_phase(phase):
    lifecycle = Lifecycle()
    lifecycle.enter(phase)
    message = Message(1, Stage.ACCEPTED)
    assert lifecycle.permits(message, Effect.SEND) is (phase is Phase.SERVING)
    assert lifecycle.permits(message, Effect.DELIVER) is (phase is not Phase.RELINQUISHED)
    assert lifecycle.accepting() is (phase <= Phase.QUIESCING)


def test_a_phase_does_not_come_back():
    lifecycle = Lifecycle()
    lifecycle.enter(Phase.RELINQUISHED)
    lifecycle.enter(Phase.CLOSED)
    assert lifecycle.phase is Phase.RELINQUISHED


def test_the_model_is_plain_data():
    assert pickle.loads(pickle.dumps(Requests())) == Requests()
