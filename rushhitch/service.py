"""The dispatcher's life: what is wired to what, from the start to the end after SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import resource
import signal
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from crowpier import Dispatcher
from crowpier.interface import Outcome, Settings
from rushhitch import signals
from rushhitch.config.deployment import MODES, DeploymentSettings
from rushhitch.config.history import SettingsHistory, missing_key
from rushhitch.config.platform import (
    Configuration,
    ConfigurationError,
    ConfigurationFileError,
    parse_configuration,
    read_configuration,
)
from rushhitch.control.commands import TAKES_ID, BadCommand, CommandRefused, answer, parse
from rushhitch.control.detached import DetachedEndpoints
from rushhitch.control.server import MAX_CONNECTIONS, ControlServer
from rushhitch.core.endpoint_registry import with_unbatched_kinds
from rushhitch.core.lifecycle import Phase
from rushhitch.core.messages import InheritedAttempt
from rushhitch.core.metrics import Metrics
from rushhitch.core.node import Node
from rushhitch.core.operator_commands import OperatorCommands
from rushhitch.core.resumption import resume
from rushhitch.core.state_transfer import StateTransfer
from rushhitch.discovery import NoticeSender, PlatformClient, Watch
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.fronts.resp2 import Resp2Connection
from rushhitch.journal import Journal
from rushhitch.journal.boot import boot_id
from rushhitch.journal.sidecar import SidecarFile, verified_content
from rushhitch.journal.steady_clock import steady_clock_offset_s
from rushhitch.partners.codec import Codec
from rushhitch.succession.handover import Handover
from rushhitch.succession.states import Do
from rushhitch.succession.takeover import Inheritance, Takeover

if TYPE_CHECKING:
    from rushhitch.cloudevents.sinks import Sinks
    from rushhitch.membership.server import Server as Member
    from rushhitch.partners.handshake import Handshake
    from rushhitch.planning.client import PlannerClient
    from rushhitch.sharing.server import Sharing

log = logging.getLogger("rushhitch")

ACCEPT_S = 0.6  # after SIGTERM: connections go on coming for a while
FINISH_S = 2.0  # after SIGTERM: connections stay so long; their clients would crowd other dispatchers
LEAVE_S = 3.3  # after SIGTERM: what is not over by then stays in the journal
OWN_FILES = 48  # descriptors kept from clients and endpoints: some 12 for the process itself (log, loop,
# lock, listeners, the newest segment), 2 for the watch and notices, 2 for files that are replaced or read
# again, and 2 * `MAX_ACCEPTS_PER_STEP` for clients that come to be turned away, or are closed to make room
CALLER_FILES = MAX_CONNECTIONS + 4  # likewise for operators and a successor, where the control address is on
CLIENT_SHARE = 1 / 3  # of the descriptors: clients hold so many at most for requests
LEAST_SHARE = 4  # descriptors for clients and as many for endpoints, however few there are
BEGUN_SHARE = 0.1  # of the memory: requests that are half sent take so much at most
SETTINGS = "settings"  # the file in the folder that lasts which has their history
STATUS_S = 2.0  # between two lines of what is under way
SIZE_S = 0.5  # between two looks at how many dispatchers may be acting, where there is membership
SPARE_CLIENTS = 24  # beyond them, for those that come to be turned away


async def serve(configuration: Configuration, forward: bool = False) -> None:
    """Run the dispatcher until SIGTERM or SIGINT, then for a little longer. A forwarder is a dispatcher that
    reports to planners and heeds what they grant."""
    loop = asyncio.get_running_loop()
    stop, changed = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signals.attach(number, lambda: loop.call_soon_threadsafe(stop.set))
    signals.attach(signal.SIGHUP, lambda: loop.call_soon_threadsafe(changed.set))
    await asyncio.sleep(0)  # what came before is heard before anything is owed
    if stop.is_set():
        log.info("%s ends before it has begun", configuration.name)
        return
    desk = Desk()
    control = await open_control(desk, configuration)
    takeover = Takeover(configuration, desk.promised)
    desk.relay = takeover.relay.ask
    inheriting = loop.create_task(takeover.inherit())
    stopped = loop.create_task(stop.wait())
    await asyncio.wait((inheriting, stopped), return_when=asyncio.FIRST_COMPLETED)
    if not inheriting.done():
        inheriting.cancel()
        takeover.give_up()
        log.info("%s ends before it has taken over", configuration.name)
        return
    inheritance = inheriting.result()
    if inheritance.waited:  # the file may have changed since it was read
        configuration = configuration_in_force(os.environ)
    service = Service(configuration, inheritance, desk, forward)
    try:
        service.start(takeover, changed)
        await stop.wait()
        await service.end()
    finally:
        service.close()
        if control is not None:
            control.stop()


class Service:
    """One dispatcher at work, wired together: from a folder that it owns to the end."""

    def __init__(
        self, configuration: Configuration, inheritance: Inheritance, desk: Desk, forward: bool
    ) -> None:
        self.configuration, self.inheritance, self.desk = configuration, inheritance, desk
        self.loop = asyncio.get_running_loop()
        self.journal = journal = inheritance.journal
        bans, kept = DetachedEndpoints(journal), KeptSettings(journal)
        most_clients, most_connections = shares(configuration)
        self.notices = NoticeSender(configuration.discovery, lambda number: node.notice_heard(number))
        spoken = codecs(configuration.deployment)
        check_classes(configuration)
        settings = in_force(configuration)
        self.node = node = Node(
            settings,
            Dispatcher(settings, configuration.seed),
            journal,
            self.notices.add,
            most_connections,
            spoken,
            configuration.deployment.events.remember_s
            if configuration.deployment.events is not None
            else 0.0,
            bans,
            kept.history,
        )
        node.ahead_s = steady_clock_offset_s(journal, time.time(), time.monotonic(), boot_id())
        kept.take(configuration, node)
        self.kept = kept
        self.handshake = make_handshake(node, configuration.deployment)
        node.sinks = make_sinks(configuration)
        self.planners = make_planners(node, configuration) if forward else None
        self.clients = ConnectionManager(node, most_clients, int(BEGUN_SHARE * configuration.memory_bytes))
        known = configuration.known
        if inheritance.told is not None:
            known = {name: inheritance.told[name] for name in ("version", "servers")} | {"full": True}
        node.registry.apply_update(known, cached=True)
        self.watch = Watch(
            configuration.discovery,
            known["version"],
            node.registry.apply_update,
            random.Random(configuration.seed),
            dispatchers=configuration.settings.dispatchers,
        )
        self.platform = PlatformClient(self.watch, self.notices)
        self.transfer, operators = StateTransfer(node), OperatorCommands(node)
        self.handover = Handover(
            configuration.state,
            self.transfer,
            operators,
            self.clients,
            lambda: self.watch.version,
            desk.become_owner(operators),
        )
        self.member = make_member(configuration, inheritance.told)
        self.sharing = make_sharing(node, configuration, self.member)
        self.transfer.more = self.hand_membership
        self.reloading: asyncio.Task[None] | None = None
        self.sizing: asyncio.TimerHandle | None = None
        self.telling: asyncio.TimerHandle | None = None

    def start(self, takeover: Takeover, changed: asyncio.Event) -> None:
        """Go on with what is there, and take what comes."""
        configuration, node, told = self.configuration, self.node, self.inheritance.told
        if told is not None:
            self.transfer.adopt_waits(told["waits"])
            resume(node, told["learned"], [InheritedAttempt(*loan) for loan in told["loans"]])
        else:
            resume(node)
        if any(message.kept.destination not in node.registry.destinations for message in node.by_id.values()):
            self.watch.schedule.initial_spread_s = (
                0.0  # held messages wait for a list: it is asked for at once
            )
        self.platform.start()
        if self.planners is not None:
            self.planners.start()
        if self.handshake is not None:
            self.handshake.start()
        if self.member is not None:
            try:
                self.member.start()
            except OSError as error:
                raise ConfigurationError(f"[membership] listen: {error}") from None
            self.size()
        if self.sharing is not None:
            self.sharing.start()
        self.reloading = self.loop.create_task(reload(changed, configuration, node, self.kept, self.platform))
        listeners = self.inheritance.listeners
        try:
            self.clients.listen(
                configuration.listen,
                Resp2Connection.name,
                Resp2Connection,
                listeners.pop(Resp2Connection.name, None),
            )
        except OSError as error:
            raise ConfigurationError(f"ROUTER_LISTEN: {error}") from None
        if configuration.deployment.events is not None and configuration.deployment.events.listen is not None:
            listen_for_events(self.clients, configuration, node.sinks, listeners.pop("cloudevents", None))
        for listener in listeners.values():  # of fronts that are off now
            listener.close()
        self.take_over(takeover)
        if configuration.control is not None:
            self.handover.start()
        self.desk.ready = True
        self.tell_status()
        log.info(
            "%s is ready on %s:%d, %d messages resumed",
            configuration.name,
            *self.clients.address,
            len(node.by_id),
        )

    def take_over(self, takeover: Takeover) -> None:
        """What the process before this one still tells: connections, and how its calls end."""
        node, transfer = self.node, self.transfer

        def ended(told: dict[str, Any]) -> None:
            transfer.inherited_attempt_ended(
                int(told["message"]),
                int(told["attempt"]),
                Outcome(told["outcome"]),
                told["took_ms"],
                told["wait_ms"],
                told["over"],
                told["later"],
                told.get("final", False),
            )

        takeover.adopt, takeover.ended, takeover.dead = (
            self.clients.adopt,
            ended,
            transfer.fail_inherited_attempts,
        )
        takeover.abandon = node.abandon
        takeover.relay.operate, node.cancel_inherited = self.handover.relay.operate, takeover.cancel_inherited
        takeover.go_on()

    def tell_status(self, before: dict[str, int] | None = None) -> None:
        """A line now and then of what is under way, so that the last one before a kill tells it."""
        status = self.node.status()
        if before is not None and status != before:
            log.info("under way", extra=status)
        self.telling = self.loop.call_later(STATUS_S, self.tell_status, status)

    def size(self) -> None:
        """What is shared among dispatchers is shared by as many as may be acting."""
        assert self.member is not None, "asked for only where it is on"
        self.sizing = self.loop.call_later(SIZE_S, self.size)
        most = self.member.bounds(self.loop.time()).most
        self.node.resize(most)
        self.watch.schedule.resize(most)

    def hand_membership(self) -> dict[str, Any]:
        """The process that goes on is the same member, in a higher incarnation: nobody hears of a leave."""
        if self.member is None:
            return {}
        if self.sizing is not None:
            self.sizing.cancel()
        if self.sharing is not None:
            self.sharing.stop()
        self.member.stop(leave=False)
        return {"incarnation": self.member.detector.table.own.incarnation}

    async def end(self) -> None:
        """After SIGTERM: hand over, where a successor is ready, or leave."""
        leave_at = self.loop.time() + LEAVE_S
        self.desk.ready = False
        if self.handover.incumbent.told_to_end() is Do.YIELD:
            log.info("%s hands over, %d messages held", self.configuration.name, len(self.node.by_id))
            self.handover.yielded = lambda: self.desk.pass_on(self.handover.relay.ask)
            self.platform.stop()
            if self.reloading is not None:
                self.reloading.cancel()  # the settings' file is another process's soon
            if await self.handover.hand_over(leave_at):
                self.clients.stop_listening()
                return
            self.clients.resume_listening()
            self.platform.start()
        await self.leave(leave_at)

    async def leave(self, leave_at: float) -> None:
        """End without a successor: clients go elsewhere, what is not over stays in the journal."""
        node, clients = self.node, self.clients
        log.info("%s is leaving, %d messages held", self.configuration.name, len(node.by_id))
        node.leaving(leave_at)
        finish_at = self.loop.time() + FINISH_S
        await asyncio.sleep(ACCEPT_S)
        await clients.accept_backlog()
        clients.stop_listening()
        await asyncio.sleep(finish_at - self.loop.time())
        clients.drain()
        try:
            async with asyncio.timeout_at(leave_at):
                await node.idle.wait()
                await self.notices.empty.wait()
        except TimeoutError:
            pass
        await self.transfer.freeze()  # what is not written whole has never run, and the journal says so
        await self.transfer.end_calls()
        await clients.read_pending_input()
        clients.close_all()
        node.commit()
        held = len(self.journal.live)
        log.info(
            "%s ends, %d messages stay in the journal",
            self.configuration.name,
            held,
            extra=self.account(),
        )

    def account(self) -> dict[str, Any]:
        """What the last line of the log tells besides: what stays, what was refused, and why connections were
        closed."""
        notices = sum(kept.notice is not None for kept in self.journal.live.values())
        told = {"open": len(self.node.by_id), "notices": notices, "held_back": self.node.endpoints.held_back}
        told |= {f"refused.{what}": count for what, count in self.node.lifecycle.counts().items()}
        return told | {f"closed.{why}": count for why, count in sorted(self.clients.closed.items())}

    def close(self) -> None:
        self.node.lifecycle.enter(Phase.CLOSED)
        self.clients.close_all()
        if self.reloading is not None:
            self.reloading.cancel()
        if self.telling is not None:
            self.telling.cancel()
        if self.sizing is not None:
            self.sizing.cancel()
        if self.sharing is not None:
            self.sharing.stop()
        if self.member is not None:
            self.member.stop()
        self.handover.stop()
        self.platform.stop()
        if self.planners is not None:
            self.planners.stop()
        if self.handshake is not None:
            self.handshake.stop()
        self.node.committer.close()
        self.journal.close()
        self.node.lifecycle.enter(Phase.RELINQUISHED)  # what connections still tell is for the next process


def shares(configuration: Configuration) -> tuple[int, int]:
    """How many connections clients may hold, and how many there may be to endpoints. The system's limit on
    descriptors counts where it is lower than the platform's. Nobody takes of another's share: idle clients
    never hold up a call, the watch or the journal."""
    descriptors, system = configuration.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if system != resource.RLIM_INFINITY:
        descriptors = min(descriptors, system)
    rest = descriptors - OWN_FILES - (CALLER_FILES if configuration.control is not None else 0)
    if rest < 2 * LEAST_SHARE:
        log.warning("%d descriptors are too few: clients may be shut out, or calls not sent", descriptors)
        rest = 2 * LEAST_SHARE
    clients = min(int(CLIENT_SHARE * descriptors) + SPARE_CLIENTS, rest // 2)
    return clients, rest - clients


def make_planners(node: Node, configuration: Configuration) -> PlannerClient:
    """The forwarder's part: it counts, reports and is guided."""
    from rushhitch.planning.client import PlannerClient  # with its libraries: only where it is on
    from rushhitch.planning.counts import LaneCounts

    node.limits.counts = LaneCounts([cls.worth for cls in configuration.settings.classes])
    deployment, name = configuration.deployment, configuration.name
    return PlannerClient(
        name, dict(deployment.planners), deployment.secret, node.limits.collect, node.limits.apply_allowance
    )


