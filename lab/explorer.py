"""Walks every interleaving of a small model, whatever it is of.

A model has `steps()`, what may happen next; `take(what, index)`, which lets it happen; `broken()`, what does
not hold in its state, or None; and `tells()`, words on its state that are counted: proof that the search goes
somewhere.
"""

from __future__ import annotations

import hashlib
import pickle
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

Step = tuple[str, int]


class Model(Protocol):
    def steps(self) -> list[Step]: ...

    def take(self, what: str, index: int) -> None: ...

    def broken(self) -> str | None: ...

    def tells(self) -> Iterable[str]: ...


@dataclass(frozen=True, slots=True)
class Explored:
    """What was gone over; `path` leads to what is broken, if anything is."""

    states: int
    steps: int
    depth: int
    told: Counter[str]  # over all states
    broken: str | None = None
    path: tuple[Step, ...] = ()
    complete: bool = False  # no further states: all that there are were met


def explore(begin: Model, depth: int) -> Explored:
    """Breadth first, so that the path to what is broken is a shortest one; equal states are met once."""
    first = pickle.dumps(begin)
    layer: list[tuple[bytes, tuple[Step, ...]]] = [(first, ())]
    known = {hashlib.blake2b(first, digest_size=16).digest()}
    steps, told = 0, Counter()
    for level in range(depth):
        following = []
        for packed, path in layer:
            for step in pickle.loads(packed).steps():
                small = pickle.loads(packed)
                small.take(*step)
                steps += 1
                if (why := small.broken()) is not None:
                    return Explored(len(known), steps, level + 1, told, why, (*path, step))
                data = pickle.dumps(small)
                key = hashlib.blake2b(data, digest_size=16).digest()
                if key not in known:
                    known.add(key)
                    following.append((data, (*path, step)))
                    told.update(small.tells())
        layer = following
    return Explored(len(known), steps, depth, told, complete=not layer)


class First:
    """A chance without any."""

    def random(self) -> float:
        return 0.0

    def uniform(self, low: float, high: float) -> float:
        return low

    def choice(self, items):
        return items[0]

    def sample(self, items, count: int):
        return list(items)[:count]

    def shuffle(self, items) -> None:
        pass
