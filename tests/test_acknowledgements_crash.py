"""Crashes at every journal operation while acknowledgements are due: no message is lost, run twice or kept
forever, although acknowledgements are repeated and may reach a process that does not know the message."""

import pytest
from process_harness import CALL_S, Partner, SimulatedProcess, load, settle, virtual

from crowpier.interface import Outcome
from lab.disk import HOWS, CountingFiles, Crash, CrashingFiles
from rushhitch.acceptor import Acknowledgement, Verdict
from rushhitch.endpoints import Result
from rushhitch.partners.cloudevents import CloudEvents

DISK = 400_000.0
MESSAGES = 16
ACK_S, AGAIN_S = 0.3, 0.4  # until an acknowledgement is sent, and until it is repeated


class Bank:
    """Sends acknowledgements over all processes: each until it is answered, and once more."""

    def __init__(self, outside):
        self.outside, self.life = outside, None
        self.words = {}  # unanswered verdicts by mark
        self.said = set()

    def owe(self, name, verdict, mark):
        self.words[mark] = (name, verdict)
        self.outside.time.call_later(ACK_S, self.say, name, verdict, mark)

    def start(self, life):
        self.life = life
        for mark, (name, verdict) in list(self.words.items()):
            self.outside.time.call_later(ACK_S, self.say, name, verdict, mark)

    def say(self, name, verdict, mark, again=True):
        if verdict is Verdict.DELIVERED:
            self.outside.delivered.add(name)
        elif mark not in self.said:  # from now on the bank will not process it
            self.outside.may_have_run.discard(name)
        self.said.add(mark)

        def heard(reply):
            if reply.status == "refused":
                self.outside.time.call_later(AGAIN_S, self.say, name, verdict, mark)
                return
            self.words.pop(mark, None)
            if again:
                self.outside.time.call_later(AGAIN_S, self.say, name, verdict, mark, False)

        self.life.node.acknowledge(Acknowledgement(7, name, verdict, mark), heard)


class Acknowledging(Partner):
    """Answers 202 instead of delivering; reports every third message first as not run."""

    def end(self, endpoint, attempt, outcome):
        if outcome is not Outcome.OK:
            super().end(endpoint, attempt, outcome)
            return
        name, nth = attempt.id, self.outside.sends[attempt.id]
        self.outside.out.discard(name)
        self.outside.may_have_run.add(name)
        result = Result(attempt, endpoint, outcome, CALL_S * 1000.0, 0.0, over=True, later=True)
        self.node.attempt_ended(result)
        denied = int(name[1:]) % 3 == 0 and nth < 3
        verdict = Verdict.NOT_RUN if denied else Verdict.DELIVERED
        self.outside.bank.owe(name, verdict, b"%s %d" % (name, nth))


class AckLife(SimulatedProcess):
    partner = Acknowledging
    codecs = {7: CloudEvents("binary", "/rushhitch", {}, acknowledged=True)}

    def __init__(self, outside, files, number):
        if not hasattr(outside, "bank"):
            outside.bank = Bank(outside)
        super().__init__(outside, files, number, DISK)
        outside.bank.start(self)


def crashed(folder, at, how):
    """Crash a process at that operation and let a second one finish; whether the operation was reached."""
    reached = []

    def work(outside):
        files = CrashingFiles(folder, at, how, DISK)
        try:
            life = AckLife(outside, files, 1)
            load(life, 0, MESSAGES)
            settle(outside)
        except Crash:
            pass
        outside.killed()
        files.die()
        reached.append(files.reached)
        life = AckLife(outside, CountingFiles(folder, DISK), 2)
        settle(outside)
        outside.check()
        assert not life.journal.live and not life.node.by_id and not life.node.messages
        assert not outside.bank.words, "an acknowledgement is unanswered"
        life.files.die()
        if not files.reached:
            assert outside.delivered and any(count > 1 for count in outside.sends.values())

    virtual(work)
    return reached[0]


@pytest.mark.parametrize("how", HOWS)
def test_a_crash_at_each_operation_while_acknowledgements_are_due(tmp_path_factory, how):
    at = 1
    while crashed(tmp_path_factory.mktemp("state"), at, how):
        at += 1
    assert at > MESSAGES, "too few operations for a meaningful test"
