"""Adapter between the bench's wire and `crowpier.logic.Dispatcher`; run as `python -m crowpier.benchlink`.

It only translates: frames into events, actions into frames. No decision is taken here.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from crowpier import interface as api
from crowpier.logic import Dispatcher

HEADER = struct.Struct("<IId")
REPLY = struct.Struct("<II")
CODE = struct.Struct("<H")
ENTRY = struct.Struct("<6sBBHBfd")

UP = struct.Struct("<HQI")
INVENTORY = struct.Struct("<II")
SYNC = struct.Struct("<HIBQ")
ARRIVAL = struct.Struct("<HIHIQddfH")
STARTED = struct.Struct("<HId6sB")
WHISPER = struct.Struct("<HHH")
ATTEMPT_END = struct.Struct("<HIB6sHdBIB")
REMINDER = struct.Struct("<HQ")
STOP = struct.Struct("<H")
HEALTH_RESULT = struct.Struct("<H6sHdB")
TIMED_OUT_CLIENT = struct.Struct("<HI")

SUBMIT_TO = struct.Struct("<HHI6sd")
FAIL = struct.Struct("<HHI")
BOUNCE = struct.Struct("<HHId")
HANG_UP = struct.Struct("<HH6s")
SAMPLE = struct.Struct("<HH6s")
REMIND = struct.Struct("<HHdQ")
SUBSCRIBE = struct.Struct("<HHB")
CANCEL = struct.Struct("<HHIB")
TEXT = struct.Struct("<HHH")

MARK_AGAIN = 2
LIST_KINDS = {1: api.ListKind.FULL, 2: api.ListKind.CACHED, 3: api.ListKind.DELTA, 4: api.ListKind.FAILED}
EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
GROUPS = {
    "all": api.Group.ALL,
    "zone": api.Group.ZONE,
    "cell": api.Group.ALL,
}  # a destination is one cell, and no message leaves its destination


class WireError(Exception):
    """The input is not what the wire allows; the text says what and where."""


def endpoint_name(raw: bytes) -> str:
    """The wire's six bytes as `a.b.c.d:port`."""
    return f"{raw[0]}.{raw[1]}.{raw[2]}.{raw[3]}:{raw[4] | raw[5] << 8}"


def endpoint_bytes(name: str) -> bytes:
    """The reverse of `endpoint_name`."""
    address, port = name.split(":")
    return bytes(int(part) for part in address.split(".")) + int(port).to_bytes(2, "little")


def _get(table: Any, path: str) -> Any:
    """The value under a dotted key; a missing one is named."""
    for part in path.split("."):
        if not isinstance(table, dict) or part not in table:
            raise ValueError(f"settings: {path} is missing")
        table = table[part]
    return table


def _word(table: dict[str, Any], word: object, path: str) -> Any:
    if not isinstance(word, str) or word not in table:
        raise ValueError(f"settings: {path} must be one of {', '.join(table)}, not {word!r}")
    return table[word]


def _typed(value: Any, wanted: type | tuple[type, ...], path: str) -> Any:
    if not isinstance(value, wanted) or (isinstance(value, bool) and wanted is not bool):
        raise ValueError(f"settings: {path} has the nonsensical value {value!r}")
    return value


def message_class(row: dict[str, Any]) -> api.MessageClass:
    """One of the wire's `categories`."""
    return api.MessageClass(
        name=_get(row, "name"),
        aim_ms=_get(row, "aimMs"),
        deadline_ms=_get(row, "hardLimitMs"),
        worth=_get(row, "value"),
        late_worth=_get(row, "lateWorth"),
        effect=_word(EFFECTS, _get(row, "effect"), "categories[].effect"),
        group=_word(GROUPS, row.get("group", "all"), "categories[].group"),
        window_ms=row.get("windowMs", 0.0),
        in_order=bool(row.get("inOrder", False)),
    )