def make_member(configuration: Configuration, told: Mapping[str, Any] | None) -> Member | None:
    """This dispatcher among the others; after an upgrade, as the member that the process before it was."""
    if (set_up := configuration.deployment.membership) is None:
        return None
    from rushhitch.membership.server import Server  # with its library: only where it is on

    named = replace(set_up, name=set_up.name or configuration.name)
    fleet = set_up.fleet or configuration.settings.dispatchers
    return Server(named, fleet, int((told or {}).get("incarnation", 0)), configuration.state)


def make_sharing(node: Node, configuration: Configuration, member: Member | None) -> Sharing | None:
    """This dispatcher's part of the limits that partners state, where members share them."""
    if (told := configuration.deployment.sharing) is None or member is None:
        return None
    from rushhitch.planning.counts import LaneCounts  # with its library: only where it is on
    from rushhitch.sharing import server

    node.limits.counts = LaneCounts([cls.worth for cls in configuration.settings.classes])
    name, fleet = member.told.name, member.detector.table.fleet
    sharing = server.Sharing(name, fleet, told.floor, member, node.limits.needs)
    node.limits.shared = sharing.part
    return sharing


def codecs(deployment: DeploymentSettings) -> dict[int, Codec]:
    """What destinations speak that do not speak the platform's protocol."""
    if deployment.events is None or not deployment.events.partners:
        return {}
    from rushhitch.partners.cloudevents import CloudEvents  # with its library: only where it is on

    types = {cls: kind for kind, cls in deployment.events.types.items() if not kind.endswith("*")}
    later = deployment.events.acknowledgements
    acknowledging = frozenset(later.sources.values()) if later is not None else frozenset()
    made = {
        (mode, told): CloudEvents(mode, deployment.events.source, types, deployment.events.path, told)
        for mode in MODES
        for told in (False, True)
    }
    return {
        number: made[mode, number in acknowledging] for number, mode in deployment.events.partners.items()
    }


