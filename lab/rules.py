"""The rules, checked from outside: a history goes in, broken rules come out. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from crowpier.interface import Effect, Group, Settings
from lab.history import ACCEPTED, NEVER_RAN, TOLD_OVER, Event
from lab.limits import call_weight, most_weight

# What the checker lets through. Each of these has its sentence of the operators' pages in `GRANTS`; nothing
# else is excused, and a history one step past any of them is broken (`tests/test_lab_rules.py`).
LOST_SLACK_MS = 300.0  # after its time is up: a message that has not ended by then is lost
RESTART_MS = 1_500.0  # after a restarted dispatcher is ready: until then no notice is overdue
DEATH_MS = 250.0  # around a kill: the lab sees the ends of a process's log and connections one by one
CROSSED_MS = 50.0  # a request that meets the close of its connection was written that soon before it is seen
WAIT_SLACK_MS = 100.0  # after a told wait was written: calls that come within it were on their way
SOCKET_SLACK_MS = 50.0  # time limits of the simulator are so much longer on sockets
RECORDED_MS = 300.0  # after its disk works again: a dispatcher has written what it could not write before
HELD_UP_MS = 150.0  # between a look at the clock, or at a connection, and the write that follows
SEEN_SHARE = 2 / 3  # of the load that pushed a returning destination over: from those that saw its outage

UNHEARD = ("busy", "error", "closed", "reset")  # answers behind which a client may hand its message in anew
OVER = TOLD_OVER | {ACCEPTED}  # ends behind which a message is not sent again
LEFT = "left"  # the same, of a client that closed: the dispatcher learns of it a moment later

GRANTS = {  # by constant: the page, and its sentence
    "LOST_SLACK_MS": "protocol: neither delivered nor ended by a notice 300 ms after its time is up is lost",
    "RESTART_MS": "protocol: until 1.5 s after the dispatcher is ready again, no notice is overdue",
    "DEATH_MS": "protocol: a process that dies resets its connections; standing: a kill may come right behind"
    " the answer; what a restart finds untried is still tried",
    "CROSSED_MS": "protocol: it may close one between requests; if that crosses a request that it has not"
    " read, the client sends it once more; and each time limit is 50 ms longer",
    "WAIT_SLACK_MS": "protocol: calls that come within 100 ms of an answer that tells a wait are let through",
    "SOCKET_SLACK_MS": "protocol: the simulator's rules hold here, each time limit is 50 ms longer",
    "RECORDED_MS": "protocol: a message that has been delivered and may be repeated is answered as delivered"
    " once more if it comes again; terms: the folder may not take writes for a while",
    "HELD_UP_MS": "standing: a dispatcher that is held up for up to 0.15 s between reading its clock and"
    " writing: deadlines and windows allow for that",
    "SEEN_SHARE": "standing: a fall of which over two thirds came from dispatchers that had been told",
}

SENTENCES = {
    "lost": "Once a dispatcher has taken a message, it gets exactly one final answer before its time is up.",
    "twice": "A message that might have run is never resent, or refused, beyond its class's allowance.",
    "drain": "Nothing new goes to an endpoint later than the grace after it was told to drain or be gone.",
    "pushed": "A returning destination is not pushed over by dispatchers that saw its outage.",
    "order": "Messages of one key go one at a time, in the order in which they were taken.",
    "void": "A call is of the protocol's form, on a connection that carries no other.",
    "wait": "A dispatcher that was told to wait sends nothing there until the wait is over.",
}


@dataclass(frozen=True, slots=True)
class Broken:
    """One breach: the rule's name, what it is about, when (ms), and what was seen."""

    rule: str
    about: str
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.0f} ms, {self.about}: {self.text}\n    {SENTENCES[self.rule]}"


@dataclass(slots=True)
class Call:
    """A call as its partner saw it. `done` is when its outcome was known there: infinite if never."""

    number: int
    at: float
    began: float
    endpoint: str
    dispatcher: str
    ids: list[str]
    crcs: list[int]
    ends: dict[str, str] = field(default_factory=dict)
    done: float = math.inf
    gone: float = math.inf  # the dispatcher gave it up

    def never_ran(self, name: str, by: float) -> bool:
        """Whether it was told by then that the message did not run."""
        return self.done <= by and self.ends.get(name) in NEVER_RAN


