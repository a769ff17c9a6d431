"""What the old and the new process do in an upgrade, step by step: two state machines without I/O.

Each takes what happened and gives what to do now. The rule behind both: nothing is given away before SIGTERM
reaches the old one, and nothing is owned by two at any moment.
"""

from __future__ import annotations

from enum import Enum, auto

VERSION = 1  # of the words between the two


class Old(Enum):
    """The process that serves."""

    SERVING = auto()
    OFFERING = auto()  # a successor has come and makes itself ready
    PROMISED = auto()  # it is ready: SIGTERM hands all over
    YIELDING = auto()  # the successor owns all but the calls that are out here
    LEAVING = auto()  # SIGTERM without a successor that is ready: a plain end
    GONE = auto()


class New(Enum):
    """The process that comes."""

    SEEKING = auto()  # is the folder free?
    PREPARING = auto()  # it is held, and its holder has answered
    ASKING = auto()  # it can take over, and the old one has yet to promise to hand over
    READY = auto()  # operators hear yes: SIGTERM to the old one hands over
    TAKING = auto()  # owns all from now on, and takes it up
    SERVING = auto()
    REFUSED = auto()


class Do(Enum):
    """What to do now."""

    WELCOME = auto()  # the old: listeners and the list go over
    REFUSE = auto()  # the old: another upgrade is under way, or the version is not known
    YIELD = auto()  # the old: hand all over
    LEAVE = auto()  # the old: end as without a successor
    END = auto()  # the old: nothing is left to do here
    PREPARE = auto()  # the new: with what the old has told
    ASK = auto()  # the new: for the old one's promise
    SAY_READY = auto()  # the new: to operators
    PROMISE = auto()  # the old: SIGTERM hands over from now on
    TAKE = auto()  # the new: what was handed over
    TAKE_LOCK = auto()  # the new: the old has died without a word; its folder is free
    LOSE_CALLS = auto()  # the new: calls out at the old may have run, nobody will know
    WAIT = auto()  # the new: for the folder, nobody hands it over
    GIVE_UP = auto()  # the new: end, and disturb nothing


class Incumbent:
    """The old one's part."""

    def __init__(self) -> None:
        self.state = Old.SERVING

    def joined(self, version: object) -> Do:
        """A process asks to succeed."""
        if self.state is not Old.SERVING or version != VERSION:
            return Do.REFUSE
        self.state = Old.OFFERING
        return Do.WELCOME

    def ready(self) -> Do | None:
        if self.state is not Old.OFFERING:
            return None
        self.state = Old.PROMISED
        return Do.PROMISE

    def lost(self) -> Do | None:
        """The channel to the successor has ended. Before SIGTERM nothing was given away."""
        if self.state in (Old.OFFERING, Old.PROMISED):
            self.state = Old.SERVING
        elif self.state is Old.YIELDING:
            self.state = Old.GONE  # it owned all: outcomes have nobody to go to
            return Do.END
        return None

    def told_to_end(self) -> Do | None:
        """SIGTERM: the commit point."""
        if self.state is Old.PROMISED:
            self.state = Old.YIELDING
            return Do.YIELD
        if self.state in (Old.SERVING, Old.OFFERING):
            self.state = Old.LEAVING
            return Do.LEAVE
        return None

    def cannot_yield(self) -> None:
        """The disk does not take what a successor needs: this process still owns all, and ends plainly."""
        if self.state in (Old.YIELDING, Old.GONE):
            self.state = Old.LEAVING

    def idle(self) -> Do | None:
        """No call is out here any more."""
        if self.state is Old.YIELDING:
            self.state = Old.GONE
            return Do.END
        return None

    @property
    def owns(self) -> bool:
        return self.state not in (Old.YIELDING, Old.GONE)


class Successor:
    """The new one's part."""

    def __init__(self) -> None:
        self.state = New.SEEKING

    def folder_free(self) -> Do:
        """The lock is ours: a plain start."""
        self.state = New.SERVING
        return Do.TAKE

    def welcomed(self, version: object) -> Do:
        if self.state is not New.SEEKING or version != VERSION:
            self.state = New.SEEKING
            return Do.WAIT
        self.state = New.PREPARING
        return Do.PREPARE

    def refused(self, busy: bool) -> Do:
        """The holder does not hand over: to us, since another upgrade is under way, or to this build."""
        self.state = New.REFUSED if busy else New.SEEKING
        return Do.GIVE_UP if busy else Do.WAIT

    def prepared(self) -> Do | None:
        if self.state is not New.PREPARING:
            return None
        self.state = New.ASKING
        return Do.ASK

    def promised(self) -> Do | None:
        """The old one has heard. Guards against a yes after which SIGTERM reaches the old one before our
        word does: it would end as without a successor."""
        if self.state is not New.ASKING:
            return None
        self.state = New.READY
        return Do.SAY_READY

    def yielded(self) -> Do | None:
        """The old one has handed over."""
        if self.state not in (New.ASKING, New.READY):
            return None
        self.state = New.TAKING
        return Do.TAKE

    def taken(self) -> None:
        if self.state is New.TAKING:
            self.state = New.SERVING

    def lost(self) -> Do | None:
        """The channel to the old one has ended."""
        if self.state in (New.PREPARING, New.ASKING, New.READY):
            self.state = New.TAKING
            return Do.TAKE_LOCK
        if self.state in (New.TAKING, New.SERVING):
            return Do.LOSE_CALLS
        return None

    @property
    def owns(self) -> bool:
        return self.state in (New.TAKING, New.SERVING)