def make_handshake(node: Node, deployment: DeploymentSettings) -> Handshake | None:
    """What asks partners whether they want events, as the gate of the node."""
    if deployment.events is None or deployment.events.handshake is None:
        return None
    from rushhitch.partners.agreements import Agreements  # only where it is on
    from rushhitch.partners.handshake import Handshake

    asking = deployment.events.handshake
    agreements = Agreements(asking.origin, asking.rate, asking.renew_s * 1000.0)
    seams = (node.endpoints.ask, node.limits.set_stated_limits, node.registry)
    handshake = Handshake(*seams, agreements, asking.destinations, deployment.events.path)
    node.set_gate(handshake)
    return handshake


def make_sinks(configuration: Configuration) -> Sinks | None:
    """Where clients may have ends told."""
    events = configuration.deployment.events
    if events is None or events.sinks is None:
        return None
    from rushhitch.cloudevents.sinks import Sinks  # with its library: only where it is on

    told = events.sinks
    return Sinks(told.destinations, told.cls, events.source, told.attribute, told.type_prefix)


def listen_for_events(
    clients: ConnectionManager,
    configuration: Configuration,
    sinks: Sinks | None,
    passed: socket.socket | None = None,
) -> None:
    """The CloudEvents front, beside RESP2 and within the same bounds."""
    from rushhitch.acceptor import Verdict
    from rushhitch.cloudevents.mapping import Acks, Rules  # with its library: only where it is on
    from rushhitch.fronts.cloudevents import CloudEventsConnection, front

    events = configuration.deployment.events
    assert events is not None and events.listen is not None, "asked for only where it is set"
    most_ms = {cls.name: cls.deadline_ms for cls in configuration.settings.classes}
    acks = None
    if (later := events.acknowledgements) is not None:
        verdicts = {kind: Verdict(told) for kind, told in later.types.items()}
        acks = Acks(later.sources, verdicts, events.source, later.id_attribute, later.source_attribute)
    more = (events.usual_ms, acks, sinks)
    rules = Rules(events.types, most_ms, events.destination, events.destinations, *more)
    try:
        address = clients.listen(events.listen, CloudEventsConnection.name, front(rules), passed)
    except OSError as error:
        raise ConfigurationError(f"[cloudevents] listen: {error}") from None
    log.info("CloudEvents are taken on %s:%d", *address)


