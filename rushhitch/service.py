"""The dispatcher's life: what is wired to what, from the start to the end after SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
from typing import TYPE_CHECKING, Any

from crowpier import Dispatcher
from crowpier.interface import Settings
from rushhitch.config.history import History, lacking
from rushhitch.config.own import MODES, Own
from rushhitch.config.platform import BadConfiguration, Configuration, read_configuration
from rushhitch.control.bans import Bans
from rushhitch.control.server import Control
from rushhitch.control.words import Refused
from rushhitch.discovery import Notices, Platform, Watch
from rushhitch.fronts.listener import Clients
from rushhitch.fronts.resp2 import Resp2
from rushhitch.journal import Journal, JournalError, Sync
from rushhitch.journal.side import Side
from rushhitch.node import Node, with_singles
from rushhitch.partners.codec import Codec
from rushhitch.planning.counts import LaneCounts

if TYPE_CHECKING:
    from rushhitch.cloudevents.sinks import Sinks
    from rushhitch.partners.handshake import Handshake

log = logging.getLogger("rushhitch")

ACCEPT_S = 0.6  # after SIGTERM: connections go on coming for a while
FINISH_S = 2.0  # after SIGTERM: connections stay so long; their clients would crowd other dispatchers
LEAVE_S = 3.3  # after SIGTERM: what is not over by then stays in the journal
OWN_FILES = 48  # descriptors for the process itself, discovery, and connections that are being closed
CLIENT_SHARE = 1 / 3  # of the descriptors: clients hold so many at most for requests
BEGUN_SHARE = 0.1  # of the memory: requests that are half sent take so much at most
SETTINGS = "settings"  # the file in the folder that lasts which has their history
SPARE_CLIENTS = 24  # beyond them, for those that come to be turned away


async def serve(configuration: Configuration, forward: bool = False) -> None:
    """Run the dispatcher until SIGTERM or SIGINT, then for a little longer. A forwarder is a dispatcher that
    reports to planners and heeds what they grant."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    changed = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    try:
        journal = Journal(configuration.state, configuration.disk_bytes, Sync(configuration.own.sync))
        bans, kept = Bans(journal), KeptSettings(journal)
    except (OSError, JournalError) as error:
        raise BadConfiguration(f"ROUTER_STATE: {error}") from None
    most_clients = int(CLIENT_SHARE * configuration.sockets) + SPARE_CLIENTS
    notices = Notices(configuration.discovery, lambda number: node.notice_heard(number))
    spoken = codecs(configuration.own)
    check_classes(configuration)
    settings = in_force(configuration)
    node = Node(
        settings,
        Dispatcher(settings, configuration.seed),
        journal,
        notices.add,
        configuration.sockets - most_clients - OWN_FILES,
        spoken,
        configuration.own.events.remember_s if configuration.own.events is not None else 0.0,
        bans,
        kept.history,
    )
    kept.take(configuration, node)
    handshake = make_handshake(node, configuration.own)
    node.sinks = make_sinks(configuration)
    planners = None
    if forward:
        from rushhitch.planning.client import PlannerClient  # with its libraries: only where it is on

        node.counts = LaneCounts([cls.worth for cls in configuration.settings.classes])
        own, name = configuration.own, configuration.name
        planners = PlannerClient(name, dict(own.planners), own.secret, node.collect, node.guided)
    node.listed(configuration.known, cached=True)
    node.resume()
    watch = Watch(
        configuration.discovery,
        configuration.known["version"],
        node.listed,
        random.Random(configuration.seed),
        dispatchers=configuration.settings.dispatchers,
    )
    platform = Platform(watch, notices)
    platform.start()
    if planners is not None:
        planners.start()
    if handshake is not None:
        handshake.start()
    reloading = loop.create_task(reload(changed, configuration, node, kept, platform))
    clients = Clients(node, most_clients, int(BEGUN_SHARE * configuration.memory_bytes))
    try:
        await clients.listen(configuration.listen, Resp2)
    except OSError as error:
        raise BadConfiguration(f"ROUTER_LISTEN: {error}") from None
    desk = Desk(node)
    control = await open_control(desk, configuration)
    if configuration.own.events is not None and configuration.own.events.listen is not None:
        await listen_for_events(clients, configuration, node.sinks)
    desk.ready = True
    log.info(
        "%s is ready on %s:%d, %d messages resumed", configuration.name, *clients.address, len(node.by_id)
    )
    await stop.wait()
    leave_at = loop.time() + LEAVE_S
    desk.ready = False
    log.info("%s is leaving, %d messages held", configuration.name, len(node.by_id))
    node.leaving(leave_at)
    await asyncio.sleep(ACCEPT_S)
    clients.stop_listening()
    await asyncio.sleep(FINISH_S - ACCEPT_S)
    clients.finish()
    try:
        async with asyncio.timeout_at(leave_at):
            await node.idle.wait()
            await notices.empty.wait()
    except TimeoutError:
        pass
    log.info("%s ends, %d messages stay in the journal", configuration.name, len(journal.live))
    reloading.cancel()
    if control is not None:
        control.stop()
    platform.stop()
    if planners is not None:
        planners.stop()
    if handshake is not None:
        handshake.stop()
    node.committer.close()
    journal.close()


