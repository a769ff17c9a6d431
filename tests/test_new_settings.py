"""Reconfiguration at run time: terms of open messages, rejected files, behaviour after a restart."""

import asyncio
import json
import signal

import pytest
from dispatcher_harness import SAFE, UNSAFE, DispatcherHarness
from doubles import SAFE as NOTE
from doubles import UNSAFE as PAY
from doubles import WORTH, run
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from test_benchlink import TOLD
from test_succession import Pair, with_pair

from crowpier import Dispatcher
from crowpier.benchlink import parse_settings
from crowpier.interface import (
    AttemptEnded,
    Effect,
    EndpointListReceived,
    Entry,
    Fail,
    ListKind,
    MessageAccepted,
    MessageClass,
    Outcome,
    Reconfigured,
    Refuse,
    Send,
    Settings,
    TimerFired,
)
from rushhitch.config.history import SettingsHistory, missing_key


def classes(**changes):
    """The settings of the test bed with the given changes."""
    harness = DispatcherHarness()
    values = {key: getattr(harness.settings, key) for key in harness.settings.__dataclass_fields__}
    return Settings(**(values | changes))


def test_open_message_keeps_its_effect_if_the_class_becomes_unsafe():
    harness = DispatcherHarness(Entry("e1", 1))
    harness.arrive(1, SAFE)
    rest = harness.settings.classes[1:]
    harness.feed(
        Reconfigured(classes(classes=(MessageClass("notice", 1500, 6000, effect=Effect.UNSAFE), *rest)))
    )
    harness.end(1, Outcome.ERROR)
    harness.pass_ms(2000, timeouts=False)
    assert len(harness.where(1)) == 2, "it was not retried"
    harness.end(1, Outcome.OK)
    harness.arrive(2, SAFE)  # accepted under the new settings
    harness.end(2, Outcome.ERROR)
    assert harness.answers[2] == "fail"


def test_a_message_keeps_its_number_of_attempts():
    harness = DispatcherHarness(Entry("e1", 1), max_attempts=3)
    harness.arrive(1, SAFE)
    harness.feed(Reconfigured(classes(max_attempts=1)))
    harness.arrive(2, SAFE)
    for _ in range(3):
        for message, attempt in list(harness.out):
            harness.end(message, Outcome.FULL, attempt, wait=50.0)
        harness.pass_ms(700, timeouts=False)
    assert len(harness.where(1)) == 3 and len(harness.where(2)) == 1


def test_removed_class_is_kept_until_its_last_message_ends():
    harness = DispatcherHarness(Entry("e1", 1))
    harness.arrive(1, UNSAFE)
    kept = tuple(cls for cls in harness.settings.classes if cls.name != "payment")
    harness.feed(Reconfigured(classes(classes=kept)))
    assert "payment" in harness.dispatcher.expected_ms
    harness.end(1, Outcome.OK)
    assert harness.answers[1] == "served"
    harness.feed(Reconfigured(classes(classes=kept)))
    assert "payment" not in harness.dispatcher.expected_ms


def test_history_returns_the_settings_under_which_a_message_was_accepted():
    def settings_with(effect, attempts):
        row = {"name": "n", "effect": effect, "aimMs": 1500.0, "hardLimitMs": 6000.0} | WORTH
        limits = TOLD["policyLimits"] | {"maxAttempts": attempts}
        return TOLD | {"categories": [row], "policyLimits": limits}

    history = SettingsHistory()
    for since, effect, attempts in ((1, "repeatable", 8), (10, "once", 2), (20, "repeatable", 8)):
        settings = settings_with(effect, attempts)
        made = parse_settings(json.dumps(settings).encode())
        history = history.with_change({"settings": settings, "name": "n0"}, made, since)
    again = SettingsHistory.decode(history.encode())
    for number, effect, attempts in ((9, Effect.SAFE, 8), (10, Effect.UNSAFE, 2), (25, Effect.SAFE, 8)):
        terms = again.terms_of(number, "n")
        assert (terms.cls.effect, terms.max_attempts) == (effect, attempts)
    assert again.terms_of(10, "other") is None
    assert [period.since for period in again.pruned(15).periods] == [10, 20]
    assert (
        again.newest_file()["settings"] == settings_with("repeatable", 8)
        and again.newest_file()["name"] == "n0"
    )


@given(st.recursive(st.integers(), lambda inner: st.dictionaries(st.text(max_size=3), inner, max_size=3)))
def test_nothing_is_lacking_in_a_file_beside_itself(value):
    config = {"settings": value}
    assert missing_key(config, config) == ""