async def reload(
    changed: asyncio.Event,
    configuration: Configuration,
    node: Node,
    kept: KeptSettings,
    platform: PlatformClient,
) -> None:
    """After each SIGHUP, go on with the file's `settings` and `discovery`, or with neither; all else in it
    waits for a restart."""
    while True:
        await changed.wait()
        changed.clear()
        try:
            new = read_configuration(os.environ)
            if missing := missing_key(new.raw, configuration.raw):
                raise ConfigurationError(f"{missing} is missing, and the settings in force have it")
            check_classes(new)
            history = kept.with_taken(new, node.numbers + 1)
            node.reconfigure(in_force(new), history)
        except ValueError as error:
            node.metrics.reconfig_failed += 1
            log.error("SIGHUP: the old configuration stays: %s", error)
            continue
        except Exception:  # guards against a fault of our own, after which no SIGHUP would be heard
            node.metrics.reconfig_failed += 1
            log.exception("SIGHUP: the old configuration stays")
            continue
        node.metrics.reconfig_ok += 1
        kept.keep(history, node)
        log.info("SIGHUP: discovery is at %s:%d", *new.discovery)
        if new.discovery != configuration.discovery:
            platform.move(new.discovery)
        configuration = new


def in_force(configuration: Configuration) -> Settings:
    """The settings as the decisions have them."""
    settings = configuration.settings
    return with_unbatched_kinds(settings) if codecs(configuration.deployment) else settings