def parse_settings(text: bytes) -> api.Settings:
    """The wire's `options` as settings; unknown keys are ignored."""
    try:
        told = json.loads(text)
    except ValueError as error:
        raise ValueError(f"settings: not readable as JSON ({error})") from None

    def get(path: str, wanted: type | tuple[type, ...] = (int, float)) -> Any:
        return _typed(_get(told, path), wanted, path)

    kinds = get("kinds", list)
    apart, batch = get("familyInfo.kindApart", list), get("familyInfo.batchByKind", list)
    if not apart or not batch:
        raise ValueError("settings: familyInfo.kindApart and familyInfo.batchByKind need a value")
    for values in (apart, batch):  # the last value serves for the rest of the kinds
        values.extend(values[-1:] * (len(kinds) - len(values)))
    return api.Settings(
        classes=tuple(message_class(row) for row in get("categories", list)),
        kinds=tuple(api.Kind(*row) for row in zip(kinds, apart, batch, strict=False)),
        zones=tuple(get("zones", list)),
        tenants=tuple(
            api.Tenant(_get(row, "name"), row.get("share", 1.0), row.get("allowancePerS", 0.0))
            for row in told.get("tenants", [])
        ),
        zone_fees=tuple(told["familyInfo"].get("feeByZone", ())),
        slots=get("familyInfo.workers", int),
        max_held=get("policyLimits.mostHeld", int),
        dispatchers=get("balancers", int),
        index=get("me", int),
        tick_ms=get("quantumMs"),
        max_attempts=get("policyLimits.maxAttempts", int),
        second_copies=get("policyLimits.mayDuplicate", bool),
        may_cancel=get("policyLimits.mayCancel", bool),
        may_probe=get("policyLimits.mayProbe", bool),
        retry_after=get("policyLimits.retryAfter", bool),
        max_retry_after_ms=get("policyLimits.maxRetryAfterMs"),
        connect_timeout_ms=get("policyLimits.connectTimeoutMs"),
        conn_idle_ms=get("policyLimits.connIdleMs"),
        subscribes=get("discovery", str) == "on_request",
        advertised_rates=get("weights", str) != "off",
        worth_halves=get("familyInfo.losesWorth", str) == "halves",
        over_share_worth=told.get("overShareWorth", 1.0),
        answer_slack_ms=get("guarantees.answerSlackMs"),
        drain_grace_ms=get("guarantees.drainGraceMs"),
        order_settle_ms=told["guarantees"].get("orderSettleMs", 0.0),
        cold_from=get("guarantees.coldFrom"),
        warm_within_ms=get("guarantees.warmWithinMs"),
        fall_multiple=get("guarantees.fallMultiple"),
        fall_ms=get("guarantees.fallMs"),
    )


