"""The RESP2 server: PING, OUT.ADD and their answers, and a plain error for bad input."""

from __future__ import annotations

import re

import hiredis

from rushhitch.acceptor import MAX_BODY_BYTES, MAX_ID_BYTES, BadRequest, Pending, Reply, Submission
from rushhitch.fronts.client_connection import (
    MAX_REQUEST_BYTES,
    ClientConnection,
    ConnectionOwner,
    ErrorReason,
    ResponseSlot,
)

PONG = b"+PONG\r\n"
REFUSED = Reply("refused")
NOTHING = object()  # what the reader gives while no request is complete
MOST_LINE = 16  # bytes of a line that tells a length
MOST_KEY = 32  # digits of a key of order
IDEMPOTENCY = re.compile(rb"[!-~]{0,%d}" % MAX_ID_BYTES)
BURST = 32  # requests of one connection that are served, or without their answers, at once
REST_S = 0.005  # before the further ones
TURNED_AWAY_S = 0.1  # before anything more is read of one that was turned away


def error_line(text: str) -> bytes:
    return b"-ERR %s\r\n" % " ".join(text.split()).encode("ascii", "replace")


def answer_line(reply: Reply) -> bytes:
    """What became of an OUT.ADD, on the wire."""
    if reply.status == "taken":
        return b"+OK\r\n"
    if reply.status == "refused":
        return b"-BUSY %d\r\n" % reply.wait_ms if reply.wait_ms >= 1 else b"-BUSY\r\n"
    return error_line("the message cannot be delivered")


def number(text: str, name: str) -> int:
    if not (text.isascii() and text.isdecimal()) or len(text) > 15:
        raise BadRequest(f"{name} must be a whole number, not {text[:40]!r}")
    return int(text)


def parse_offer(words: list[bytes]) -> Submission:
    """The words of an OUT.ADD."""
    if len(words) != 5:
        raise BadRequest(f"OUT.ADD takes key, id, fields and body, not {len(words) - 1} words")
    _, key, name, fields, body = words
    if not 0 < len(name) <= MAX_ID_BYTES or not all(33 <= byte < 127 for byte in name):
        raise BadRequest(f"the id must be 1 to {MAX_ID_BYTES} printable characters without spaces")
    if len(body) > MAX_BODY_BYTES:
        raise BadRequest(f"the body has {len(body)} bytes, more than {MAX_BODY_BYTES}")
    if not re.fullmatch(rb"[0-9a-fA-F]{1,%d}" % MOST_KEY, key):
        raise BadRequest(f"the key must be hexadecimal, not {key[:40]!r}")
    told = dict(pair.partition("=")[::2] for pair in fields.decode("latin-1").split(","))
    for wanted in ("c", "d", "dest"):
        if wanted not in told:
            raise BadRequest(f"the field {wanted} is missing")
    idempotency = told.get("k", "").encode("latin-1")
    if not IDEMPOTENCY.fullmatch(idempotency):
        raise BadRequest(f"k must be up to {MAX_ID_BYTES} printable characters without spaces")
    return Submission(
        name,
        told["c"],
        number(told["dest"], "dest"),
        float(number(told["d"], "d")),
        body,
        int(key, 16),
        told.get("r") == "1",
        tenant=told.get("t", ""),
        idempotency=idempotency,
    )


class Framing:
    """Follows the input ahead of hiredis, which on `*2000000000` makes room for so many words before one has
    come, and takes six seconds to give it back."""

    COUNT, LENGTH, END = (re.compile(line) for line in (rb"\*([1-9]\d?)\r\n", rb"\$(\d{1,6})\r\n", rb"\r\n"))

    def __init__(self) -> None:
        self.expected, self.line = self.COUNT, b""
        self.words = self.skip = 0  # words of the request and bytes of the word that are yet to come
        self.size = 0  # bytes of the request so far
        self.wrong = ""  # why nothing further can be read

    def follow(self, data: bytes) -> int:
        """How many bytes of the data can be read; fewer than all if `wrong` says why."""
        at = 0
        while at < len(data) and not self.wrong:
            if self.skip:
                step = min(self.skip, len(data) - at)
                self.skip -= step
            else:
                end = data.find(b"\n", at, at + MOST_LINE)
                step = (end + 1 if end >= 0 else min(len(data), at + MOST_LINE)) - at
                self.line += data[at : at + step]
                if end >= 0 or len(self.line) >= MOST_LINE:
                    self.read(self.line)
                    self.line = b""
                if self.wrong:
                    break
            at += step
            self.size = self.size + step if self.words or self.expected is not self.COUNT or self.line else 0
        return at

    def read(self, line: bytes) -> None:
        told = self.expected.fullmatch(line)
        if not told:
            self.wrong = f"Protocol error: expected an array of bulk strings, not {line!r}"
        elif self.expected is self.COUNT:
            self.words, self.expected = int(told[1]), self.LENGTH
        elif self.expected is self.LENGTH:
            self.words, self.skip, self.expected = self.words - 1, int(told[1]), self.END
            if self.size + self.skip > MAX_REQUEST_BYTES:
                self.wrong = f"a request of more than {MAX_REQUEST_BYTES} bytes"
        else:
            self.expected = self.LENGTH if self.words else self.COUNT