@pytest.mark.parametrize(
    "cut, missing",
    [
        (lambda config: config.pop("limits"), "limits"),
        (lambda config: config["settings"].pop("quantumMs"), "settings.quantumMs"),
        (lambda config: config["settings"]["policyLimits"].pop("mayProbe"), "settings.policyLimits.mayProbe"),
        (lambda config: config["settings"].update(guarantees=3), "settings.guarantees"),
    ],
)
def test_missing_key_of_a_configuration_is_named(cut, missing):
    whole = {"limits": {}, "settings": json.loads(json.dumps(TOLD))}
    short = json.loads(json.dumps(whole))
    cut(short)
    assert missing_key(short, whole) == missing


# With the whole program


def change(program, edit):
    """Replace the configuration file and send SIGHUP."""
    config = program.config()
    edit(config)
    (program.folder / "config.json").write_text(json.dumps(config))
    program.process.send_signal(signal.SIGHUP)


EXPRESS = NOTE | WORTH | {"name": "express"}
BROKEN = {
    "empty": "",
    "cut off": '{"name":"n0","settings":{"categories":[{"na',
    "not an object": "[]",
    "not JSON": "name = n0",
}
WRONG = {
    "short of a key": lambda config: config["settings"].pop("policyLimits"),
    "short of a class's key": lambda config: config["settings"]["categories"][0].pop("effect"),
    "a deadline of 0": lambda config: config["settings"]["categories"][0].update(hardLimitMs=0),
    "attempts of -1": lambda config: config["settings"]["policyLimits"].update(maxAttempts=-1),
    "a wrong type": lambda config: config["settings"]["policyLimits"].update(maxAttempts="8"),
    "not finite": lambda config: config["settings"]["categories"][0].update(aimMs=float("inf")),
    "a class twice": lambda config: config["settings"]["categories"].append(EXPRESS | {"name": "note"}),
    "other kinds": lambda config: config["settings"].update(kinds=["firms", "more"]),
}


def test_invalid_files_change_nothing_and_are_counted(tmp_path):
    @with_pair(tmp_path)
    async def _(program):
        client = await program.client()
        for count, text in enumerate(BROKEN.values(), 1):
            (tmp_path / "config.json").write_text(text)
            program.process.send_signal(signal.SIGHUP)
            while (await program.figures())["reconfig_failed"] < count:
                await asyncio.sleep(0.02)
        for count, edit in enumerate(WRONG.values(), 1 + len(BROKEN)):

            def spoil(config, edit=edit):
                config["settings"]["categories"].append(EXPRESS)
                edit(config)

            change(program, spoil)
            while (await program.figures())["reconfig_failed"] < count:
                await asyncio.sleep(0.02)
        assert (await program.figures())["reconfig_ok"] == 0
        assert (await client.add(b"m1", "express")).startswith(b"-ERR"), "part of an invalid file was applied"
        assert await client.add(b"m2", "note") == b"+OK\r\n"


def test_open_messages_continue_when_classes_are_added_and_removed(tmp_path):
    @with_pair(tmp_path)
    async def _(program):
        client = await program.client()
        assert await client.add(b"old", "note") == b"+OK\r\n"
        request = await program.partner.next()

        def swap(config):
            config["settings"]["categories"] = [PAY | WORTH, EXPRESS]

        change(program, swap)
        while not (await program.figures())["reconfig_ok"]:
            await asyncio.sleep(0.02)
        assert await client.add(b"new", "express") == b"+OK\r\n"
        assert (await program.partner.next()).headers["x-correlation-id"] == "new"
        client = await program.client()
        assert (await client.add(b"late", "note")).startswith(b"-ERR")
        request.answer(500)
        again = await program.partner.next()
        assert again.headers["x-correlation-id"] == "old", "its class was safe to repeat on acceptance"
        again.answer(200)


def test_message_of_a_removed_class_continues_after_sigkill(tmp_path):
    @with_pair(tmp_path)
    async def _(program):
        client = await program.client()
        assert await client.add(b"old", "note") == b"+OK\r\n"
        await program.partner.next()
        await program.kill()
        config = program.config

        def without():
            changed = config()
            changed["settings"]["categories"] = [PAY | WORTH]
            return changed

        program.config = without
        await program.start()
        again = await program.partner.next()
        assert again.headers["x-correlation-id"] == "old", "it was dropped with its class"
        again.answer(200)


