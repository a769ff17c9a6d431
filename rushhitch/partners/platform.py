"""Codec for the platform's own protocol: `/receive` and `/receive-many`, waits in milliseconds."""

from __future__ import annotations

import math
import re

import h11

from crowpier.interface import Outcome
from rushhitch.partners.codec import Attempt, AttemptResult, EncodedRequest, ResultsById

DELIVERED = re.compile(rb"HTTP/1\.[01] 200( [^\n]*)?\r?\n")
FINAL = re.compile(rb"HTTP/1\.[01] (410|504)( [^\n]*)?\r?\n")
BATCH_REJECTED = (400, 413)  # malformed, or too many messages: none of them has run
DELIVERED_RESULT = AttemptResult(Outcome.OK, delivered=True)
MAYBE_PROCESSED = AttemptResult(Outcome.ERROR)
REJECTED = AttemptResult(Outcome.FULL)
NOT_PROCESSED = AttemptResult(Outcome.NOT_EXECUTED)
NO_MORE_ATTEMPTS = AttemptResult(Outcome.NOT_EXECUTED, final=True)  # expired, or attempts used up
BATCH_RESULTS = {  # by the word for a message in the response to a batch
    b"accepted": DELIVERED_RESULT,
    b"fault": MAYBE_PROCESSED,
    b"deferred": REJECTED,
    b"expired": NO_MORE_ATTEMPTS,
    b"no_more": NO_MORE_ATTEMPTS,
}


class Platform:
    """See `Codec`."""

    def max_batch_size(self, most: int) -> int:
        return most

    def write(self, attempts: list[Attempt], left_ms: float) -> EncodedRequest:
        headers = [(b"X-Time-Left-Ms", b"%d" % max(left_ms, 1.0))]
        if len(attempts) == 1:
            headers.append((b"X-Correlation-Id", attempts[0].id))
            if attempts[0].idempotency:
                headers.append((b"Idempotency-Key", attempts[0].idempotency))
            return EncodedRequest("/receive", headers, attempts[0].body)
        lines = (b"%s %s %d\r\n%s\r\n" % (a.id, a.idempotency or b"-", len(a.body), a.body) for a in attempts)
        return EncodedRequest("/receive-many", headers, b"".join(lines))

    def wait_ms(self, response: h11.Response, now: float) -> float:
        """The value of `X-Come-Back-Ms`; 0 if it is malformed."""
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
            return batch_results(body, ids)
        if len(ids) > 1 and response.status_code in BATCH_REJECTED:
            return dict.fromkeys(ids, NOT_PROCESSED)
        return dict.fromkeys(ids, result_from_head(response))

    def final(self, head: bytes) -> bool:
        return FINAL.match(head) is not None

    def delivered(self, head: bytes) -> bool:
        return DELIVERED.match(head) is not None


def result_from_head(response: h11.Response) -> AttemptResult:
    """The result for each message of a call, from the head of its response."""
    match response.status_code:
        case 200:
            return DELIVERED_RESULT
        case 410 | 504:
            return NO_MORE_ATTEMPTS
        case 429:
            return REJECTED
        case 503:
            busy = any(name == b"x-line-busy" and value == b"1" for name, value in response.headers)
            return NOT_PROCESSED if busy else REJECTED
    return MAYBE_PROCESSED


def batch_results(body: bytes, ids: list[bytes]) -> ResultsById:
    """Parse the response to a batch. Raises `h11.RemoteProtocolError` unless it covers each message once."""
    lines = [line.rpartition(b" ") for line in body.removesuffix(b"\r\n").split(b"\r\n")]
    results = {name: BATCH_RESULTS[word] for name, _, word in lines if word in BATCH_RESULTS}
    if len(lines) != len(ids) or results.keys() != set(ids):
        raise h11.RemoteProtocolError("the response lacks the outcome of a message, or has an unknown one")
    return results