class Resp2Connection(ClientConnection):
    """One client connection; answers go out in the order of the requests."""

    name = "resp2"

    def __init__(self, server: ConnectionOwner) -> None:
        super().__init__(server)
        self.framing, self.reader = Framing(), hiredis.Reader(notEnoughData=NOTHING)
        self.tail = bytearray()  # of the input: the request that has not come whole

    def error(self, text: str, fault: ErrorReason) -> bytes:
        return self.refusal() if fault is ErrorReason.LEAVING else error_line(text)

    def refusal(self) -> bytes:
        return answer_line(REFUSED)

    def data_received(self, data: bytes) -> None:
        if self.ignores_input or self.input_closed:
            return
        self.mark_received()
        self.reader.feed(data[: self.framing.follow(data)])
        self.tail += data
        del self.tail[: len(self.tail) - self.framing.size]
        if not self.set_incomplete_size(self.framing.size):
            self.framing.wrong = self.framing.wrong or "too many requests are half sent"
        if self.resting is None:
            self.serve()

    def transferable_input(self) -> bytes | None:
        if (
            self.slots
            or self.resting
            or self.ignores_input
            or self.write_paused
            or self.draining
            or self.input_closed
        ):
            return None
        return bytes(self.tail)

    def serve(self) -> None:
        """Take the requests that have come; guards against one connection that holds up all others. The
        connection is not closed between two requests of which both were read."""
        self.resting = None
        self.serving = True
        try:
            rest_s = self.serve_burst()
        finally:
            self.serving = False
        if rest_s:
            self.rest(rest_s)
            return
        if self.framing.wrong and not self.ignores_input:
            self.refuse(self.framing.wrong, ErrorReason.BAD)
        self.update_reading()
        if self.draining:
            self.close_if_idle()

    def serve_burst(self) -> float:
        """Take some requests; for how many seconds nothing more is served, 0 where no whole one is left."""
        for _ in range(BURST):
            if len(self.slots) >= BURST:
                break
            if (words := self.next_request()) is NOTHING:
                return 0.0
            if not self.request(words):
                return TURNED_AWAY_S
        return REST_S

    def next_request(self) -> list[bytes] | object:
        """The words of the next whole request, or `NOTHING`."""
        try:
            return self.reader.gets()
        except hiredis.HiredisError as error:
            self.framing.wrong = f"Protocol error: {error}"
            return NOTHING

    def answer_unserved(self) -> None:
        """What was read whole while the connection rested is refused: nobody may be there to hear more."""
        if self.resting is None:
            return
        self.resting.cancel()
        self.resting = None
        while (words := self.next_request()) is not NOTHING:
            slot = ResponseSlot()
            self.slots.append(slot)
            asked = words[0].upper() == b"PING"
            self.reply(slot, PONG if asked else self.refusal())

    def rest(self, seconds: float) -> None:
        self.resting = self.loop.call_later(seconds, self.serve)
        self.update_reading()

    def answer(self, slot: ResponseSlot, reply: Reply) -> bool:
        """What became of an offer; False where an acceptance did not reach the system whole, in this step."""
        if reply.status == "taken":
            if self.reachable(slot):
                return self.reply_now(slot, answer_line(reply))
            if slot.handles:  # its client has gone since the core looked
                self.reply(slot, self.refusal())
                return False
        return self.reply(slot, answer_line(reply))  # also of a message that was accepted before, once

    def request(self, words: list[bytes]) -> bool:
        """Whether the request makes sense."""
        slot = ResponseSlot()
        self.slots.append(slot)
        command = words[0].upper()
        try:
            if command == b"PING" and len(words) == 1:
                self.reply(slot, PONG)
            elif command == b"OUT.ADD":
                handle = self.acceptor.offer(
                    parse_offer(words),
                    lambda reply: self.answer(slot, reply),
                    reachable=lambda: self.reachable(slot),
                    check_client=self.check_client,
                )
                if slot.accepted and handle:  # a message that was accepted before
                    self.receipts.accepted(handle, self.loop.time())
                    self.schedule_receipt_check()
                elif not slot.answer:
                    slot.handles.append(handle)
            else:
                raise BadRequest(f"unknown command or wrong number of words: {words[0][:40]!r}")
        except Pending:
            self.reply(slot, self.refusal())
        except BadRequest as error:
            self.reply(slot, error_line(str(error)))
            return False
        self.asked = True
        return True
