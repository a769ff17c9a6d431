"""Divides a limit among forwarders. Pure.

Weighted max-min fairness (progressive filling; Bertsekas and Gallager, Data Networks, section 6.5.2): nobody
gets more than it needs while another needs more, by weight. Each known forwarder has a minimum, so that one
that becomes active need not wait for a planning round.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping

FLOOR_SHARE = 0.05  # of the limit, divided among all that report the lane
HEADROOM = 1.15  # factor on a need, which may rise between two reports


def divide(limit: float, needs: Mapping[str, tuple[float, float]]) -> dict[str, float]:
    """Shares of a limit by name; `needs` maps names to rate and weight. The shares add up to at most the
    limit; the unneeded part is divided equally, since a need may rise at any time."""
    if not needs or limit <= 0:
        return dict.fromkeys(needs, 0.0)
    floor = FLOOR_SHARE * limit / len(needs)
    shares = dict.fromkeys(needs, floor)
    left = limit - floor * len(needs)
    wanting = {name: max(HEADROOM * need - floor, 0.0) for name, (need, _) in needs.items()}
    wanting = {name: want for name, want in wanting.items() if want > 0}
    while wanting and left > 1e-12 * limit:
        weights = {name: max(needs[name][1], 1e-9) for name in wanting}
        unit = left / sum(weights.values())
        full = [name for name, want in wanting.items() if want <= unit * weights[name]]
        if not full:
            for name, weight in weights.items():
                shares[name] += unit * weight
            return shares
        for name in full:
            want = wanting.pop(name)
            shares[name] += want
            left -= want
    for name in shares:
        shares[name] += max(left, 0.0) / len(shares)
    return shares


def jain(values: Iterable[float]) -> float:
    """Jain's fairness index (1984): 1 if all values are equal, 1/n if one has everything."""
    values = list(values)
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def unit_hash(*names: str) -> float:
    """A deterministic pseudorandom number from 0 to 1 for the names."""
    digest = hashlib.blake2b("\0".join(names).encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 1) / (1 << 64)


def rendezvous(key: str, nodes: Iterable[str], weights: Mapping[str, float] | None = None) -> str:
    """The node for a key (highest random weight; Thaler and Ravishankar, 1998, with logarithmic weights): if
    a node is removed, only its keys move. An empty string if there are no nodes."""

    def score(node: str) -> float:
        return -(weights or {}).get(node, 1.0) / math.log(unit_hash(key, node))

    return max(nodes, key=score, default="")