def codecs(own: Own) -> dict[int, Codec]:
    """What destinations speak that do not speak the platform's protocol."""
    if own.events is None or not own.events.partners:
        return {}
    from rushhitch.partners.cloudevents import CloudEvents  # with its library: only where it is on

    types = {cls: kind for kind, cls in own.events.types.items() if not kind.endswith("*")}
    later = own.events.acknowledgements
    acknowledging = frozenset(later.sources.values()) if later is not None else frozenset()
    made = {
        (mode, told): CloudEvents(mode, own.events.source, types, own.events.path, told)
        for mode in MODES
        for told in (False, True)
    }
    return {number: made[mode, number in acknowledging] for number, mode in own.events.partners.items()}


def make_handshake(node: Node, own: Own) -> Handshake | None:
    """What asks partners whether they want events, as the gate of the node."""
    if own.events is None or own.events.handshake is None:
        return None
    from rushhitch.partners.agreements import Agreements  # only where it is on
    from rushhitch.partners.handshake import Handshake

    asking = own.events.handshake
    agreements = Agreements(asking.origin, asking.rate, asking.renew_s * 1000.0)
    node.gate = handshake = Handshake(node, agreements, asking.destinations, own.events.path)
    return handshake


def make_sinks(configuration: Configuration) -> Sinks | None:
    """Where clients may have ends told."""
    events = configuration.own.events
    if events is None or events.sinks is None:
        return None
    from rushhitch.cloudevents.sinks import Sinks  # with its library: only where it is on

    told = events.sinks
    return Sinks(told.destinations, told.cls, events.source, told.attribute, told.kind)


async def listen_for_events(clients: Clients, configuration: Configuration, sinks: Sinks | None) -> None:
    """The CloudEvents front, beside RESP2 and within the same bounds."""
    from rushhitch.acknowledgements import Verdict
    from rushhitch.cloudevents.mapping import Acks, Rules  # with its library: only where it is on
    from rushhitch.fronts.cloudevents import front

    events = configuration.own.events
    assert events is not None and events.listen is not None, "asked for only where it is set"
    most_ms = {cls.name: cls.deadline_ms for cls in configuration.settings.classes}
    acks = None
    if (later := events.acknowledgements) is not None:
        verdicts = {kind: Verdict(told) for kind, told in later.types.items()}
        acks = Acks(later.sources, verdicts, events.source, later.id_attribute, later.source_attribute)
    more = (events.usual_ms, acks, sinks)
    rules = Rules(events.types, most_ms, events.destination, events.destinations, *more)
    try:
        address = await clients.listen(events.listen, front(rules))
    except OSError as error:
        raise BadConfiguration(f"[cloudevents] listen: {error}") from None
    log.info("CloudEvents are taken on %s:%d", *address)


