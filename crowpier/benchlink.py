"""Adapter between the simulator's wire protocol and `crowpier.logic.Dispatcher`.

Run as `python -m crowpier.benchlink`. It only translates frames into events and actions into frames. Record
layouts, codes and the JSON keys of the settings are the simulator's.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from crowpier import interface as api
from crowpier.logic import Dispatcher

# Frames
HEADER = struct.Struct("<IId")
REPLY = struct.Struct("<II")
CODE = struct.Struct("<H")
ENTRY = struct.Struct("<6sBBHBfd")

# Events
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

# Actions
SUBMIT_TO = struct.Struct("<HHI6sd")
FAIL = struct.Struct("<HHI")
BOUNCE = struct.Struct("<HHId")
HANG_UP = struct.Struct("<HH6s")
SAMPLE = struct.Struct("<HH6s")
REMIND = struct.Struct("<HHdQ")
SUBSCRIBE = struct.Struct("<HHB")
CANCEL = struct.Struct("<HHIB")
TEXT = struct.Struct("<HHH")

MARK_REPEAT = 2
LIST_KINDS = {1: api.ListKind.FULL, 2: api.ListKind.CACHED, 3: api.ListKind.DELTA, 4: api.ListKind.FAILED}
EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
GROUPS = {
    "all": api.Group.ALL,
    "zone": api.Group.ZONE,
    "cell": api.Group.ALL,
}  # a destination is one cell, and a message never leaves its destination


class WireError(Exception):
    """Malformed input; the text says what and at which byte."""


def endpoint_name(raw: bytes) -> str:
    """The wire's six address bytes as `a.b.c.d:port`."""
    return f"{raw[0]}.{raw[1]}.{raw[2]}.{raw[3]}:{raw[4] | raw[5] << 8}"


def endpoint_bytes(name: str) -> bytes:
    """The reverse of `endpoint_name`."""
    address, port = name.split(":")
    return bytes(int(part) for part in address.split(".")) + int(port).to_bytes(2, "little")


def _get(table: Any, path: str) -> Any:
    """The value under a dotted key; a `ValueError` names a missing one."""
    for part in path.split("."):
        if not isinstance(table, dict) or part not in table:
            raise ValueError(f"settings: {path} is missing")
        table = table[part]
    return table


def _choice(table: dict[str, Any], word: object, path: str) -> Any:
    if not isinstance(word, str) or word not in table:
        raise ValueError(f"settings: {path} must be one of {', '.join(table)}, not {word!r}")
    return table[word]


def _typed(value: Any, wanted: type | tuple[type, ...], path: str) -> Any:
    if not isinstance(value, wanted) or (isinstance(value, bool) and wanted is not bool):
        raise ValueError(f"settings: {path} has the wrong type: {value!r}")
    return value


def message_class(row: dict[str, Any]) -> api.MessageClass:
    """One of the wire's `categories`."""
    return api.MessageClass(
        name=_get(row, "name"),
        aim_ms=_get(row, "aimMs"),
        deadline_ms=_get(row, "hardLimitMs"),
        worth=_get(row, "value"),
        late_worth=_get(row, "lateWorth"),
        effect=_choice(EFFECTS, _get(row, "effect"), "categories[].effect"),
        group=_choice(GROUPS, row.get("group", "all"), "categories[].group"),
        window_ms=row.get("windowMs", 0.0),
        in_order=bool(row.get("inOrder", False)),
    )


