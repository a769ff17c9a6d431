"""The program with another customer's settings: a message keeps its idempotency key and its tenant."""

import asyncio
import json

import pytest
from doubles import WORTH, Program, run, run_with_program
from test_benchlink import TOLD

from crowpier import Dispatcher
from crowpier.benchlink import parse_settings
from crowpier.interface import MessageAccepted
from rushhitch.acceptor import BadRequest, Submission
from rushhitch.core.node import Node
from rushhitch.core.resumption import resume
from rushhitch.journal import Journal, JournalEntry
from rushhitch.journal import format as form

BERTH = {"name": "berth", "effect": "by_key", "group": "zone", "windowMs": 900.0} | WORTH
BERTH |= {"aimMs": 350.0, "hardLimitMs": 6000.0}
TENANTS = [
    {"name": "consorzio", "share": 0.5, "allowancePerS": 1.0},
    {"name": "comune", "share": 0.5, "allowancePerS": 1.0},
]
FIELDS = b"c=berth,t=comune,d=5000,k=f59ace57a939f76f,dest=7"


class Customer(Program):
    def config(self):
        config = super().config()
        config["settings"] |= {"categories": [BERTH], "tenants": TENANTS}
        return config


def with_customer(folder, batch=1):
    return run_with_program(Customer(folder, batch))


def test_idempotency_key_is_forwarded_unchanged(tmp_path):
    # Without the key the endpoint cannot detect a duplicate, and a retry runs twice.
    @with_customer(tmp_path)
    async def _(program):
        client = await program.client()
        assert await client.ask(b"OUT.ADD", b"00", b"m1", FIELDS, b"hello") == b"+OK\r\n"
        request = await program.partner.next()
        assert request.headers["idempotency-key"] == "f59ace57a939f76f"
        request.answer(200)
        assert await client.ask(b"OUT.ADD", b"00", b"m2", b"c=berth,d=5000,dest=7", b"hello") == b"+OK\r\n"
        assert "idempotency-key" not in (await program.partner.next()).headers


def test_each_message_of_a_batch_has_its_own_idempotency_key(tmp_path):
    @with_customer(tmp_path, batch=4)
    async def _(program):
        client = await program.client()
        client.send(b"OUT.ADD", b"00", b"m1", FIELDS, b"hello")
        client.send(b"OUT.ADD", b"00", b"m2", b"c=berth,d=5000,dest=7", b"you")
        request = await program.partner.next()
        assert request.target == "/receive-many"
        assert request.body == b"m1 f59ace57a939f76f 5\r\nhello\r\nm2 - 3\r\nyou\r\n"


def test_idempotency_key_survives_a_restart(tmp_path):
    @with_customer(tmp_path)
    async def _(program):
        client = await program.client()
        assert await client.ask(b"OUT.ADD", b"00", b"m1", FIELDS, b"hello") == b"+OK\r\n"
        (await program.partner.next()).answer(429, X_Come_Back_Ms="300")
        while any(kept.out for kept in program.journal().live.values()):
            await asyncio.sleep(0.01)
        await program.kill()
        await program.start()
        again = await program.partner.next()
        assert again.headers["idempotency-key"] == "f59ace57a939f76f"


def node_of(tmp_path, events):
    """A node whose events for the decision module are recorded in `events`."""
    config = json.loads(json.dumps(TOLD)) | {"categories": [BERTH], "tenants": TENANTS}
    settings = parse_settings(json.dumps(config).encode())
    node = Node(settings, Dispatcher(settings, 1), Journal(tmp_path, 3e6), lambda *end: None)
    node.registry.destinations[7] = 0.0
    node.note = events.append
    return node


def test_a_message_counts_against_its_own_tenant(tmp_path):
    # A flood of one tenant must not use up the allowance of another.
    async def work():
        events = []
        node = node_of(tmp_path, events)
        for number, tenant in enumerate(("consorzio", "comune", "")):
            node.offer(
                Submission(b"m%d" % number, "berth", 7, 1000.0, b"", tenant=tenant), lambda reply: None
            )
        assert [event.tenant for event in events if isinstance(event, MessageAccepted)] == [0, 1, 2]
        with pytest.raises(BadRequest, match="unknown tenant 'duomo'"):
            node.offer(Submission(b"m9", "berth", 7, 1000.0, b"", tenant="duomo"), lambda reply: None)
        node.journal.close()

    run(work())


def test_resumed_message_counts_against_its_tenant(tmp_path):
    async def work():
        journal = Journal(tmp_path, 3e6)
        journal.record_accepted(JournalEntry(1, b"m1", "berth", 7, 4e9, b"x", tenant="comune"))
        journal.flush()
        journal.close()
        events = []
        node = node_of(tmp_path, events)
        resume(node)
        assert [event.tenant for event in events if isinstance(event, MessageAccepted)] == [1]
        node.journal.close()

    run(work())


def test_message_without_a_tenant_is_never_over_an_allowance():
    settings = parse_settings(json.dumps(TOLD | {"tenants": TENANTS}).encode())
    dispatcher = Dispatcher(settings, 1)
    dispatcher.now = 0.0
    assert not any(dispatcher.over_share(2) for _ in range(50))
    assert any(dispatcher.over_share(0) for _ in range(50))


def test_journal_stores_tenant_and_key_and_older_builds_ignore_them():
    message = JournalEntry(1, b"m1", "berth", 7, 4e9, b"body", tenant="comune", idempotency=b"f59a")
    read = form.read_message(form.message_payload(message), {})
    assert (read.tenant, read.idempotency, read.body) == ("comune", b"f59a", b"body")
    assert (
        form.read_message(form.message_payload(JournalEntry(1, b"m1", "berth", 7, 4e9, b"body")), {}).tenant
        == ""
    )
    size = form.MESSAGE_HEAD.size + len(b"m1") + len("berth")
    payload = form.message_payload(message)
    (length,) = form.LENGTH.unpack_from(payload, size)
    fields = json.loads(payload[size + form.LENGTH.size :][:length])
    assert fields == [None, [], None, None, [], "comune", "f59a"]  # older builds read the first five