class Seen:
    """A history, by what the rules ask of it."""

    def __init__(self, events: list[Event], settings: Settings) -> None:
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.offers: dict[str, Event] = {}
        self.answers: dict[str, Event] = {}
        self.calls: dict[int, Call] = {}
        self.by_id: defaultdict[str, list[Call]] = defaultdict(list)
        self.notices: defaultdict[str, list[Event]] = defaultdict(list)
        self.endpoints: dict[str, Event] = {}
        self.told: defaultdict[tuple[str, str], list[Event]] = defaultdict(list)
        self.outages: defaultdict[str, list[list[float]]] = defaultdict(list)
        self.lives: defaultdict[str, list[Event]] = defaultdict(list)
        self.disk_failures: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
        self.refused: list[Event] = []
        self.malformed: list[Event] = []
        self.left: dict[str, Event] = {}
        self.bans: defaultdict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
        self.ends_at = events[-1]["at"] if events else 0.0
        for event in events:
            getattr(self, "see_" + event["what"])(event)

    def see_endpoint(self, event: Event) -> None:
        self.endpoints[event["endpoint"]] = event

    def see_offer(self, event: Event) -> None:
        self.offers[event["id"]] = event

    def see_answer(self, event: Event) -> None:
        self.answers[event["id"]] = event
        if event["answer"] == LEFT:
            self.left.setdefault(event["id"], event)

    def see_call(self, event: Event) -> None:
        call = Call(
            event["call"],
            event["at"],
            event["began_ms"],
            event["endpoint"],
            event["dispatcher"],
            event["ids"],
            event["crcs"],
        )
        self.calls[call.number] = call
        for name in call.ids:
            self.by_id[name].append(call)

    def see_reply(self, event: Event) -> None:
        call = self.calls[event["call"]]
        if call.done == math.inf:
            call.ends, call.done = event["ends"], event["at"]

    def see_gone(self, event: Event) -> None:
        call = self.calls[event["call"]]
        call.gone = min(call.gone, event["at"])

    def see_refused(self, event: Event) -> None:
        self.refused.append(event)

    def see_malformed(self, event: Event) -> None:
        self.malformed.append(event)

    def see_left(self, event: Event) -> None:
        self.left[event["id"]] = event

    def see_notice(self, event: Event) -> None:
        self.notices[event["id"]].append(event)

    def see_detached(self, event: Event) -> None:
        spans = self.bans[event["dispatcher"], event["endpoint"]]
        if not spans or spans[-1][1] < math.inf:
            spans.append((event["at"], math.inf))

    def see_attached(self, event: Event) -> None:
        spans = self.bans[event["dispatcher"], event["endpoint"]]
        if spans:
            spans[-1] = (spans[-1][0], min(spans[-1][1], event["at"]))

    def see_unheard(self, event: Event) -> None:
        """Operators got no yes: nothing was promised."""

    def see_upgraded(self, event: Event) -> None:
        """To the rules, the two processes are one dispatcher."""

    def see_told(self, event: Event) -> None:
        self.told[event["dispatcher"], event["endpoint"]].append(event)

    def see_outage(self, event: Event) -> None:
        self.outages[event["lane"]].append([event["at"], math.inf])

    def see_return(self, event: Event) -> None:
        self.outages[event["lane"]][-1][1] = event["at"]

    def see_ready(self, event: Event) -> None:
        self.lives[event["dispatcher"]].append(event)

    see_stopping = see_ended = see_ready

    def see_paused(self, event: Event) -> None:
        """No page excuses a process that stands still: deadlines and windows allow for 0.15 s of it, and a
        scenario that stops one for longer hands it no messages."""

    see_resumed = see_paused

    def see_disk_fails(self, event: Event) -> None:
        self.disk_failures[event["dispatcher"]].append((event["at"], math.inf))

    def see_disk_works(self, event: Event) -> None:
        spans = self.disk_failures[event["dispatcher"]]
        spans[-1] = (spans[-1][0], event["at"])

    def see_over(self, event: Event) -> None:
        pass  # it tells until when others were watched

    def lane(self, endpoint: str) -> str:
        return self.endpoints[endpoint]["lane"]

    def delivered_at(self, name: str) -> float:
        done = [
            call.done
            for call in self.by_id[name]
            if call.ends.get(name) == ACCEPTED and call.gone > call.done
        ]
        return min(done, default=math.inf)

    def told_at(self, name: str) -> float:
        return self.notices[name][0]["at"] if self.notices[name] else math.inf

    def unread(self, call: Call, by: float) -> bool:
        """Whether the call's answer was lost with the process that it was written to: one that was killed
        while the call was out, or so soon behind its answer that the lab cannot tell, and before `by`."""
        deaths = (e["at"] for e in self.lives[call.dispatcher] if e["what"] == "ended" and e.get("kill"))
        between = [death for death in deaths if call.at <= death <= by]
        connection_died = (
            call.gone <= call.done + DEATH_MS
        )  # as its partner saw it, whenever the lab saw more
        return any(death - DEATH_MS <= call.done or connection_died for death in between)

    def unrecorded(self, call: Call, name: str, by: float) -> bool:
        """Whether the process that read the call's answer ended before `by`, and had no disk from that answer
        on to record the end of the message, which may be delivered more than once."""
        cls = self.classes.get(self.offers[name]["cls"])
        if call.ends.get(name) != ACCEPTED or cls is None or cls.effect is Effect.UNSAFE:
            return False
        ends = [e["at"] for e in self.lives[call.dispatcher] if e["what"] == "ended"]
        return any(
            since <= call.done + SOCKET_SLACK_MS and call.done <= end <= min(by, until + RECORDED_MS)
            for since, until in self.disk_failures[call.dispatcher]
            for end in ends
        )

    def died_unaware(self, name: str, left_at: float, by: float) -> bool:
        """Whether the process that accepted a message was killed before it had to know that its client had
        left, so that the next one finds it accepted and untried."""
        lives = self.lives[self.offers[name]["dispatcher"]]
        latest = min(left_at + HELD_UP_MS + SOCKET_SLACK_MS, by)
        deaths = (event["at"] for event in lives if event["what"] == "ended" and event.get("kill"))
        return any(left_at - DEATH_MS <= death <= latest for death in deaths)

    def killed_at(self, dispatcher: str, at: float) -> bool:
        """Whether a process that was killed died about then."""
        deaths = (event for event in self.lives[dispatcher] if event["what"] == "ended" and event.get("kill"))
        return any(abs(event["at"] - at) <= DEATH_MS for event in deaths)

    def down(self, dispatcher: str) -> Iterator[tuple[float, float]]:
        """From each stop of a dispatcher until a while after it serves again."""
        since = None
        for event in self.lives[dispatcher]:
            if event["what"] == "ready":
                if since is not None:
                    yield since, event["at"] + RESTART_MS
                since = None
            elif since is None:
                since = event["at"] - (DEATH_MS if event.get("kill") else 0.0)
        if since is not None:
            yield since, math.inf

    def due(self, name: str) -> float:
        """When the message's end is overdue."""
        offer = self.offers[name]
        due = offer["at"] + offer["left_ms"] + LOST_SLACK_MS
        for start, end in self.down(offer["dispatcher"]):
            if start <= due < end:
                due = end
        return due


