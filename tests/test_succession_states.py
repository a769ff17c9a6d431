"""Upgrades: the state machines of both processes."""

from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rushhitch.succession.states import VERSION, Action, Incumbent, IncumbentState, Successor, SuccessorState


class Upgrades(RuleBasedStateMachine):
    """Model of an incumbent and a successor with frames in flight, either of which may die at any step. The
    folder must never have two owners, nor two processes that believe they own it."""

    def __init__(self):
        super().__init__()
        self.old, self.new = Incumbent(), Successor()
        self.to_new, self.to_old = [], []
        self.old_alive = self.new_alive = True
        self.lock = "old"
        self.joined = self.said_yes = False

    @precondition(lambda self: self.new_alive and not self.joined and self.old_alive)
    @rule()
    def asks(self):
        self.joined = True
        self.to_old.append("hello")

    @precondition(lambda self: self.to_old and self.old_alive)
    @rule()
    def old_hears(self):
        word = self.to_old.pop(0)
        if word == "hello":
            do = self.old.joined(VERSION)
            self.to_new.append("welcome" if do is Action.WELCOME else "no")
        elif word == "ready" and self.old.ready() is Action.PROMISE:
            self.to_new.append("promised")

    @precondition(lambda self: self.to_new and self.new_alive)
    @rule()
    def new_hears(self):
        word = self.to_new.pop(0)
        if word == "welcome":
            assert self.new.welcomed(VERSION) is Action.PREPARE
        elif word == "promised":
            assert self.new.promised() is Action.REPORT_READY
            self.said_yes = True
        elif word == "yield":
            assert self.new.yielded() is Action.TAKE
            assert self.lock == "channel"
            self.lock = "new"
            self.new.taken()

    @precondition(lambda self: self.new_alive and self.new.state is SuccessorState.PREPARING)
    @rule()
    def new_is_prepared(self):
        assert self.new.prepared() is Action.ASK
        self.to_old.append("ready")

    @precondition(lambda self: self.old_alive)
    @rule()
    def sigterm(self):
        do = self.old.sigterm_received()
        assert not (self.said_yes and do is Action.LEAVE and self.new_alive), (
            "ready was reported, but SIGTERM does not hand over"
        )
        if do is Action.YIELD:
            assert self.lock == "old"
            self.lock = "channel"
            self.to_new.append("yield")

    @precondition(lambda self: self.old_alive)
    @rule()
    def old_dies(self):
        self.old_alive = False
        if self.lock == "old":
            self.lock = "free"

    @precondition(lambda self: not self.old_alive and self.new_alive and self.joined and not self.to_new)
    @rule()
    def new_sees_the_end(self):
        do = self.new.channel_lost()
        if do is Action.TAKE_LOCK:
            assert self.lock == "free", "takes a lock that another process may hold"
            self.lock = "new"

    @precondition(lambda self: self.new_alive)
    @rule()
    def new_dies(self):
        self.new_alive = False
        if self.lock in ("new", "channel"):
            self.lock = "free"
        before = self.old.state
        if self.old_alive and self.joined:
            self.old.channel_lost()
            if before in (IncumbentState.OFFERING, IncumbentState.PROMISED):
                assert self.old.state is IncumbentState.SERVING, "the incumbent does not serve on"

    @rule()
    def time_passes(self):
        """A rule that is always enabled, also when both are dead."""

    @invariant()
    def one_owner_at_most(self):
        if self.old_alive and self.new_alive:
            assert not (self.old.owns and self.new.owns)
        if self.new_alive and self.new.state is SuccessorState.SERVING:
            assert self.lock == "new"
        if self.old_alive and self.old.owns:
            assert self.lock == "old"


Upgrades.TestCase.settings = hypothesis_settings(
    max_examples=200, stateful_step_count=20, deadline=None, derandomize=True
)
TestUpgrades = Upgrades.TestCase


def test_a_third_process_and_another_version_are_refused():
    old = Incumbent()
    assert old.joined(VERSION) is Action.WELCOME
    assert old.joined(VERSION) is Action.REFUSE and old.state is IncumbentState.OFFERING
    assert Incumbent().joined(VERSION + 1) is Action.REFUSE
    assert Successor().refused(busy=True) is Action.GIVE_UP
    assert Successor().welcomed(VERSION + 1) is Action.WAIT