def parse_settings(text: bytes) -> api.Settings:
    """Settings from the wire's `options`; unknown keys are ignored. `ValueError` names a wrong key."""
    try:
        options = json.loads(text)
    except ValueError as error:
        raise ValueError(f"settings: not readable as JSON ({error})") from None

    def get(path: str, wanted: type | tuple[type, ...] = (int, float)) -> Any:
        return _typed(_get(options, path), wanted, path)

    kinds = get("kinds", list)
    separate, batch = get("familyInfo.kindApart", list), get("familyInfo.batchByKind", list)
    if not separate or not batch:
        raise ValueError("settings: familyInfo.kindApart and familyInfo.batchByKind must not be empty")
    for values in (separate, batch):  # the last value applies to all further kinds
        values.extend(values[-1:] * (len(kinds) - len(values)))
    return api.Settings(
        classes=tuple(message_class(row) for row in get("categories", list)),
        kinds=tuple(api.Kind(*row) for row in zip(kinds, separate, batch, strict=False)),
        zones=tuple(get("zones", list)),
        tenants=tuple(
            api.Tenant(_get(row, "name"), row.get("share", 1.0), row.get("allowancePerS", 0.0))
            for row in options.get("tenants", [])
        ),
        zone_fees=tuple(options["familyInfo"].get("feeByZone", ())),
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
        over_share_worth=options.get("overShareWorth", 1.0),
        answer_slack_ms=get("guarantees.answerSlackMs"),
        drain_grace_ms=get("guarantees.drainGraceMs"),
        order_settle_ms=options["guarantees"].get("orderSettleMs", 0.0),
        cold_from=get("guarantees.coldFrom"),
        warm_within_ms=get("guarantees.warmWithinMs"),
        fall_multiple=get("guarantees.fallMultiple"),
        fall_ms=get("guarantees.fallMs"),
    )