def lost(seen: Seen) -> Iterator[Broken]:
    for name, answer in seen.answers.items():
        offer = seen.offers[name]
        if answer["answer"] in ("closed", "reset") and answer["at"] - offer["at"] > CROSSED_MS:
            if not seen.killed_at(offer["dispatcher"], answer["at"]):
                text = f"its client's connection ended ({answer['answer']}) with no answer"
                yield Broken("lost", name, answer["at"], text)
        if answer["answer"] != "ok":
            continue
        ended, due = min(seen.delivered_at(name), seen.told_at(name)), seen.due(name)
        if ended > due and due <= seen.ends_at:
            when = "never ended" if ended == math.inf else f"ended at {ended:.0f} ms"
            yield Broken("lost", name, due, f"taken on at {answer['at']:.0f} ms, due by {due:.0f} ms, {when}")
    for name, notices in seen.notices.items():
        results = {notice["result"] for notice in notices}
        if len(results) > 1:
            text = f"its end was told as {' and as '.join(sorted(results))}"
            yield Broken("lost", name, notices[-1]["at"], text)
    for call in seen.calls.values():
        for name, crc in zip(call.ids, call.crcs, strict=True):
            if name not in seen.offers:
                yield Broken("lost", name, call.at, "no client handed it in")
            elif seen.offers[name]["crc"] != crc:
                yield Broken("lost", name, call.at, "its body was changed")
            elif seen.offers[name]["dest"] != seen.endpoints[call.endpoint]["dest"]:
                yield Broken(
                    "lost", name, call.at, f"it went to {call.endpoint}, another destination's endpoint"
                )


