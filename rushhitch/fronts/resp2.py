"""The RESP2 front: PING and OUT.ADD, with an error for any other input."""

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
INCOMPLETE = object()  # returned by the reader while no request is complete
MAX_LENGTH_LINE_BYTES = 16
MAX_KEY_DIGITS = 32  # of an ordering key
IDEMPOTENCY_KEY = re.compile(rb"[!-~]{0,%d}" % MAX_ID_BYTES)
MAX_BURST = 32  # requests of one connection served in a row, or open at a time
BURST_PAUSE_S = 0.005  # after a burst, so that other connections are served
ERROR_PAUSE_S = 0.1  # after an invalid request, before the connection is read again


def error_line(text: str) -> bytes:
    return b"-ERR %s\r\n" % " ".join(text.split()).encode("ascii", "replace")


def answer_line(reply: Reply) -> bytes:
    """The answer to an OUT.ADD on the wire."""
    if reply.status == "taken":
        return b"+OK\r\n"
    if reply.status == "refused":
        return b"-BUSY %d\r\n" % reply.wait_ms if reply.wait_ms >= 1 else b"-BUSY\r\n"
    return error_line("the message cannot be delivered")


def parse_number(text: str, name: str) -> int:
    if not (text.isascii() and text.isdecimal()) or len(text) > 15:
        raise BadRequest(f"{name} must be a whole number, not {text[:40]!r}")
    return int(text)


def parse_submission(words: list[bytes]) -> Submission:
    """Parse the words of an OUT.ADD. Raises `BadRequest` with a text for the client."""
    if len(words) != 5:
        raise BadRequest(f"OUT.ADD takes key, id, fields and body, not {len(words) - 1} words")
    _, key, name, fields, body = words
    if not 0 < len(name) <= MAX_ID_BYTES or not all(33 <= byte < 127 for byte in name):
        raise BadRequest(f"the id must be 1 to {MAX_ID_BYTES} printable characters without spaces")
    if len(body) > MAX_BODY_BYTES:
        raise BadRequest(f"the body has {len(body)} bytes, more than {MAX_BODY_BYTES}")
    if not re.fullmatch(rb"[0-9a-fA-F]{1,%d}" % MAX_KEY_DIGITS, key):
        raise BadRequest(f"the key must be hexadecimal, not {key[:40]!r}")
    found = dict(pair.partition("=")[::2] for pair in fields.decode("latin-1").split(","))
    for required in ("c", "d", "dest"):
        if required not in found:
            raise BadRequest(f"the field {required} is missing")
    idempotency = found.get("k", "").encode("latin-1")
    if not IDEMPOTENCY_KEY.fullmatch(idempotency):
        raise BadRequest(f"k must be up to {MAX_ID_BYTES} printable characters without spaces")
    return Submission(
        name,
        found["c"],
        parse_number(found["dest"], "dest"),
        float(parse_number(found["d"], "d")),
        body,
        int(key, 16),
        found.get("r") == "1",
        tenant=found.get("t", ""),
        idempotency=idempotency,
    )


class Framing:
    """Validates array and string lengths before hiredis reads them: on `*2000000000` hiredis allocates so
    many words at once, and needs six seconds to free them."""

    COUNT, LENGTH, END = (re.compile(line) for line in (rb"\*([1-9]\d?)\r\n", rb"\$(\d{1,6})\r\n", rb"\r\n"))

    def __init__(self) -> None:
        self.expected, self.line = self.COUNT, b""
        self.words_left = self.skip_bytes = 0  # still to come of the request and of the word
        self.size = 0  # bytes received of the request
        self.error = ""  # why no further input can be read

    def accept_bytes(self, data: bytes) -> int:
        """How many bytes of the data may be fed to hiredis; fewer than all if `error` is set."""
        at = 0
        while at < len(data) and not self.error:
            if self.skip_bytes:
                step = min(self.skip_bytes, len(data) - at)
                self.skip_bytes -= step
            else:
                end = data.find(b"\n", at, at + MAX_LENGTH_LINE_BYTES)
                step = (end + 1 if end >= 0 else min(len(data), at + MAX_LENGTH_LINE_BYTES)) - at
                self.line += data[at : at + step]
                if end >= 0 or len(self.line) >= MAX_LENGTH_LINE_BYTES:
                    self.read(self.line)
                    self.line = b""
                if self.error:
                    break
            at += step
            self.size = (
                self.size + step if self.words_left or self.expected is not self.COUNT or self.line else 0
            )
        return at

    def read(self, line: bytes) -> None:
        found = self.expected.fullmatch(line)
        if not found:
            self.error = f"Protocol error: expected an array of bulk strings, not {line!r}"
        elif self.expected is self.COUNT:
            self.words_left, self.expected = int(found[1]), self.LENGTH
        elif self.expected is self.LENGTH:
            self.words_left, self.skip_bytes, self.expected = self.words_left - 1, int(found[1]), self.END
            if self.size + self.skip_bytes > MAX_REQUEST_BYTES:
                self.error = f"a request of more than {MAX_REQUEST_BYTES} bytes"
        else:
            self.expected = self.LENGTH if self.words_left else self.COUNT