async def reload(
    changed: asyncio.Event, configuration: Configuration, node: Node, kept: KeptSettings, platform: Platform
) -> None:
    """After each SIGHUP, go on with the file's `settings` and `discovery`, or with neither; all else in it
    waits for a restart."""
    while True:
        await changed.wait()
        changed.clear()
        try:
            new = read_configuration(os.environ)
            if missing := lacking(new.told, configuration.told):
                raise BadConfiguration(f"{missing} is missing, and the settings in force have it")
            check_classes(new)
            history = kept.with_taken(new, node.numbers + 1)
            node.reconfigure(in_force(new), history)
        except ValueError as error:
            node.figures.reconfig_failed += 1
            log.error("SIGHUP: the old configuration stays: %s", error)
            continue
        node.figures.reconfig_ok += 1
        kept.keep(history, node)
        log.info("SIGHUP: discovery is at %s:%d", *new.discovery)
        if new.discovery != configuration.discovery:
            platform.move(new.discovery)
        configuration = new


def in_force(configuration: Configuration) -> Settings:
    """The settings as the decisions have them."""
    settings = configuration.settings
    return with_singles(settings) if codecs(configuration.own) else settings


def check_classes(configuration: Configuration) -> None:
    """Guards against settings without a class that `deploy/rushhitch.toml` names."""
    events = configuration.own.events
    if events is None:
        return
    names = {cls.name for cls in configuration.settings.classes}
    wanted = [("types", name) for name in events.types.values()] + [("usual_ms", n) for n in events.usual_ms]
    if events.sinks is not None:
        wanted.append(("sinks", events.sinks.cls))
    for key, name in wanted:
        if name not in names:
            raise BadConfiguration(
                f"[cloudevents] {key}: no class is called {name!r}: use one of {', '.join(sorted(names))}"
            )


class KeptSettings:
    """The history of settings in its file: what messages were taken under outlasts the process."""

    def __init__(self, journal: Journal) -> None:
        self.journal, self.side = journal, Side(journal, SETTINGS)
        try:
            self.history = History.read(self.side.load())
        except ValueError as error:
            log.error("%s: open messages keep the settings of now", error)
            self.history = History()

    def with_taken(self, configuration: Configuration, since: int) -> History:
        oldest = min(self.journal.live, default=since)
        return self.history.taken(configuration.told, configuration.settings, since).since(oldest)

    def take(self, configuration: Configuration, node: Node) -> None:
        """At the start: the file's settings hold for what comes."""
        self.keep(self.with_taken(configuration, node.numbers + 1), node)

    def keep(self, history: History, node: Node) -> None:
        self.history = node.history = history
        try:
            self.side.store(history.content())
        except OSError as error:
            log.error("the settings in force are not kept, a restart goes by the file alone: %s", error)


class Desk:
    """What the control address stands for in this process."""

    def __init__(self, node: Node) -> None:
        self.node, self.ready = node, False

    def ping(self) -> None:
        if not self.ready:
            raise Refused("not ready: it takes no messages now")

    def info(self) -> dict[str, Any]:
        return self.node.info()

    def detach(self, endpoint: str) -> None:
        self.node.detach(endpoint)

    def attach(self, endpoint: str) -> None:
        self.node.attach(endpoint)


async def open_control(desk: Desk, configuration: Configuration) -> Control | None:
    """The operators' address, where there is one."""
    if configuration.control is None:
        return None
    control = Control(desk)
    try:
        address = await control.listen(configuration.control)
    except OSError as error:
        raise BadConfiguration(f"ROUTER_CONTROL: {error}") from None
    log.info("operators are answered on %s:%d", *address)
    return control
