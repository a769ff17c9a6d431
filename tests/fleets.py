"""Fleets of real members for tests, and what is asked of them."""

import asyncio

from doubles import TOLD

from lab.fleet import MemberFleet
from lab.membership_rules import check

PATIENCE_S = 50.0
MEET_S = 20.0  # on a crowded machine


async def play(test, folder, size=5, properties=(1, 2, 4), **told):
    """Awaits the test's coroutine with a fleet that has met; what all held is checked afterwards."""
    fleet = MemberFleet(folder, size, TOLD, **told)
    async with fleet:
        await fleet.until(fleet.all_there, MEET_S)
        await test(fleet)
    broken = [b for b in check(fleet.history, size) if b.property in properties]
    assert not broken, "\n".join(map(str, broken))


def with_fleet(tmp_path, **told):
    """Runs the test's coroutine as `play` does."""

    def decorate(test):
        asyncio.run(asyncio.wait_for(play(test, tmp_path, **told), PATIENCE_S))

    return decorate


def all_hold(fleet, name, state, but=()):
    return all(fleet.states(by).get(name) == state for by in fleet.up() if by not in (name, *but))
