"""The platform's own protocol: `/receive` and `/receive-many`, outcomes by status, waits in milliseconds."""

from __future__ import annotations

import math
import re

import h11

from crowpier.interface import Outcome
from rushhitch.partners.codec import Attempt, AttemptResult, ResultsById, Written

DELIVERED = re.compile(rb"HTTP/1\.[01] 200( [^\n]*)?\r?\n")
FINAL = re.compile(rb"HTTP/1\.[01] (410|504)( [^\n]*)?\r?\n")
UNREADABLE = (400, 413)  # a batch that cannot be read, or holds too many: none of it has run
DELIVERY = AttemptResult(Outcome.OK, delivered=True)
MAY_HAVE_RUN = AttemptResult(Outcome.ERROR)
TURNED_AWAY = AttemptResult(Outcome.FULL)
NOT_SENT = AttemptResult(Outcome.NOT_EXECUTED)
NEVER_TO_RUN = AttemptResult(
    Outcome.NOT_EXECUTED, final=True
)  # the message is over, or has had all its attempts
ENDS = {  # of a message in a batch
    b"accepted": DELIVERY,
    b"fault": MAY_HAVE_RUN,
    b"deferred": TURNED_AWAY,
    b"expired": NEVER_TO_RUN,
    b"no_more": NEVER_TO_RUN,
}


class Platform:
    """See `Codec`."""

    def max_batch_size(self, most: int) -> int:
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

    def expects_acknowledgement(self, status: int) -> bool:
        return False

    def withdrawn(self, response: h11.Response) -> bool:
        return False

    def results(self, response: h11.Response, body: bytes, ids: list[bytes]) -> ResultsById:
        if len(ids) > 1 and response.status_code == 200:
            return batch_ends(body, ids)
        if len(ids) > 1 and response.status_code in UNREADABLE:
            return dict.fromkeys(ids, NOT_SENT)
        return dict.fromkeys(ids, result_from_head(response))

    def final(self, head: bytes) -> bool:
        return FINAL.match(head) is not None

    def delivered(self, head: bytes) -> bool:
        return DELIVERED.match(head) is not None


def result_from_head(response: h11.Response) -> AttemptResult:
    """What the head of an answer says of each message in its call."""
    match response.status_code:
        case 200:
            return DELIVERY
        case 410 | 504:
            return NEVER_TO_RUN
        case 429:
            return TURNED_AWAY
        case 503:
            busy = any(name == b"x-line-busy" and value == b"1" for name, value in response.headers)
            return NOT_SENT if busy else TURNED_AWAY
    return MAY_HAVE_RUN


def batch_ends(body: bytes, ids: list[bytes]) -> ResultsById:
    """What the answer to a batch says of each message; one that is not whole and well-formed is spoilt."""
    told = [line.rpartition(b" ") for line in body.removesuffix(b"\r\n").split(b"\r\n")]
    ends = {name: ENDS[end] for name, _, end in told if end in ENDS}
    if len(told) != len(ids) or ends.keys() != set(ids):
        raise h11.RemoteProtocolError("the answer does not tell each message's end")
    return ends