class Link:
    """Decodes frames, hosts one dispatcher per simulated instance and encodes their actions."""

    def __init__(self) -> None:
        self.dispatchers: dict[int, Dispatcher] = {}
        self.inventories: dict[int, tuple[api.Entry, ...]] = {}
        self.id_of: dict[bytes, str] = {}
        self.address_of: dict[str, bytes] = {}
        self.inbox: dict[int, list[api.Event]] = {}
        self.records: list[bytes] = []
        self.now = 0.0
        self.frame = b""
        self.offset = 0
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

    def handle_frame(self, frame: bytes) -> bytes:
        """Handles one complete frame and returns the reply."""
        length, count, self.now = HEADER.unpack_from(frame)
        self.frame, self.offset, self.records, self.inbox = frame, HEADER.size, [], {}
        for _ in range(count):
            (code,) = self.unpack(CODE)
            reader = self.readers.get(code)
            if reader is None:
                raise WireError(f"unknown event code {code} at byte {self.offset - CODE.size}")
            reader()
        if self.offset != length:
            raise WireError(
                f"{length - self.offset} bytes left over after {count} records, at byte {self.offset}"
            )
        for instance in list(self.inbox):
            self.run_instance(instance)
        body = b"".join(self.records)
        return REPLY.pack(REPLY.size + len(body), len(self.records)) + body

    def run_instance(self, instance: int) -> None:
        """Passes an instance its events and encodes its actions."""
        events = self.inbox.pop(instance, [])
        dispatcher = self.dispatchers.get(instance)
        if dispatcher is None:
            return
        try:
            actions = dispatcher.handle(self.now, events)
        except Exception as error:  # any fault in the decisions is reported to the simulator
            self.report_fault(instance, error)
            return
        for action in actions:
            # Nothing persists across simulated restarts, and nobody reads the log.
            if not isinstance(action, (api.RecordColdState, api.HealthChanged)):
                self.records.append(self.encode(instance, action))

    def report_fault(self, instance: int, error: Exception) -> None:
        text = f"{type(error).__name__}: {error}".encode()[:500]
        self.records.append(TEXT.pack(1010, instance, len(text)) + text)

    def unpack(self, shape: struct.Struct) -> tuple[Any, ...]:
        return shape.unpack(self.read_bytes(shape.size))

    def read_bytes(self, size: int) -> bytes:
        end = self.offset + size
        if end > len(self.frame):
            raise WireError(f"record cut off: {size} bytes wanted at byte {self.offset} of {len(self.frame)}")
        start, self.offset = self.offset, end
        return self.frame[start:end]

    def endpoint_id(self, raw: bytes) -> str:
        known = self.id_of.get(raw)
        if known is None:
            known = self.id_of[raw] = endpoint_name(raw)
            self.address_of[known] = raw
        return known

    def enqueue(self, instance: int, event: api.Event) -> None:
        self.inbox.setdefault(instance, []).append(event)

    def lookup(self, table: Any, value: int, what: str) -> Any:
        try:
            return table[value] if isinstance(table, dict) else table(value)
        except (KeyError, ValueError):
            raise WireError(f"unknown {what} {value} before byte {self.offset}") from None

    def read_up(self) -> None:
        instance, seed, size = self.unpack(UP)
        text = self.read_bytes(size)
        self.inbox.pop(instance, None)
        try:
            self.dispatchers[instance] = Dispatcher(parse_settings(text), seed)
        except (ValueError, TypeError, AttributeError) as error:
            raise WireError(f"{error} (instance {instance}, before byte {self.offset})") from None

    def read_inventory(self) -> None:
        number, count = self.unpack(INVENTORY)
        rows = ENTRY.iter_unpack(self.read_bytes(count * ENTRY.size))
        self.inventories[number] = tuple(
            api.Entry(self.endpoint_id(raw), owner, kind, zone, self.lookup(api.State, phase, "phase"), rate)
            for raw, zone, kind, owner, phase, rate, _since in rows
        )

    def read_sync(self) -> None:
        instance, number, mode, version = self.unpack(SYNC)
        kind = self.lookup(LIST_KINDS, mode, "list mode")
        entries: tuple[api.Entry, ...] = ()
        if kind is not api.ListKind.FAILED:
            entries = self.lookup(self.inventories, number, "inventory")
        self.enqueue(instance, api.EndpointListReceived(kind, version, entries))

    def read_arrival(self) -> None:
        instance, message, cls, tenant, key, left, _hint, destination, marks = self.unpack(ARRIVAL)
        self.enqueue(
            instance,
            api.MessageAccepted(message, cls, int(destination), left, tenant, key, bool(marks & MARK_REPEAT)),
        )

    def read_started(self) -> None:
        self.unpack(STARTED)

    def read_whisper(self) -> None:
        self.read_bytes(self.unpack(WHISPER)[-1])

    def read_attempt_end(self) -> None:
        instance, message, attempt, raw, verdict, took, finished, note, load = self.unpack(ATTEMPT_END)
        self.read_bytes(4 * load)
        outcome = self.lookup(api.Outcome, verdict, "verdict")
        wait = float(note) if outcome is api.Outcome.FULL else 0.0
        self.enqueue(
            instance,
            api.AttemptEnded(message, attempt, self.endpoint_id(raw), outcome, took, bool(finished), wait),
        )

    def read_reminder(self) -> None:
        instance, token = self.unpack(REMINDER)
        self.enqueue(instance, api.TimerFired(token))

    def read_stop(self) -> None:
        (instance,) = self.unpack(STOP)
        self.inbox.pop(instance, None)
        self.dispatchers.pop(instance, None)

    def read_health_result(self) -> None:
        instance, raw, verdict, took, load = self.unpack(HEALTH_RESULT)
        self.read_bytes(4 * load)
        self.enqueue(
            instance,
            api.ProbeEnded(self.endpoint_id(raw), self.lookup(api.Outcome, verdict, "verdict"), took),
        )

    def read_timed_out_client(self) -> None:
        instance, message = self.unpack(TIMED_OUT_CLIENT)
        self.enqueue(instance, api.Withdrawn(message))

    def encode(self, instance: int, action: api.Action) -> bytes:
        """One action as a wire record."""
        match action:
            case api.Send(message, endpoint, stop_at):
                return SUBMIT_TO.pack(1040, instance, message, self.address_of[endpoint], stop_at)
            case api.SetTimer(in_ms, token):
                return REMIND.pack(1030, instance, in_ms, token)
            case api.Cancel(message, attempt):
                return CANCEL.pack(1060, instance, message, attempt)
            case api.Fail(message):
                return FAIL.pack(1070, instance, message)
            case api.Refuse(message, stay_away):
                return BOUNCE.pack(1050, instance, message, stay_away)
            case api.Probe(endpoint):
                return SAMPLE.pack(1020, instance, self.address_of[endpoint])
            case api.CloseIdleConnections(endpoint):
                return HANG_UP.pack(1100, instance, self.address_of[endpoint])
            case api.Subscribe():
                return SUBSCRIBE.pack(1000, instance, 1)
            case api.Log(text):
                data = text.encode()[:200]
                return TEXT.pack(1080, instance, len(data)) + data
        raise TypeError(f"not an action: {action!r}")


def read_frame(stream: BinaryIO) -> bytes | None:
    """The next complete frame, or None at the end of the input."""
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
    """Serves frames until the input ends. Returns 0, or 2 if the input is malformed."""
    link = Link()
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(link.handle_frame(frame))
            sink.flush()
    except WireError as error:
        print(f"crowpier.benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