def check_classes(configuration: Configuration) -> None:
    """Guards against settings without a class that `deploy/rushhitch.toml` names."""
    events = configuration.deployment.events
    if events is None:
        return
    names = {cls.name for cls in configuration.settings.classes}
    wanted = [("types", name) for name in events.types.values()] + [("usual_ms", n) for n in events.usual_ms]
    if events.sinks is not None:
        wanted.append(("sinks", events.sinks.cls))
    for key, name in wanted:
        if name not in names:
            raise ConfigurationError(
                f"[cloudevents] {key}: no class is called {name!r}: use one of {', '.join(sorted(names))}"
            )


def configuration_in_force(environ: Mapping[str, str]) -> Configuration:
    """What the file says, or, while it makes no sense, what the last one said that did."""
    try:
        return read_configuration(environ)
    except ConfigurationFileError as error:
        try:
            content = verified_content((Path(environ["ROUTER_STATE"]) / SETTINGS).read_bytes())
            told = SettingsHistory.decode(content).newest_file()
            if told is None:
                raise error
            configuration = parse_configuration(told, environ, f"the last good one, in {SETTINGS}")
        except (OSError, ValueError):
            raise error from None
        log.error("the last good configuration is used: %s", error)
        return configuration


class KeptSettings:
    """The history of settings in its file: what messages were taken under outlasts the process."""

    def __init__(self, journal: Journal) -> None:
        self.journal, self.side = journal, SidecarFile(journal, SETTINGS)
        try:
            self.history = SettingsHistory.decode(self.side.load())
        except ValueError as error:
            log.error("%s: open messages keep the settings of now", error)
            self.history = SettingsHistory()

    def with_taken(self, configuration: Configuration, since: int) -> SettingsHistory:
        oldest = min(self.journal.live, default=since)
        return self.history.with_change(configuration.raw, configuration.settings, since).pruned(oldest)

    def take(self, configuration: Configuration, node: Node) -> None:
        """At the start: the file's settings hold for what comes."""
        self.keep(self.with_taken(configuration, node.numbers + 1), node)

    def keep(self, history: SettingsHistory, node: Node) -> None:
        self.history = node.history = history
        try:
            self.side.store(history.encode())
        except OSError as error:
            log.error("the settings in force are not kept, a restart goes by the file alone: %s", error)


