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
ACK_DELAY_S, ACK_REPEAT_S = 0.3, 0.4  # until an acknowledgement is sent, and until it is repeated


class Bank:
    """Sends acknowledgements over all processes: each until it is answered, and once more."""

    def __init__(self, outside):
        self.outside, self.process = outside, None
        self.unanswered = {}  # unanswered verdicts by mark
        self.sent = set()

    def owe(self, name, verdict, mark):
        self.unanswered[mark] = (name, verdict)
        self.outside.time.call_later(ACK_DELAY_S, self.send, name, verdict, mark)

    def start(self, process):
        self.process = process
        for mark, (name, verdict) in list(self.unanswered.items()):
            self.outside.time.call_later(ACK_DELAY_S, self.send, name, verdict, mark)

    def send(self, name, verdict, mark, again=True):
        if verdict is Verdict.DELIVERED:
            self.outside.delivered.add(name)
        elif mark not in self.sent:  # from now on the bank will not process it
            self.outside.may_have_run.discard(name)
        self.sent.add(mark)

        def heard(reply):
            if reply.status == "refused":
                self.outside.time.call_later(ACK_REPEAT_S, self.send, name, verdict, mark)
                return
            self.unanswered.pop(mark, None)
            if again:
                self.outside.time.call_later(ACK_REPEAT_S, self.send, name, verdict, mark, False)

        self.process.node.acknowledge(Acknowledgement(7, name, verdict, mark), heard)


class AcknowledgingPartner(Partner):
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
        not_run = int(name[1:]) % 3 == 0 and nth < 3
        verdict = Verdict.NOT_RUN if not_run else Verdict.DELIVERED
        self.outside.bank.owe(name, verdict, b"%s %d" % (name, nth))


class AcknowledgingProcess(SimulatedProcess):
    partner = AcknowledgingPartner
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
            process = AcknowledgingProcess(outside, files, 1)
            load(process, 0, MESSAGES)
            settle(outside)
        except Crash:
            pass
        outside.killed()
        files.die()
        reached.append(files.reached)
        process = AcknowledgingProcess(outside, CountingFiles(folder, DISK), 2)
        settle(outside)
        outside.check()
        assert not process.journal.live and not process.node.by_id and not process.node.messages
        assert not outside.bank.unanswered, "an acknowledgement is unanswered"
        process.files.die()
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