def sent_unheard(seen: Seen) -> Iterator[Broken]:
    """What was sent though its client was refused, or saw its connection end with no answer: it may have
    handed the message in anew. A client that waited in vain is another matter: what is sent under its old id
    counts for nothing."""
    for name, answer in seen.answers.items():
        if answer["answer"] not in UNHEARD:
            continue
        for call in seen.by_id[name]:
            text = f"sent at {call.at:.0f} ms, and its client's answer at {answer['at']:.0f} ms"
            yield Broken("lost", name, call.at, f"{text} was {answer['answer']}")


def sent_behind_leave(seen: Seen) -> Iterator[Broken]:
    """What was sent though its client had left with its answer unread, and may have handed the message in
    anew. A dispatcher that is held up right behind its look at the connection writes so much later; one that
    was killed then had no news, and the next one may call once."""
    for name, left in seen.left.items():
        late = [call for call in seen.by_id[name] if call.at > left["at"] + HELD_UP_MS + SOCKET_SLACK_MS]
        for position, call in enumerate(late):
            if position or not seen.died_unaware(name, left["at"], call.at):
                text = f"sent at {call.at:.0f} ms, and its client had left at {left['at']:.0f} ms"
                yield Broken("lost", name, call.at, text)


def sent_when_over(seen: Seen) -> Iterator[Broken]:
    """What a dispatcher sent again after it was told that it is over (200, 410, `expired`) or has had all its
    attempts (504, `no_more`). A process that was killed may have left that answer unread, and one whose disk
    failed unrecorded."""
    for name, calls in seen.by_id.items():
        tellers = [c for c in calls if c.ends.get(name) in OVER and c.done < c.gone and not given_up(c, name)]
        for call in calls:
            for told in tellers:
                knew = call.dispatcher == told.dispatcher and call.at > told.done + SOCKET_SLACK_MS
                if knew and not (seen.unread(told, call.at) or seen.unrecorded(told, name, call.at)):
                    text = f"sent at {call.at:.0f} ms, told {told.ends[name]} at {told.done:.0f} ms"
                    yield Broken("lost", name, call.at, text)
                    break


def given_up(call: Call, name: str) -> bool:
    """Whether a batch with the message was given up as its answer was being written: the two crossed."""
    crossed = call.gone <= call.done + SOCKET_SLACK_MS
    return crossed and len(call.ids) > 1 and call.ends[name] == ACCEPTED


def accepted_late(seen: Seen) -> Iterator[Broken]:
    """Messages that were accepted only after their delivery, where these are over half."""
    accepted = [name for name, answer in seen.answers.items() if answer["answer"] == "ok"]
    late = [name for name in accepted if seen.delivered_at(name) < seen.answers[name]["at"]]
    if len(late) > len(accepted) / 2:
        text = f"{len(late)} of {len(accepted)} messages were accepted only after their delivery"
        yield Broken("lost", late[0], seen.answers[late[0]]["at"], text)


def copies(seen: Seen) -> Iterator[Broken]:
    """Two attempts of a message that are out at once, where the settings allow no second copies."""
    if seen.settings.second_copies:
        return
    for name, calls in seen.by_id.items():
        for position, call in enumerate(calls):
            out = [c for c in calls[:position] if min(c.done, c.gone) > call.at + SOCKET_SLACK_MS]
            if out:
                text = f"sent at {call.at:.0f} ms, while the call of {out[0].at:.0f} ms was out"
                yield Broken("twice", name, call.at, text)


def void(seen: Seen) -> Iterator[Broken]:
    for event in seen.malformed:
        text = f"{event['dispatcher']} called it, and {event['why']}"
        yield Broken("void", event["endpoint"], event["at"], text)


