"""The protocol of an upgrade: state machines of the incumbent (old) and the successor (new), without I/O.

Each takes an event and returns the action to take. Invariants of both: nothing is handed over before SIGTERM
reaches the incumbent, and nothing ever has two owners.
"""

from __future__ import annotations

from enum import Enum, auto

VERSION = 1  # of the protocol between the two


class IncumbentState(Enum):
    """States of the process that serves."""

    SERVING = auto()
    OFFERING = auto()  # a successor has connected and is preparing
    PROMISED = auto()  # the successor is ready: SIGTERM hands over
    YIELDING = auto()  # the successor owns everything but the calls outstanding here
    LEAVING = auto()  # SIGTERM without a ready successor: plain shutdown
    GONE = auto()


class SuccessorState(Enum):
    """States of the process that starts."""

    SEEKING = auto()  # trying to lock the state folder
    PREPARING = auto()  # it is held, and the holder has answered
    ASKING = auto()  # able to take over, waiting for the promise of the incumbent
    READY = auto()  # PING is answered ACK: SIGTERM to the incumbent hands over
    TAKING = auto()  # owns everything, resuming it
    SERVING = auto()
    REFUSED = auto()


class Action(Enum):
    """Actions that follow from an event."""

    WELCOME = auto()  # incumbent: pass the listeners and the endpoint list
    REFUSE = auto()  # incumbent: another upgrade is in progress, or unknown version
    YIELD = auto()  # incumbent: hand over
    LEAVE = auto()  # incumbent: shut down as without a successor
    END = auto()  # incumbent: exit, nothing is left to do
    PREPARE = auto()  # successor: with the state of the welcome
    ASK = auto()  # successor: ask for the promise to hand over
    REPORT_READY = auto()  # successor: tell operators
    PROMISE = auto()  # incumbent: SIGTERM hands over from now on
    TAKE = auto()  # successor: take what was handed over
    TAKE_LOCK = auto()  # successor: the incumbent died without handing over; its folder is free
    FAIL_CALLS = auto()  # successor: calls outstanding at the incumbent may have run, their outcome is lost
    WAIT = auto()  # successor: for the folder's lock, as nobody hands over
    GIVE_UP = auto()  # successor: exit without changing anything


class Incumbent:
    """The state machine of the process that serves."""

    def __init__(self) -> None:
        self.state = IncumbentState.SERVING

    def joined(self, version: object) -> Action:
        """A process asks to be the successor."""
        if self.state is not IncumbentState.SERVING or version != VERSION:
            return Action.REFUSE
        self.state = IncumbentState.OFFERING
        return Action.WELCOME

    def ready(self) -> Action | None:
        if self.state is not IncumbentState.OFFERING:
            return None
        self.state = IncumbentState.PROMISED
        return Action.PROMISE

    def channel_lost(self) -> Action | None:
        """The channel to the successor has closed. Before SIGTERM nothing has been handed over."""
        if self.state in (IncumbentState.OFFERING, IncumbentState.PROMISED):
            self.state = IncumbentState.SERVING
        elif self.state is IncumbentState.YIELDING:
            self.state = IncumbentState.GONE  # the owner is gone: nobody takes outcomes
            return Action.END
        return None

    def sigterm_received(self) -> Action | None:
        """SIGTERM: the commit point of the upgrade."""
        if self.state is IncumbentState.PROMISED:
            self.state = IncumbentState.YIELDING
            return Action.YIELD
        if self.state in (IncumbentState.SERVING, IncumbentState.OFFERING):
            self.state = IncumbentState.LEAVING
            return Action.LEAVE
        return None

    def handover_failed(self) -> None:
        """The state cannot be written for a successor: this process remains the owner and shuts down
        plainly."""
        if self.state in (IncumbentState.YIELDING, IncumbentState.GONE):
            self.state = IncumbentState.LEAVING

    def idle(self) -> Action | None:
        """The last outstanding call has ended."""
        if self.state is IncumbentState.YIELDING:
            self.state = IncumbentState.GONE
            return Action.END
        return None

    @property
    def owns(self) -> bool:
        return self.state not in (IncumbentState.YIELDING, IncumbentState.GONE)


class Successor:
    """The state machine of the process that takes over."""

    def __init__(self) -> None:
        self.state = SuccessorState.SEEKING

    def folder_free(self) -> Action:
        """The folder was locked: a plain start."""
        self.state = SuccessorState.SERVING
        return Action.TAKE

    def welcomed(self, version: object) -> Action:
        if self.state is not SuccessorState.SEEKING or version != VERSION:
            self.state = SuccessorState.SEEKING
            return Action.WAIT
        self.state = SuccessorState.PREPARING
        return Action.PREPARE

    def refused(self, busy: bool) -> Action:
        """The holder refuses: with `busy` since another upgrade is in progress, otherwise because of the
        version."""
        self.state = SuccessorState.REFUSED if busy else SuccessorState.SEEKING
        return Action.GIVE_UP if busy else Action.WAIT

    def prepared(self) -> Action | None:
        if self.state is not SuccessorState.PREPARING:
            return None
        self.state = SuccessorState.ASKING
        return Action.ASK

    def promised(self) -> Action | None:
        """The incumbent confirms. Readiness must not be reported earlier, since otherwise SIGTERM could reach
        the incumbent before our `ready`, and it would shut down as without a successor."""
        if self.state is not SuccessorState.ASKING:
            return None
        self.state = SuccessorState.READY
        return Action.REPORT_READY

    def yielded(self) -> Action | None:
        """The incumbent has handed over."""
        if self.state not in (SuccessorState.ASKING, SuccessorState.READY):
            return None
        self.state = SuccessorState.TAKING
        return Action.TAKE

    def taken(self) -> None:
        if self.state is SuccessorState.TAKING:
            self.state = SuccessorState.SERVING

    def channel_lost(self) -> Action | None:
        """The channel to the incumbent has closed."""
        if self.state in (SuccessorState.PREPARING, SuccessorState.ASKING, SuccessorState.READY):
            self.state = SuccessorState.TAKING
            return Action.TAKE_LOCK
        if self.state in (SuccessorState.TAKING, SuccessorState.SERVING):
            return Action.FAIL_CALLS
        return None

    @property
    def owns(self) -> bool:
        return self.state in (SuccessorState.TAKING, SuccessorState.SERVING)