class Resp2Connection(ClientConnection):
    """A client connection that speaks RESP2, with pipelining."""

    name = "resp2"

    def __init__(self, server: ConnectionOwner) -> None:
        super().__init__(server)
        self.framing, self.reader = Framing(), hiredis.Reader(notEnoughData=INCOMPLETE)
        self.tail = bytearray()  # the request received in part

    def error(self, text: str, reason: ErrorReason) -> bytes:
        return self.refusal() if reason is ErrorReason.SHUTDOWN else error_line(text)

    def refusal(self) -> bytes:
        return answer_line(REFUSED)

    def data_received(self, data: bytes) -> None:
        if self.ignores_input or self.input_closed:
            return
        self.mark_received()
        self.reader.feed(data[: self.framing.accept_bytes(data)])
        self.tail += data
        del self.tail[: len(self.tail) - self.framing.size]
        if not self.set_incomplete_size(self.framing.size):
            self.framing.error = self.framing.error or "too many requests are half sent"
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
        """Serve the requests received, in bursts so that one connection cannot starve the others. While
        `serving` is set the connection does not count as idle, so it is not closed between two of them."""
        self.resting = None
        self.serving = True
        try:
            rest_s = self.serve_burst()
        finally:
            self.serving = False
        if rest_s:
            self.pause(rest_s)
            return
        if self.framing.error and not self.ignores_input:
            self.refuse(self.framing.error, ErrorReason.MALFORMED)
        self.update_reading()
        if self.draining:
            self.close_if_idle()

    def serve_burst(self) -> float:
        """Serve up to `MAX_BURST` requests; returns the pause in seconds, 0 if no complete one is left."""
        for _ in range(MAX_BURST):
            if len(self.slots) >= MAX_BURST:
                break
            if (words := self.next_request()) is INCOMPLETE:
                return 0.0
            if not self.serve_request(words):
                return ERROR_PAUSE_S
        return BURST_PAUSE_S

    def next_request(self) -> list[bytes] | object:
        """The words of the next complete request, or `INCOMPLETE`."""
        try:
            return self.reader.gets()
        except hiredis.HiredisError as error:
            self.framing.error = f"Protocol error: {error}"
            return INCOMPLETE

    def answer_unserved(self) -> None:
        """Refuse complete requests read during a pause, since the client may be gone."""
        if self.resting is None:
            return
        self.resting.cancel()
        self.resting = None
        while (words := self.next_request()) is not INCOMPLETE:
            slot = ResponseSlot()
            self.slots.append(slot)
            is_ping = words[0].upper() == b"PING"
            self.reply(slot, PONG if is_ping else self.refusal())

    def pause(self, seconds: float) -> None:
        self.resting = self.loop.call_later(seconds, self.serve)
        self.update_reading()

    def answer(self, slot: ResponseSlot, reply: Reply) -> bool:
        """Answer a submission. Returns False if an acceptance did not reach the kernel whole."""
        if reply.status == "taken":
            if self.reachable(slot):
                return self.reply_now(slot, answer_line(reply))
            if slot.handles:  # the client has gone since the core checked
                self.reply(slot, self.refusal())
                return False
        return self.reply(slot, answer_line(reply))  # also a repeat of an accepted message

    def serve_request(self, words: list[bytes]) -> bool:
        """Serve one request. Returns whether it was valid."""
        slot = ResponseSlot()
        self.slots.append(slot)
        command = words[0].upper()
        try:
            if command == b"PING" and len(words) == 1:
                self.reply(slot, PONG)
            elif command == b"OUT.ADD":
                handle = self.acceptor.offer(
                    parse_submission(words),
                    lambda reply: self.answer(slot, reply),
                    reachable=lambda: self.reachable(slot),
                    check_client=self.check_client,
                )
                if slot.accepted and handle:  # a repeat of an accepted message
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
