"""Partners: endpoints on loopback that take calls as the protocol has it, within limits that they never
state, and with the faults that a scenario gives them."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import zlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lab.addresses import hold_port
from lab.bank import Bank
from lab.events import messages as event_messages
from lab.history import ACCEPTED, EXPIRED, NO_MORE, History
from lab.http import HttpConnection, Request, port_of, serve
from lab.limits import Health, Limit, Work
from lab.repeats import Repeats

MANY = b"/receive-many"
HURRIED_MS = 300.0
ANSWER_LOST_MS = 250.0  # the end of a connection so soon behind an answer is noted: it may not have been read
ENDLESS = b"HTTP/1.1 200 x\r\nContent-Length: 1000\r\n\r\nand so on"
NOISE = b"\x00\xff noise that is no answer\r\n\r\n"


@dataclass(slots=True)
class Spec:
    """A partner as a scenario has it."""

    name: str
    dest: int
    kind: str = "firms"
    endpoints: int = 1
    zones: tuple[str, ...] = ()  # of its endpoints, in turn; none: the first of the scenario
    apart: bool = False  # its endpoints are routes with limits of their own
    batch: int = 1
    per_s: float = math.inf  # the limit, by lane; infinite: none but its capacity
    window_ms: float = 0.0
    refused_count: bool = False
    tells: float = 0.5  # share of its refusals that tell how long to wait
    wait_ms: float = 500.0  # told where it is shut or full
    slots: int = 8  # calls at once, by endpoint
    capacity_per_s: float = 0.0  # calls a second that the lane can do when warm; 0: by its slots
    queue: int = 16
    call_ms: float = 40.0
    spread: float = 0.3  # of a call's time: sigma of its logarithm
    idle_ms: float = 10_000.0  # a connection that stood idle so long is closed
    connections: int = 200  # by endpoint; one more is reset
    speaks: str = "platform"  # or "binary", "structured", "batch": CloudEvents
    acknowledges_ms: float = 0.0  # it answers 202 and says so long later, by an event, what became of it
    denies: float = 0.0  # share of what it has answered that it did not do after all
    agrees_per_min: int = 0  # it must be asked whether it wants events, and then states that rate
    deferred: float = 0.0  # share of a batch's messages that it defers, and that fail
    fault: float = 0.0
    hurried: float = 0.0  # share of the messages to it that are handed in with at most `HURRIED_MS` left
    drops_below_ms: float = 0.0  # calls that tell less time than this are dropped without a word
    batch_waits: float = 0.0  # share of its answers to batches, by message, that tell a wait beside the ends


@dataclass(slots=True)
class Faults:
    """What is wrong with a lane at the moment. Shares are of calls."""

    shut: bool = False
    tells_end: bool = False  # refusals of a shut lane that tell a wait tell when it opens, if that is known
    silent: bool = False
    down: bool = False
    fail: float = 0.0
    reset: float = 0.0
    spoil: float = 0.0
    cut: float = 0.0  # answers that break off
    half: float = 0.0  # the same behind a first line with 200 (platform only)
    endless: float = 0.0  # answers with 200 that never end (platform only)
    slow: float = 1.0  # times a call's usual time
    late_ms: float = 0.0
    spent: float = 0.0  # 504, in a batch `no_more`: the message has had all its attempts (platform only)
    line_busy: float = (
        0.0  # 503 with `X-Line-Busy: 1`: all slots of the dispatcher were taken (platform only)
    )
    unread: float = 0.0  # batches that are answered 400 or 413 (platform only)
    refuse: float = 0.0  # 503, after the time that a call takes

    @property
    def outage(self) -> bool:
        return self.shut or self.silent or self.down or self.fail >= 0.5


@dataclass(eq=False)
class Lane:
    """What shares a limit, a health and a fault."""

    name: str
    limit: Limit
    health: Health
    faults: Faults = field(default_factory=Faults)
    opens_at: float = math.inf  # on the history's clock; infinite if that is not known
    work: Work | None = None  # its capacity, where it is not that of its slots


class Endpoint:
    """One address: its ports, one for each dispatcher, its slots and its queue."""

    def __init__(self, name: str, spec: Spec, zone: str, lane: Lane) -> None:
        self.name, self.spec, self.zone, self.lane = name, spec, zone, lane
        self.servers: dict[str, asyncio.Server] = {}
        self.connections: set[HttpConnection] = set()
        self.busy = 0
        self.queue: deque[Callable[[], None]] = deque()

    def port(self, dispatcher: str) -> int:
        return port_of(self.servers[dispatcher])


@dataclass(slots=True)
class IncomingCall:
    """A call that an endpoint has taken in. `unsent` has the ends of those of its messages that it does not
    pass on; the others fare alike, or each in its own way where all goes well."""

    endpoint: Endpoint
    request: Request
    number: int
    ids: list[str]
    unsent: dict[str, str] = field(default_factory=dict)

    @property
    def several(self) -> bool:
        return self.request.target == MANY

    @property
    def left_ms(self) -> float:
        """How long the dispatcher will wait, as the call tells."""
        return float(self.request.headers.get(b"x-time-left-ms", b"inf"))

    @property
    def platform(self) -> bool:
        return self.endpoint.spec.speaks == "platform"


class Partners:
    """All partners of a run; what they see goes to the history.

    `over` tells whether a message has been withdrawn or is out of time: endpoints of the platform's protocol
    answer such a one 410, and `expired` in a batch, at once, whatever else is wrong with them. One that comes
    more than `max_attempts` times they answer 504, and `no_more`.
    """

    def __init__(
        self, specs: list[Spec], dispatchers: list[str], history: History, seed: int, **cold: float
    ) -> None:
        self.specs, self.dispatchers, self.history = specs, dispatchers, history
        self.chance = random.Random(f"partners {seed}")
        self.numbers = itertools.count(1)
        self.cold = cold
        self.endpoints: dict[str, Endpoint] = {}
        self.lanes: dict[str, Lane] = {}
        self.bank = Bank(self.chance, self.reply)
        self.admitted: dict[str, list[float]] = {}  # by lane, the times of calls, for the pressure
        self.repeats = Repeats(random.Random(f"repeated answers {seed}"))
        self.loop = asyncio.get_running_loop()
        self.over: Callable[[str], bool] = lambda name: False
        self.max_attempts = math.inf
        self.attempts: Counter[str] = Counter()  # calls by id of the message

    async def start(self) -> Partners:
        for spec in self.specs:
            for number in range(spec.endpoints):
                await self.add(spec, f"{spec.name}-{number + 1}", spec.zones[number % len(spec.zones)])
        return self

    async def add(self, spec: Spec, name: str, zone: str) -> Endpoint:
        """One more endpoint, which nobody knows of until the directory tells."""
        key = name if spec.apart else spec.name
        if key not in self.lanes:
            own = spec.slots / (spec.call_ms / 1000.0) * (1 if spec.apart else spec.endpoints)
            own = spec.capacity_per_s or own
            burst = max(spec.per_s * 0.25, 1.0) if spec.per_s < math.inf else 1.0
            offset = self.chance.uniform(0.0, spec.window_ms)
            limit = Limit(spec.per_s, spec.window_ms, burst, offset, spec.refused_count)
            work = Work(own) if spec.capacity_per_s else None
            self.lanes[key] = Lane(key, limit, Health(own, **self.cold), work=work)
            self.admitted[key] = []
        endpoint = Endpoint(name, spec, zone, self.lanes[key])
        self.endpoints[name] = endpoint
        for dispatcher in self.dispatchers:
            endpoint.servers[dispatcher] = await serve(self.maker(endpoint, dispatcher))
        share = 1 if spec.apart else spec.endpoints
        self.history.add(
            "endpoint",
            endpoint=name,
            dest=spec.dest,
            lane=key,
            zone=zone,
            per_s=endpoint.lane.health.per_s / share,
        )
        return endpoint

    def maker(self, endpoint: Endpoint, dispatcher: str) -> Callable[[], HttpConnection]:
        def made(connection: HttpConnection) -> None:
            if endpoint.lane.faults.down or len(endpoint.connections) >= endpoint.spec.connections:
                self.history.add("refused", endpoint=endpoint.name, dispatcher=dispatcher)
                connection.reset()
                return
            connection.dispatcher, connection.repeats = dispatcher, self.repeats
            endpoint.connections.add(connection)

        def handle(request: Request) -> None:
            self.handle(endpoint, dispatcher, request)

        def lost(connection: HttpConnection) -> None:
            endpoint.connections.discard(connection)
            call = connection.state
            soon = self.history.now() - connection.used_ms <= ANSWER_LOST_MS
            if call is None and soon and not connection.read_to_end:
                call = connection.answered
            if call is not None:
                self.history.add("gone", call=call)
                connection.state = connection.answered = None

        return lambda: HttpConnection(self.history.now, handle, lost, made)

    async def remove(self, name: str) -> None:
        """The address is gone: nobody listens there any more."""
        endpoint = self.endpoints[name]
        for server in endpoint.servers.values():
            server.close()
        for connection in list(endpoint.connections):
            connection.reset()

    async def take_over(self, old: str, spec: Spec, name: str) -> Endpoint:
        """Another partner's endpoint listens on the ports that a former one had."""
        ports = {dispatcher: self.endpoints[old].port(dispatcher) for dispatcher in self.dispatchers}
        await self.remove(old)
        held = [hold_port(port) for port in ports.values()]
        endpoint = await self.add(spec, name, spec.zones[0])
        for dispatcher, port in ports.items():
            endpoint.servers[dispatcher].close()
            endpoint.servers[dispatcher] = await serve(self.maker(endpoint, dispatcher), port)
        for sock in held:
            sock.close()
        return endpoint

    def stop(self) -> None:
        self.bank.stop()
        for endpoint in self.endpoints.values():
            for server in endpoint.servers.values():
                server.close()
            for connection in list(endpoint.connections):
                connection.state = None
                connection.transport.abort()

    def sweep(self) -> None:
        """Close what stood idle too long; call it now and then."""
        now = self.history.now()
        for endpoint in self.endpoints.values():
            for connection in list(endpoint.connections):
                if connection.state is None and not connection.buffer:
                    if now - connection.used_ms > endpoint.spec.idle_ms:
                        connection.transport.close()

    # Faults

    def strike(self, lane: Lane, for_s: float = math.inf, **faults: Any) -> None:
        """Set the lane's faults; an outage that begins or ends is told to the history."""
        before, lane.opens_at = lane.faults, self.history.now() + for_s * 1000.0
        lane.faults = Faults(**faults)
        if lane.faults.outage and not before.outage:
            self.history.add("outage", lane=lane.name)
            if lane.faults.down:
                for endpoint in self.endpoints.values():
                    if endpoint.lane is lane:
                        for connection in list(endpoint.connections):
                            connection.reset()
        elif before.outage and not lane.faults.outage:
            self.history.add("return", lane=lane.name)
            lane.health.returns(self.history.now())

    # Calls

    def handle(self, endpoint: Endpoint, dispatcher: str, request: Request) -> None:
        if request.method == b"OPTIONS":
            self.agree(endpoint, request)
            return
        if request.method == b"GET":  # the lab's settings allow no probes
            request.connection.answer(404)
            return
        events = endpoint.spec.speaks != "platform"
        messages = event_messages(request) if events else self.messages(request)
        if messages is None:
            self.malformed(endpoint, dispatcher, "it cannot be read")
            request.connection.answer(400)
            return
        ids = [name for name, _ in messages]
        if request.connection.state is not None:
            self.malformed(endpoint, dispatcher, "its connection carries a call already")
        call = IncomingCall(endpoint, request, next(self.numbers), ids)
        now = self.history.add(
            "call",
            call=call.number,
            endpoint=endpoint.name,
            dispatcher=dispatcher,
            ids=ids,
            crcs=[zlib.crc32(body) for _, body in messages],
            began_ms=request.began_ms,
        )["at"]
        request.connection.state = call.number
        self.admitted[endpoint.lane.name].append(now)
        if not (self.badly_formed(call, dispatcher) or self.not_sent(call)):
            self.admit(call, now)

    def admit(self, call: IncomingCall, now: float) -> None:
        """Work on it, queue it or turn it away, by the lane's faults and the endpoint's limits."""
        endpoint, connection = call.endpoint, call.request.connection
        lane, faults = endpoint.lane, endpoint.lane.faults
        if faults.down:
            self.reply(call.number, call.ids, "reset")
            connection.state = None
            connection.reset()
        elif faults.silent or call.left_ms < endpoint.spec.drops_below_ms:
            return
        elif faults.shut and faults.tells_end and lane.opens_at < math.inf:
            self.turn_away(call, lane.opens_at - now)
        elif faults.shut or not lane.health.takes(now, len(call.ids)):
            self.turn_away(call, endpoint.spec.wait_ms)
        elif not lane.limit.admits(now):
            self.turn_away(call, lane.limit.opens_in(now))
        elif lane.work is not None:
            waits_ms = lane.work.waits_ms(now, lane.health.warmth(now), len(call.ids))
            if waits_ms is None:
                self.turn_away(call, endpoint.spec.wait_ms)
            else:
                self.work(call, waits_ms)
        elif endpoint.busy >= self.slots(endpoint, now) and len(endpoint.queue) >= endpoint.spec.queue:
            self.turn_away(call, endpoint.spec.wait_ms)
        elif endpoint.busy >= self.slots(endpoint, now):
            endpoint.queue.append(lambda: self.work(call))
        else:
            self.work(call)

    def malformed(self, endpoint: Endpoint, dispatcher: str, why: str) -> None:
        self.history.add("malformed", endpoint=endpoint.name, dispatcher=dispatcher, why=why)

    def badly_formed(self, call: IncomingCall, dispatcher: str) -> bool:
        """Whether a batch was answered 400 or 413, since it names a message twice or holds too many, or by a
        fault."""
        if not call.several:
            return False
        status, faults = 0, call.endpoint.lane.faults
        if len(set(call.ids)) < len(call.ids):
            status = 400
            self.malformed(call.endpoint, dispatcher, "it names a message twice")
        elif len(call.ids) > call.endpoint.spec.batch:
            status = 413
            self.malformed(call.endpoint, dispatcher, f"it holds {len(call.ids)} messages")
        elif self.chance.random() < faults.unread:
            status = self.chance.choice((400, 413))
        if status:
            self.finish(call, "not sent", status)
        return bool(status)

    def not_sent(self, call: IncomingCall) -> bool:
        """Whether the call was answered as one that is not passed on: all of its messages are over or have
        had all their attempts, or the dispatcher's slots are taken. Of a batch some may be."""
        if not call.platform:
            return False
        faults = call.endpoint.lane.faults
        self.attempts.update(call.ids)
        for name in call.ids:
            if self.over(name):
                call.unsent[name] = EXPIRED
            elif self.attempts[name] > self.max_attempts or self.chance.random() < faults.spent:
                call.unsent[name] = NO_MORE
        if len(call.unsent) == len(call.ids):
            ends = set(call.unsent.values())
            alike = not call.several or (len(ends) == 1 and self.chance.random() < 0.5)
            status = {EXPIRED: 410, NO_MORE: 504}[ends.pop()] if alike else 200
            self.finish(call, "", status)
            return True
        if not call.unsent and self.chance.random() < faults.line_busy:
            self.finish(call, "not sent", 503, b"X-Line-Busy: 1\r\n")
            return True
        return False

    def finish(
        self,
        call: IncomingCall,
        end: str | dict[str, str],
        status: int,
        headers: bytes = b"",
        wait: int = 0,
    ) -> None:
        """Answer the call: with `status` where all its messages end alike, with 200 and a line for each where
        they do not. `end` is that of all that were passed on, or each one's by its id."""
        connection = call.request.connection
        connection.state = None
        told = (end if isinstance(end, dict) else dict.fromkeys(call.ids, end)) | call.unsent
        self.history.add("reply", call=call.number, ends=told, wait_ms=wait)
        if call.several and (status == 200 or (call.unsent and len(call.unsent) < len(told))):
            in_batch = {"turned away": "deferred", "error": "fault"}
            lines = (f"{name} {in_batch.get(one, one)}\r\n" for name, one in told.items())
            connection.answer(200, "".join(lines).encode("latin-1"), headers)
        else:
            connection.answer(status, b"", headers)

    def slots(self, endpoint: Endpoint, now: float) -> int:
        return max(int(endpoint.spec.slots * endpoint.lane.health.warmth(now)), 1)

    @staticmethod
    def messages(request: Request) -> list[tuple[str, bytes]] | None:
        """Ids and bodies of a call; None where it cannot be read."""
        if request.target != MANY:
            name = request.headers.get(b"x-correlation-id")
            return [(name.decode("latin-1"), request.body)] if name and request.method == b"POST" else None
        found, at = [], 0
        while at < len(request.body):
            end = request.body.find(b"\r\n", at)
            parts = request.body[at:end].split(b" ")
            if end < 0 or len(parts) != 3 or not parts[2].isdigit():
                return None
            size = int(parts[2])
            found.append((parts[0].decode("latin-1"), request.body[end + 2 : end + 2 + size]))
            at = end + 4 + size
        return found or None

    def turn_away(self, call: IncomingCall, wait: float) -> None:
        told = self.chance.random() < call.endpoint.spec.tells
        wait = math.ceil(max(wait, 1.0)) if told else 0
        if not told:
            self.finish(call, "turned away", 503)
        elif call.platform:
            self.finish(call, "turned away", 429, b"X-Come-Back-Ms: %d\r\n" % wait, wait)
        else:
            seconds = math.ceil(wait / 1000.0)
            self.finish(call, "turned away", 429, b"Retry-After: %d\r\n" % seconds, seconds * 1000)

    def work(self, call: IncomingCall, waits_ms: float = 0.0) -> None:
        endpoint = call.endpoint
        endpoint.busy += 1
        faults = endpoint.lane.faults
        took = endpoint.spec.call_ms * self.chance.lognormvariate(0.0, endpoint.spec.spread) * faults.slow
        took += faults.late_ms + waits_ms
        self.loop.call_later(took / 1000.0, self.done, call)

    def done(self, call: IncomingCall) -> None:
        endpoint = call.endpoint
        endpoint.busy -= 1
        if endpoint.queue:
            endpoint.queue.popleft()()
        connection, faults = call.request.connection, endpoint.lane.faults
        if connection.state != call.number or faults.silent:  # given up, or nothing is said any more
            return
        if connection.closed_by_client():  # given up: `lost` is about to be called
            return
        connection.state = None
        connection.answered = None if endpoint.spec.acknowledges_ms else call.number
        roll = self.chance.random()
        for share, how in (
            (faults.fail, "error"),
            (faults.reset, "reset"),
            (faults.spoil, "spoilt"),
            (faults.cut, "cut"),
            (faults.half * call.platform, "half"),
            (faults.endless * call.platform, "endless"),
            (faults.refuse, "refused"),
        ):
            if roll < share:
                getattr(self, "end_" + how)(call)
                return
            roll -= share
        self.end_well(call)

    def agree(self, endpoint: Endpoint, request: Request) -> None:
        """The handshake of web hooks (HTTP 1.1 Web Hooks, section 4)."""
        rate = endpoint.spec.agrees_per_min
        if endpoint.lane.faults.outage or not rate:
            request.connection.answer(503 if endpoint.lane.faults.outage else 405)
            return
        origin = request.headers.get(b"webhook-request-origin", b"")
        told = b"WebHook-Allowed-Origin: %s\r\nWebHook-Allowed-Rate: %d\r\n" % (origin, rate)
        request.connection.answer(200, b"", told)

    def end_well(self, call: IncomingCall) -> None:
        spec = call.endpoint.spec
        if spec.acknowledges_ms:
            call.request.connection.answer(202)
            self.bank.owe(spec, call.request, call.number, call.ids)
        elif not call.several:
            self.finish(call, ACCEPTED, 200)
        else:
            ends = {name: self.end_in_batch(spec) for name in call.ids}
            wait = math.ceil(spec.wait_ms) if self.chance.random() < spec.batch_waits else 0
            headers = b"X-Come-Back-Ms: %d\r\n" % wait if wait else b""
            self.finish(call, ends, 200, headers, wait)

    def end_in_batch(self, spec: Spec) -> str:
        roll = self.chance.random()
        if roll < spec.deferred:
            return "deferred"
        return "fault" if roll < spec.deferred + spec.fault else ACCEPTED

    def end_error(self, call: IncomingCall) -> None:
        self.finish(call, "error", 500)

    def end_refused(self, call: IncomingCall) -> None:
        self.finish(call, "turned away", 503)

    def end_reset(self, call: IncomingCall) -> None:
        self.reply(call.number, call.ids, "reset")
        call.request.connection.reset()

    def end_spoilt(self, call: IncomingCall) -> None:
        self.reply(call.number, call.ids, "spoilt")
        call.request.connection.transport.write(NOISE)

    def end_cut(self, call: IncomingCall) -> None:
        self.reply(call.number, call.ids, "spoilt")
        call.request.connection.transport.write(b"HTTP/1.1 5")
        call.request.connection.transport.close()

    def end_half(self, call: IncomingCall) -> None:
        self.reply(call.number, call.ids, self.by_first_line(call))
        call.request.connection.transport.write(b"HTTP/1.1 200 x\r\n")
        call.request.connection.transport.close()

    def end_endless(self, call: IncomingCall) -> None:
        self.reply(call.number, call.ids, self.by_first_line(call))
        call.request.connection.state = call.number  # it is out until the dispatcher closes its connection
        call.request.connection.transport.write(ENDLESS)

    @staticmethod
    def by_first_line(call: IncomingCall) -> str:
        """What an answer tells of which only a first line with 200 goes out: a batch counts by the whole."""
        return "spoilt" if call.several else ACCEPTED

    def reply(self, call: int, ids: list[str], end: str, wait: int = 0) -> None:
        self.history.add("reply", call=call, ends=dict.fromkeys(ids, end), wait_ms=wait)
