"""Which request an answer on an HTTP/1.1 connection belongs to. No I/O.

HTTP/1.1 pairs answers with requests by their order alone. If an answer comes twice, whoever sends the copy,
the copy would be taken for the answer to the next request, and each later answer for that to the request
after its own. An answer is therefore attributed to a request only if no earlier one on the connection,
repeated, could look like it. So a connection carries two requests at most:

- the first answer on it belongs to the first request;
- the second request asks for the connection to be closed (`Connection: close`), and only an answer that says
  so as well belongs to it: the first did not, or the connection would have ended with it.
"""

from __future__ import annotations

from collections.abc import Iterable

import h11

SUSPENSION_S = 60.0  # an endpoint or a way to it that has answered out of step may do so again soon
STATUS_LINE_START = b"HTTP/"


class ExchangeSequence:
    """The exchanges of one connection. `requests` counts those begun, `unattributed` the answers since the
    newest one that belonged to none."""

    __slots__ = ("answered", "ending", "last", "requests", "unattributed")

    def __init__(self) -> None:
        self.requests = self.unattributed = 0
        self.answered = False  # an answer was attributed: the next request is the last
        self.last = False  # the newest request asks for the connection to be closed
        self.ending = False  # the answer to that request has begun

    def begin(self) -> bool:
        """A request begins; returns whether it has to ask for the connection to be closed."""
        self.last, self.ending, self.unattributed = self.answered, False, 0
        self.requests += 1
        return self.last

    def accept(self, closes: bool) -> bool:
        """Whether an answer belongs to the newest request. `closes`: it says that the connection ends."""
        if self.last and not closes:
            self.unattributed += 1
            return False
        self.answered, self.ending = True, self.last
        return True

    @property
    def first_line_counts(self) -> bool:
        """Whether an answer that broke off behind its first line belongs to the newest request."""
        return not self.last or self.ending

    @property
    def ended_unmarked(self) -> bool:
        """Whether only answers without the mark came to the last request."""
        return self.last and not self.ending and self.unattributed > 0


class ReusePolicy:
    """Which endpoints may get a second request on a connection. Times are in seconds.

    It needs an endpoint that marks the answer to a last request, or that answer proves nothing; whether it
    does shows only then. Endpoints of one protocol are taken to do alike: unless the protocol is `marking`,
    or an endpoint has done so, only messages that may be delivered twice are sent so. An endpoint that has
    answered out of step gets one request a connection for a while."""

    def __init__(self, marking: Iterable[object] = ()) -> None:
        self.marking = set(marking)  # protocols whose endpoints mark the answer to a last request
        self.suspended_until: dict[str, float] = {}

    def permits(self, protocol: object, repeatable: bool) -> bool:
        """Whether a connection that has carried a request may be used for another."""
        return repeatable or protocol in self.marking

    def note_marked(self, protocol: object) -> None:
        """An endpoint with this protocol has marked the answer to a last request."""
        self.marking.add(protocol)

    def note_unmarked(self, protocol: object) -> None:
        """An endpoint with this protocol closed the connection with no marked answer."""
        self.marking.discard(protocol)

    def note_unrequested(self, endpoint: str, data: bytes, now: float) -> None:
        """The endpoint has sent something that belonged to no request. Only the start of an answer, not
        noise, tells that answers come again on the way from it."""
        if data.startswith(STATUS_LINE_START):
            self.suspended_until[endpoint] = now + SUSPENSION_S

    def is_suspended(self, endpoint: str, now: float) -> bool:
        """Whether no connection to the endpoint may be used again."""
        return self.suspended_until.get(endpoint, now) > now

    def forget(self, endpoint: str) -> None:
        """The endpoint has another address, or is no longer listed."""
        self.suspended_until.pop(endpoint, None)


def closes_connection(response: h11.Response) -> bool:
    """Whether a response says that the connection ends behind it (RFC 9112, section 9.6)."""
    if response.http_version < b"1.1":
        return True
    options = (value for name, value in response.headers if name == b"connection")
    return any(option.strip().lower() == b"close" for value in options for option in value.split(b","))
