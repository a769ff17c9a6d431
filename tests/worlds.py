"""Simulated members under whatever comes, for stateful tests."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

names = st.sampled_from([f"m{n:04d}" for n in range(5)])


class Worlds(RuleBasedStateMachine):
    """Faults of a `lab.membership.World` of five that has met; `world_of` makes it."""

    world_of = None

    def __init__(self):
        super().__init__()
        self.world = self.world_of()
        self.world.run(20.0)

    @rule(seconds=st.sampled_from((0.3, 1.0, 4.0)))
    def time_passes(self, seconds):
        self.world.run(self.world.now + seconds)

    @rule(name=names)
    def killed(self, name):
        self.world.kill(name)

    @rule(name=names)
    def started(self, name):
        self.world.again(name)

    @rule(name=names)
    def leaves(self, name):
        self.world.leave(name)

    @rule(name=names, seconds=st.sampled_from((0.5, 3.0, 8.0)))
    def stands_still(self, name, seconds):
        self.world.stop(name, seconds)

    @rule(part=st.sets(names), loss=st.sampled_from((0.0, 0.2)))
    def parted(self, part, loss):
        self.world.set_cut(lambda x, y: (x in part) != (y in part))
        self.world.loss = loss