class Link:
    """Decodes batches, hosts one dispatcher for each instance and encodes what they do."""

    def __init__(self) -> None:
        self.dispatchers: dict[int, Dispatcher] = {}
        self.tables: dict[int, tuple[api.Entry, ...]] = {}
        self.names: dict[bytes, str] = {}
        self.raw: dict[str, bytes] = {}
        self.inbox: dict[int, list[api.Event]] = {}
        self.out: list[bytes] = []
        self.now = 0.0
        self.frame = b""
        self.at = 0
        self.readers: dict[int, Callable[[], None]] = {
            1050: self.read_up,
            1060: self.read_inventory,
            1070: self.read_sync,
            1000: self.read_arrival,
            1020: self.read_started,
            1080: self.read_whisper,
            1030: self.read_attempt_end,
            1040: self.read_reminder,
            1090: self.read_stop,
            1010: self.read_health_result,
            1100: self.read_timed_out_client,
        }

    def answer(self, frame: bytes) -> bytes:
        """The reply to one whole frame."""
        length, count, self.now = HEADER.unpack_from(frame)
        self.frame, self.at, self.out, self.inbox = frame, HEADER.size, [], {}
        for _ in range(count):
            (code,) = self.take(CODE)
            reader = self.readers.get(code)
            if reader is None:
                raise WireError(f"unknown event code {code} at byte {self.at - CODE.size}")
            reader()
        if self.at != length:
            raise WireError(f"{length - self.at} bytes left over after {count} records, at byte {self.at}")
        for instance in list(self.inbox):
            self.act(instance)
        body = b"".join(self.out)
        return REPLY.pack(REPLY.size + len(body), len(self.out)) + body

    def act(self, instance: int) -> None:
        """Hand an instance its events and encode its actions."""
        events = self.inbox.pop(instance, [])
        dispatcher = self.dispatchers.get(instance)
        if dispatcher is None:
            return
        try:
            actions = dispatcher.handle(self.now, events)
        except Exception as error:  # whatever went wrong in the decisions ends the day with its text
            self.fault(instance, error)
            return
        for action in actions:
            if not isinstance(action, api.RecordColdState):  # what dies here leaves nothing behind
                self.out.append(self.encode(instance, action))

    def fault(self, instance: int, error: Exception) -> None:
        text = f"{type(error).__name__}: {error}".encode()[:500]
        self.out.append(TEXT.pack(1010, instance, len(text)) + text)

    def take(self, shape: struct.Struct) -> tuple[Any, ...]:
        return shape.unpack(self.take_bytes(shape.size))

    def take_bytes(self, size: int) -> bytes:
        end = self.at + size
        if end > len(self.frame):
            raise WireError(f"record cut off: {size} bytes wanted at byte {self.at} of {len(self.frame)}")
        start, self.at = self.at, end
        return self.frame[start:end]

    def name(self, raw: bytes) -> str:
        known = self.names.get(raw)
        if known is None:
            known = self.names[raw] = endpoint_name(raw)
            self.raw[known] = raw
        return known

    def note(self, instance: int, event: api.Event) -> None:
        self.inbox.setdefault(instance, []).append(event)

    def code(self, table: Any, value: int, what: str) -> Any:
        try:
            return table[value] if isinstance(table, dict) else table(value)
        except (KeyError, ValueError):
            raise WireError(f"unknown {what} {value} before byte {self.at}") from None

    def read_up(self) -> None:
        instance, seed, size = self.take(UP)
        text = self.take_bytes(size)
        self.inbox.pop(instance, None)
        try:
            self.dispatchers[instance] = Dispatcher(parse_settings(text), seed)
        except (ValueError, TypeError, AttributeError) as error:
            raise WireError(f"{error} (instance {instance}, before byte {self.at})") from None

    def read_inventory(self) -> None:
        number, count = self.take(INVENTORY)
        rows = ENTRY.iter_unpack(self.take_bytes(count * ENTRY.size))
        self.tables[number] = tuple(
            api.Entry(self.name(raw), owner, kind, zone, self.code(api.State, phase, "phase"), rate)
            for raw, zone, kind, owner, phase, rate, _since in rows
        )

    def read_sync(self) -> None:
        instance, number, mode, version = self.take(SYNC)
        kind = self.code(LIST_KINDS, mode, "list mode")
        entries: tuple[api.Entry, ...] = ()
        if kind is not api.ListKind.FAILED:
            entries = self.code(self.tables, number, "inventory")
        self.note(instance, api.EndpointListReceived(kind, version, entries))

    def read_arrival(self) -> None:
        instance, message, cls, tenant, key, left, _hint, destination, marks = self.take(ARRIVAL)
        self.note(
            instance,
            api.MessageAccepted(message, cls, int(destination), left, tenant, key, bool(marks & MARK_AGAIN)),
        )

    def read_started(self) -> None:
        self.take(STARTED)

    def read_whisper(self) -> None:
        self.take_bytes(self.take(WHISPER)[-1])

    def read_attempt_end(self) -> None:
        instance, message, attempt, raw, verdict, took, finished, note, load = self.take(ATTEMPT_END)
        self.take_bytes(4 * load)
        outcome = self.code(api.Outcome, verdict, "verdict")
        wait = float(note) if outcome is api.Outcome.FULL else 0.0
        self.note(
            instance, api.AttemptEnded(message, attempt, self.name(raw), outcome, took, bool(finished), wait)
        )

    def read_reminder(self) -> None:
        instance, token = self.take(REMINDER)
        self.note(instance, api.TimerFired(token))

    def read_stop(self) -> None:
        (instance,) = self.take(STOP)
        self.inbox.pop(instance, None)
        self.dispatchers.pop(instance, None)

    def read_health_result(self) -> None:
        instance, raw, verdict, took, load = self.take(HEALTH_RESULT)
        self.take_bytes(4 * load)
        self.note(instance, api.ProbeEnded(self.name(raw), self.code(api.Outcome, verdict, "verdict"), took))

    def read_timed_out_client(self) -> None:
        instance, message = self.take(TIMED_OUT_CLIENT)
        self.note(instance, api.Withdrawn(message))

    def encode(self, instance: int, action: api.Action) -> bytes:
        """One action as a record of the wire."""
        match action:
            case api.Send(message, endpoint, stop_at):
                return SUBMIT_TO.pack(1040, instance, message, self.raw[endpoint], stop_at)
            case api.SetTimer(in_ms, token):
                return REMIND.pack(1030, instance, in_ms, token)
            case api.Cancel(message, attempt):
                return CANCEL.pack(1060, instance, message, attempt)
            case api.Fail(message):
                return FAIL.pack(1070, instance, message)
            case api.Refuse(message, stay_away):
                return BOUNCE.pack(1050, instance, message, stay_away)
            case api.Probe(endpoint):
                return SAMPLE.pack(1020, instance, self.raw[endpoint])
            case api.CloseIdleConnections(endpoint):
                return HANG_UP.pack(1100, instance, self.raw[endpoint])
            case api.Subscribe():
                return SUBSCRIBE.pack(1000, instance, 1)
            case api.Log(text):
                data = text.encode()[:200]
                return TEXT.pack(1080, instance, len(data)) + data
        raise TypeError(f"not an action: {action!r}")


def read_frame(stream: BinaryIO) -> bytes | None:
    """The next whole frame, or None at the end of the input."""
    head = stream.read(4)
    if not head:
        return None
    length = int.from_bytes(head, "little")
    if len(head) < 4 or length < HEADER.size:
        raise WireError(f"bad frame length {length}, a header alone takes {HEADER.size} bytes")
    frame = head + stream.read(length - 4)
    if len(frame) < length:
        raise WireError(f"frame cut off after {len(frame)} of {length} bytes")
    return frame


def main(source: BinaryIO, sink: BinaryIO) -> int:
    """Serve the wire until the input ends; 2 if it is malformed."""
    link = Link()
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(link.answer(frame))
            sink.flush()
    except WireError as error:
        print(f"crowpier.benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