def twice(seen: Seen) -> Iterator[Broken]:
    origins: defaultdict[str, list[str]] = defaultdict(list)
    for name, offer in seen.offers.items():
        origins[offer["origin"]].append(name)
    for origin, names in origins.items():
        cls = seen.classes.get(seen.offers[origin]["cls"])
        if cls is None:
            continue
        calls = sorted(
            ((call, name) for name in names for call in seen.by_id[name]), key=lambda pair: pair[0].at
        )
        for position, (call, name) in enumerate(calls):
            before = [(c, n) for c, n in calls[:position] if not c.never_ran(n, call.began)]
            if not before or cls.effect is Effect.SAFE:
                continue
            first = before[0][0]
            if cls.effect is Effect.UNSAFE:
                text = f"sent at {call.began:.0f} ms, though the call of {first.at:.0f} ms may have run"
                yield Broken("twice", name, call.at, text)
            elif call.began > first.at + cls.window_ms + SOCKET_SLACK_MS:
                text = f"sent at {call.began:.0f} ms, {cls.window_ms:g} ms after {first.at:.0f} ms at most"
                yield Broken("twice", name, call.at, text)
            elif cls.group is Group.ZONE and zone(seen, first) != zone(seen, call):
                yield Broken("twice", name, call.at, f"sent to {call.endpoint}, outside its group")
        for name in names:
            yield from refused_after_run(seen, name, cls.effect)
    for name in seen.offers:
        told = seen.told_at(name)
        for call in seen.by_id[name]:
            if call.began > told + SOCKET_SLACK_MS:
                yield Broken("twice", name, call.at, f"sent at {call.began:.0f} ms, after its end was told")


def zone(seen: Seen, call: Call) -> str:
    return seen.endpoints[call.endpoint]["zone"]


def refused_after_run(seen: Seen, name: str, effect: Effect) -> Iterator[Broken]:
    """A refusal assures the client that to hand it in again is harmless."""
    if effect is Effect.SAFE:
        return
    told = [notice["at"] for notice in seen.notices[name] if notice["result"] == "bounced"]
    answer = seen.answers.get(name)
    if answer is not None and answer["answer"] == "busy":
        told.append(answer["at"])
    for at in told:
        for call in seen.by_id[name]:
            if not call.never_ran(name, at):
                yield Broken("twice", name, at, f"refused, though the call of {call.at:.0f} ms may have run")


def drain(seen: Seen) -> Iterator[Broken]:
    grace = seen.settings.drain_grace_ms + SOCKET_SLACK_MS
    for call in seen.calls.values():
        told = seen.told[call.dispatcher, call.endpoint]
        position = bisect_right([event["at"] for event in told], call.began) - 1
        off = None
        while position >= 0 and told[position]["state"] != "SERVING":
            off = told[position]["at"]
            position -= 1
        if off is not None and call.began > off + grace:
            text = f"{call.dispatcher} called it at {call.began:.0f} ms, told off at {off:.0f} ms"
            yield Broken("drain", call.endpoint, call.began, text)
    for call in seen.calls.values():
        for since, until in seen.bans[call.dispatcher, call.endpoint]:
            if since + grace < call.began < until - SOCKET_SLACK_MS:
                text = f"{call.dispatcher} called it at {call.began:.0f} ms, taken out at {since:.0f} ms"
                yield Broken("drain", call.endpoint, call.began, text)


def pushed(seen: Seen) -> Iterator[Broken]:
    settings = seen.settings
    for lane, outages in seen.outages.items():
        per_s = sum(e["per_s"] for e in seen.endpoints.values() if e["lane"] == lane)
        calls = sorted((c for c in seen.calls.values() if seen.lane(c.endpoint) == lane), key=lambda c: c.at)
        for begins, ends in outages:
            if ends == math.inf:
                continue
            saw = {c.dispatcher for c in calls if begins <= c.at <= ends and ACCEPTED not in c.ends.values()}
            saw |= {
                event["dispatcher"]
                for event in seen.refused
                if seen.lane(event["endpoint"]) == lane and begins <= event["at"] <= ends
            }
            back = [c for c in calls if ends <= c.at <= ends + settings.warm_within_ms]
            for position, first in enumerate(back):
                window = [c for c in back[position:] if c.at <= first.at + settings.fall_ms]
                if text := too_much(window, ends, per_s, saw, settings):
                    yield Broken("pushed", lane, first.at, text)
                    break