class Desk:
    """What the control address stands for in this process: an owner of all, or one that waits to be, or one
    that has handed over. Bans are the owner's to answer; the other passes them on."""

    def __init__(self) -> None:
        self.operators: OperatorCommands | None = None
        self.ready = False
        self.known = (0, 0)  # endpoints listed and avoided, as the owner told
        self.relay: Callable[[bytes], asyncio.Future[bytes]] | None = None

    def promised(self, listed: int, down: int) -> None:
        """This process takes over as soon as the one before it is told to end."""
        self.ready, self.known = True, (listed, down)

    def become_owner(self, operators: OperatorCommands) -> Callable[[bytes], bytes]:
        """From now on this process owns all; gives what carries out a word that another was told."""
        self.operators, self.relay = operators, None
        return lambda line: answer(line, self)

    def pass_on(self, relay: Callable[[bytes], asyncio.Future[bytes]]) -> None:
        """From now on another process owns all. Not before: it drops words that come ahead of `yield`, and a
        ban that is written until then it finds in the folder."""
        self.relay = relay

    def answer(self, line: bytes) -> bytes | asyncio.Future[bytes]:
        if self.relay is not None:
            try:
                passes_on = TAKES_ID[parse(line).word]
            except BadCommand:
                passes_on = False  # it is refused here
            if passes_on:
                return self.relay(line)
        return answer(line, self)

    def ping(self) -> None:
        if not self.ready:
            raise CommandRefused("not ready: it takes no messages now")

    def info(self) -> dict[str, Any]:
        return Metrics().report(0, 0, *self.known) if self.operators is None else self.operators.info()

    def detach(self, endpoint: str) -> None:
        if self.operators is None:
            raise CommandRefused("not ready")
        self.operators.detach(endpoint)

    def attach(self, endpoint: str) -> None:
        if self.operators is None:
            raise CommandRefused("not ready")
        self.operators.attach(endpoint)


async def open_control(desk: Desk, configuration: Configuration) -> ControlServer | None:
    """The operators' address, where there is one."""
    if configuration.control is None:
        return None
    control = ControlServer(desk.answer)
    try:
        address = await control.listen(configuration.control)
    except OSError as error:
        raise ConfigurationError(f"ROUTER_CONTROL: {error}") from None
    log.info("operators are answered on %s:%d", *address)
    return control