def test_start_with_an_invalid_file_uses_the_last_valid_one(tmp_path):
    @with_pair(tmp_path)
    async def _(program):
        await program.kill()
        (tmp_path / "config.json").write_text("")
        program.process = await program.spawn()
        await program.log_line("the last good configuration is used")
        await program.log_line(" is ready on ")
        assert await (await program.client()).add(b"m1") == b"+OK\r\n"


def test_first_start_without_a_valid_file_exits_with_code_2(tmp_path):
    async def work():
        program = await Pair(tmp_path).start_doubles()
        (tmp_path / "config.json").write_text("{")
        process = await program.spawn()
        _, error = await process.communicate()
        assert process.returncode == 2 and b"ROUTER_CONFIG" in error

    run(work())


def test_two_sighups_in_a_row_apply_the_newest_file(tmp_path):
    @with_pair(tmp_path)
    async def _(program):
        def express(config):
            config["settings"]["categories"].append(EXPRESS)

        def only_pay(config):
            config["settings"]["categories"] = [PAY | WORTH]

        change(program, express)
        change(program, only_pay)
        client = await program.client()
        while not (await client.add(b"m1", "note")).startswith(b"-ERR"):
            client = await program.client()
            await asyncio.sleep(0.02)
        client = await program.client()
        assert await client.add(b"m2", "pay", 24000) == b"+OK\r\n"
        assert (await client.add(b"m3", "express")).startswith(b"-ERR")


class SwapMachine(RuleBasedStateMachine):
    """Settings change at any time between arrivals, answers and waits: each message is sent according to the
    settings under which it was accepted, and ends once."""

    NAMES = ("a", "b", "c")

    def __init__(self):
        super().__init__()
        self.now, self.message = 1000.0, 0
        self.in_force = self.settings({"a": Effect.SAFE, "b": Effect.UNSAFE}, 3)
        self.dispatcher = Dispatcher(self.in_force, 7)
        self.terms, self.sent, self.out, self.ran, self.ended = {}, {}, {}, set(), set()
        self.feed(EndpointListReceived(ListKind.FULL, 1, (Entry("e1", 1), Entry("e2", 1))))

    @staticmethod
    def settings(effects, attempts):
        made = tuple(MessageClass(name, 1500, 6000, effect=effect) for name, effect in effects.items())
        return classes(classes=made, max_attempts=attempts, slots=16, max_held=100)

    def feed(self, *events):
        for action in self.dispatcher.handle(self.now, list(events)):
            if isinstance(action, Send):
                cls, attempts = self.terms[action.message]
                number = self.sent[action.message] = self.sent.get(action.message, 0) + 1
                assert action.message not in self.ended, "sent after its end"
                assert number <= attempts, "more attempts than its settings allow"
                assert cls is Effect.SAFE or action.message not in self.ran, "an unsafe message was retried"
                self.out[action.message] = (number - 1, action.endpoint)
            elif isinstance(action, (Fail, Refuse)):
                assert action.message not in self.ended, "a second end"
                self.ended.add(action.message)

    @rule(
        effects=st.dictionaries(
            st.sampled_from(NAMES), st.sampled_from([Effect.SAFE, Effect.UNSAFE]), min_size=1
        ),
        attempts=st.integers(1, 4),
    )
    def swap(self, effects, attempts):
        self.in_force = self.settings(effects, attempts)
        self.feed(Reconfigured(self.in_force))

    @rule(choice=st.integers(0, 2))
    def hand_in(self, choice):
        position = choice % len(self.in_force.classes)
        self.message += 1
        self.terms[self.message] = (self.in_force.classes[position].effect, self.in_force.max_attempts)
        self.feed(MessageAccepted(self.message, position, 1, 6000.0))

    @rule(outcome=st.sampled_from([Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED]))
    def answer(self, outcome):
        for message, (attempt, endpoint) in list(self.out.items()):
            del self.out[message]
            if not outcome.never_ran:
                self.ran.add(message)
            over = outcome is Outcome.OK or message in self.ended
            if outcome is Outcome.OK:
                self.ended.add(message)
            self.feed(AttemptEnded(message, attempt, endpoint, outcome, 20.0, over))

    @rule(span=st.floats(1.0, 7000.0))
    def wait(self, span):
        self.now += span
        self.feed(TimerFired(0))

    @invariant()
    def no_class_is_kept_that_nobody_needs(self):
        held = {message.cls.name for message in self.dispatcher.messages.values()}
        known = {cls.name for cls in self.in_force.classes} | held
        assert known <= set(self.dispatcher.expected_ms)


SwapMachine.TestCase.settings = budget(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestSwaps = SwapMachine.TestCase
