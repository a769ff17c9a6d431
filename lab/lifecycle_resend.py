"""The model of requests with a client that hands its message in once more under the same id.

The protocol page: a dispatcher may close a connection between requests; "if that crosses a request that it
has not read, the client sends it once more on a new one". A reset that destroys its answer looks alike to the
client. Message 1 is message 0 sent once more; the platform knows both by one id, and so do the notices.
"""

from __future__ import annotations

from dataclasses import dataclass

from lab.explorer import Step
from lab.lifecycle_explorer import Requests
from lab.lifecycle_model import Client, Disk, Look, Message, Notice
from rushhitch.core.lifecycle import Stage


@dataclass
class SentAgain(Requests):
    """See above. What its client leaves, it sends once more."""

    def steps(self) -> list[Step]:
        first = self.messages[0]
        cut_off = first.client is Client.LEFT
        return [step for step in super().steps() if step != ("read", 1) or cut_off]

    def read(self, message: Message) -> None:
        first = self.messages[0]
        if message is first:
            super().read(message)
        elif first.known and first.stage < Stage.ACCEPTED:
            message.client = Client.REFUSED  # it is being taken on
        elif first.known and first.stage < Stage.ENDED:
            message.client = Client.REFUSED  # a second message there is not; its client hears of the first
            first.client = Client.ACCEPTED
            first.known_over = first.left_before_answer = False
        elif self.has(Look.SAME_ID) and (first.disk is Disk.NOTICE or first.told is not Notice.NONE):
            message.client = Client.REFUSED  # by the end that is known
        else:
            super().read(message)

    def send(self, message: Message) -> None:
        super().send(message)
        if message.index and self.messages[0].told is not Notice.NONE:
            self.found_wrong("sent under an id whose end was told")

    def tell(self, message: Message, notice: Notice) -> None:
        super().tell(message, notice)
        again = self.messages[1]
        if message.index == 0 and again.client in (Client.ANSWERED, Client.ACCEPTED) and not again.end_given:
            self.found_wrong("the end of an id was told that has been taken on anew")