def too_much(window: list[Call], returned: float, per_s: float, saw: set[str], settings: Settings) -> str:
    """What is wrong with the calls of a window on a lane that returned cold; empty if it bears them. Each
    call is judged with those before it, by the capacity in the middle of their time."""
    weight = knew = 0.0
    for call in window:
        weight += call_weight(len(call.ids))
        knew += call_weight(len(call.ids)) if call.dispatcher in saw else 0.0
        warm = warmth((window[0].at + call.at) / 2.0 - returned, settings)
        most = most_weight(settings.fall_multiple * per_s * warm * settings.fall_ms / 1000.0)
        if weight > most and knew >= SEEN_SHARE * weight:
            took = call.at - window[0].at
            return f"calls in {took:.0f} ms weigh {weight:g}, {most:.1f} at most, {knew:g} knowing"
    return ""


def warmth(since: float, settings: Settings) -> float:
    """The share of its capacity that a destination has so long after its return."""
    grown = (1.0 - settings.cold_from) * since / max(settings.warm_within_ms, 1.0)
    return min(settings.cold_from + max(grown, 0.0), 1.0)


def order(seen: Seen) -> Iterator[Broken]:
    turns: defaultdict[tuple[str, str], list[str]] = defaultdict(list)
    for name, answer in seen.answers.items():
        offer = seen.offers[name]
        cls = seen.classes.get(offer["cls"])
        if answer["answer"] == "ok" and offer["key"] and cls is not None and cls.in_order:
            turns[offer["dispatcher"], offer["key"]].append(name)
    rest = seen.settings.order_settle_ms
    for (_, key), names in turns.items():
        for position, name in enumerate(names):
            for call in seen.by_id[name]:
                for earlier in names[:position]:
                    # A notice is on its way for a moment after the message is over where it was given up.
                    over = min(seen.delivered_at(earlier), seen.told_at(earlier) - SOCKET_SLACK_MS)
                    open_ = [c for c in seen.by_id[earlier] if min(c.done, c.gone) > call.began]
                    if over > call.began or open_:
                        text = f"sent at {call.began:.0f} ms, before {earlier} of key {key} was over"
                        yield Broken("order", name, call.at, text)
                    doubt = [c.gone for c in seen.by_id[earlier] if c.gone < c.done]
                    if any(gone <= call.began < gone + rest - SOCKET_SLACK_MS for gone in doubt):
                        yield Broken("order", name, call.at, f"sent while key {key} had to rest")


def wait(seen: Seen, events: list[Event]) -> Iterator[Broken]:
    told: defaultdict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for event in events:
        if event["what"] == "reply" and event["wait_ms"] > 0:
            call = seen.calls[event["call"]]
            told[call.dispatcher, seen.lane(call.endpoint)].append(
                (event["at"], event["at"] + event["wait_ms"])
            )
    for call in seen.calls.values():
        for since, until in told[call.dispatcher, seen.lane(call.endpoint)]:
            if not since + WAIT_SLACK_MS < call.at < until:
                continue
            lives = [event["at"] for event in seen.lives[call.dispatcher] if event["what"] == "ready"]
            if not any(since < ready <= call.at for ready in lives):  # a restart ends the wait
                span = f"{since:.0f} to {until:.0f} ms"
                text = f"called by {call.dispatcher} at {call.at:.0f} ms, told to wait from {span}"
                yield Broken("wait", call.endpoint, call.at, text)


def check(events: list[Event], settings: Settings) -> list[Broken]:
    """All breaches in a history, in the order of time. `settings` are those that the dispatchers had."""
    seen = Seen(events, settings)
    rules: tuple[Callable[[Seen], Iterator[Broken]], ...] = (
        lost,
        sent_unheard,
        sent_behind_leave,
        sent_when_over,
        accepted_late,
        void,
        copies,
        twice,
        drain,
        pushed,
        order,
    )
    found = [broken for rule in rules for broken in rule(seen)]
    found += wait(seen, events)
    return sorted(found, key=lambda broken: broken.at)
