"""The platform's own protocol: `/receive` and `/receive-many`, outcomes by status, waits in milliseconds."""

from __future__ import annotations

import math
import re

import h11

from crowpier.interface import Outcome
from rushhitch.partners.codec import Attempt, Ends, Written

DELIVERED = re.compile(rb"HTTP/1\.[01] 200( [^\n]*)?\r?\n")
ENDS = {  # of a message in a batch: its outcome, and whether the message is over
    b"accepted": (Outcome.OK, True),
    b"fault": (Outcome.ERROR, False),
    b"deferred": (Outcome.FULL, False),
    b"expired": (Outcome.MOOT, False),  # by the time that the call told, which is not the message's own
    b"no_more": (Outcome.MOOT, False),
}


class Platform:
    """See `Codec`."""

    def batch(self, most: int) -> int:
        return most

    def write(self, attempts: list[Attempt], left_ms: float) -> Written:
        headers = [(b"X-Time-Left-Ms", b"%d" % max(left_ms, 1.0))]
        if len(attempts) == 1:
            headers.append((b"X-Correlation-Id", attempts[0].id))
            if attempts[0].idempotency:
                headers.append((b"Idempotency-Key", attempts[0].idempotency))
            return Written("/receive", headers, attempts[0].body)
        lines = (b"%s %s %d\r\n%s\r\n" % (a.id, a.idempotency or b"-", len(a.body), a.body) for a in attempts)
        return Written("/receive-many", headers, b"".join(lines))

    def wait_ms(self, response: h11.Response, now: float) -> float:
        """Of `X-Come-Back-Ms`; none if it makes no sense."""
        for name, value in response.headers:
            if name == b"x-come-back-ms":
                try:
                    wait = float(value)
                except ValueError:
                    return 0.0
                return wait if 0 < wait < math.inf else 0.0
        return 0.0

    def later(self, status: int) -> bool:
        return False

    def withdrawn(self, response: h11.Response) -> bool:
        return False

    def ends(self, response: h11.Response, body: bytes, ids: list[bytes]) -> Ends:
        if len(ids) > 1 and response.status_code == 200:
            return batch_ends(body, ids)
        return dict.fromkeys(ids, head_outcome(response))

    def delivered(self, head: bytes) -> bool:
        return DELIVERED.match(head) is not None


def head_outcome(response: h11.Response) -> tuple[Outcome, bool]:
    """What the head of an answer says of all messages in its call; the second is whether they are over."""
    match response.status_code:
        case 200:
            return Outcome.OK, True
        case 410 | 504:  # guards against a message that is lost: whether it is over is known here, not there
            return Outcome.MOOT, False
        case 429:
            return Outcome.FULL, False
        case 503:
            busy = any(name == b"x-line-busy" and value == b"1" for name, value in response.headers)
            return (Outcome.MOOT if busy else Outcome.FULL), False
    return Outcome.ERROR, False  # it may have run


def batch_ends(body: bytes, ids: list[bytes]) -> Ends:
    """What the answer to a batch says of each message; one that is not whole and well-formed is spoilt."""
    told = [line.rpartition(b" ") for line in body.removesuffix(b"\r\n").split(b"\r\n")]
    ends = {name: ENDS[end] for name, _, end in told if end in ENDS}
    if len(told) != len(ids) or ends.keys() != set(ids):
        raise h11.RemoteProtocolError("the answer does not tell each message's end")
    return ends
