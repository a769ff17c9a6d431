"""The model of requests with a handover.

A process yields its folder to another and carries its calls to their ends, whose outcomes it tells. Nobody
waits for an answer then, and no call is between its first byte and its last. The successor knows what stands
in the folder; it does not know which message a client's connection was about, so a loss tells it nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lab.explorer import Step
from lab.lifecycle_explorer import Requests
from lab.lifecycle_model import CallStage, Message, News
from rushhitch.core.lifecycle import Phase, Stage


@dataclass
class HandedOver(Requests):
    """See above; there is one handover."""

    handovers: int = 1

    def steps(self) -> list[Step]:
        found = super().steps()
        waits = any(m.known and m.stage <= Stage.RECORDED for m in self.messages)
        if found and self.alive and self.handovers and self.answering is None and not waits:
            if self.phase is Phase.SERVING:
                found.append(("hand_over", 0))
        return found

    def hand_over(self, message: Message) -> None:
        self.handovers -= 1
        for call in [call for call in self.calls if call.stage is not CallStage.OUT]:
            for index in list(call.carried):
                self.end_attempt(call, self.messages[index])
        self.flush(message)
        for other in self.messages:
            other.known = other.late_record = other.connected = other.notified = False
            other.news = News.NONE
        self.restart(message)

    def tells(self) -> Iterable[str]:
        yield from super().tells()
        if not self.handovers and any(call.stage is CallStage.OUT for call in self.calls):
            yield "handed over"
