"""The dispatcher service: wires the components together and runs them from start to shutdown."""

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
from rushhitch.discovery import PlatformClient, Watch
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.fronts.resp2 import Resp2Connection
from rushhitch.journal import Journal
from rushhitch.journal.boot import boot_id
from rushhitch.journal.sidecar import SidecarFile, verified_content
from rushhitch.journal.steady_clock import steady_clock_offset_s
from rushhitch.notices import MAX_OPEN_REQUESTS, NoticeSender
from rushhitch.partners.codec import Codec
from rushhitch.succession.handover import Handover
from rushhitch.succession.states import Action
from rushhitch.succession.takeover import Inheritance, Takeover

if TYPE_CHECKING:
    from rushhitch.cloudevents.sinks import Sinks
    from rushhitch.membership.server import Server as Member
    from rushhitch.partners.handshake import Handshake
    from rushhitch.planning.client import PlannerClient
    from rushhitch.sharing.server import Sharing

log = logging.getLogger("rushhitch")

# Seconds after SIGTERM. Clients go on connecting for a while; connections are closed only later, since their
# clients would crowd the other dispatchers.
ACCEPT_PERIOD_S = 0.6  # new connections are accepted
CONNECTION_GRACE_S = 2.0  # connections are kept
SHUTDOWN_DEADLINE_S = 3.3  # messages still open then stay in the journal
# Descriptors kept from clients and endpoints: some 12 for the process itself (log, loop, lock, listeners,
# newest segment), 1 for the watch, those of requests with notices, 2 for files being replaced or reread, and
# 2 * `MAX_ACCEPTS_PER_STEP` for clients that are being rejected or evicted.
RESERVED_DESCRIPTORS = 47 + MAX_OPEN_REQUESTS
CONTROL_DESCRIPTORS = MAX_CONNECTIONS + 4  # kept for operators and a successor, with a control address
CLIENT_SHARE = 1 / 3  # of the descriptors, at most for clients' requests
MIN_CONNECTIONS = 4  # for clients, and for endpoints, however few descriptors there are
PARTIAL_REQUESTS_SHARE = 0.1  # of the memory, at most for partly received requests
SETTINGS_FILE = "settings"  # with their history, in the state folder
STATUS_INTERVAL_S = 2.0  # between status lines in the log
FLEET_SIZE_INTERVAL_S = 0.5  # between updates of the number of active dispatchers, with membership
SPARE_CLIENTS = 24  # descriptors beyond `CLIENT_SHARE` for clients that are being rejected


async def serve(configuration: Configuration, forward: bool = False) -> None:
    """Run the dispatcher until SIGTERM or SIGINT, and shut it down. With `forward` it reports demand to
    planners and keeps to the limits that they grant."""
    loop = asyncio.get_running_loop()
    stop, changed = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signals.attach(number, lambda: loop.call_soon_threadsafe(stop.set))
    signals.attach(signal.SIGHUP, lambda: loop.call_soon_threadsafe(changed.set))
    await asyncio.sleep(0)  # handle pending signals before anything is owned
    if stop.is_set():
        log.info("%s was stopped before it started", configuration.name)
        return
    control_handler = ControlHandler()
    control = await start_control(control_handler, configuration)
    takeover = Takeover(configuration, control_handler.takeover_agreed)
    control_handler.relay = takeover.relay.ask
    takeover_task = loop.create_task(takeover.inherit())
    stop_task = loop.create_task(stop.wait())
    await asyncio.wait((takeover_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
    if not takeover_task.done():
        takeover_task.cancel()
        takeover.give_up()
        log.info("%s was stopped before it took over", configuration.name)
        return
    inheritance = takeover_task.result()
    if inheritance.waited:  # the file may have changed meanwhile
        configuration = load_configuration(os.environ)
    service = Service(configuration, inheritance, control_handler, forward)
    try:
        service.start(takeover, changed)
        await stop.wait()
        await service.end()
    finally:
        service.close()
        if control is not None:
            control.stop()


class Service:
    """A running dispatcher that owns its state folder."""

    def __init__(
        self,
        configuration: Configuration,
        inheritance: Inheritance,
        control_handler: ControlHandler,
        forward: bool,
    ) -> None:
        self.configuration, self.inheritance, self.control_handler = (
            configuration,
            inheritance,
            control_handler,
        )
        self.loop = asyncio.get_running_loop()
        self.journal = journal = inheritance.journal
        detached, settings_store = DetachedEndpoints(journal), SettingsStore(journal)
        max_clients, max_connections = connection_limits(configuration)
        self.notices = NoticeSender(configuration.discovery, lambda number: node.notice_heard(number))
        codecs = partner_codecs(configuration.deployment)
        check_classes(configuration)
        settings = effective_settings(configuration)
        self.node = node = Node(
            settings,
            Dispatcher(settings, configuration.seed),
            journal,
            self.notices.add,
            max_connections,
            codecs,
            configuration.deployment.events.remember_s
            if configuration.deployment.events is not None
            else 0.0,
            detached,
            settings_store.history,
        )
        node.ahead_s = steady_clock_offset_s(journal, time.time(), time.monotonic(), boot_id())
        settings_store.apply_at_start(configuration, node)
        self.settings_store = settings_store
        self.handshake = make_handshake(node, configuration.deployment)
        node.sinks = make_sinks(configuration)
        self.planners = make_planners(node, configuration) if forward else None
        self.clients = ConnectionManager(
            node, max_clients, int(PARTIAL_REQUESTS_SHARE * configuration.memory_bytes)
        )
        known = configuration.known
        if inheritance.handover_state is not None:
            known = {name: inheritance.handover_state[name] for name in ("version", "servers")} | {
                "full": True
            }
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
            control_handler.become_owner(operators),
        )
        self.member = make_member(configuration, inheritance.handover_state)
        self.sharing = make_sharing(node, configuration, self.member)
        self.transfer.more = self.hand_over_membership
        self.reload_task: asyncio.Task[None] | None = None
        self.fleet_size_timer: asyncio.TimerHandle | None = None
        self.status_timer: asyncio.TimerHandle | None = None

    def start(self, takeover: Takeover, changed: asyncio.Event) -> None:
        """Resume the open messages and start serving. Raises `ConfigurationError` for an address in use."""
        configuration, node, state = self.configuration, self.node, self.inheritance.handover_state
        if state is not None:
            self.transfer.adopt_waits(state["waits"])
            resume(node, state["learned"], [InheritedAttempt(*loan) for loan in state["loans"]])
        else:
            resume(node)
        if any(message.kept.destination not in node.registry.destinations for message in node.by_id.values()):
            self.watch.schedule.initial_spread_s = 0.0  # resumed messages wait for the list: ask at once
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
            self.update_fleet_size()
        if self.sharing is not None:
            self.sharing.start()
        self.reload_task = self.loop.create_task(
            reload(changed, configuration, node, self.settings_store, self.platform)
        )
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
        for listener in listeners.values():  # of fronts that are now off
            listener.close()
        self.follow_predecessor(takeover)
        if configuration.control is not None:
            self.handover.start()
        self.control_handler.ready = True
        self.log_status()
        log.info(
            "%s is ready on %s:%d, %d messages resumed",
            configuration.name,
            *self.clients.address,
            len(node.by_id),
        )

    def follow_predecessor(self, takeover: Takeover) -> None:
        """Follow the predecessor: adopt its client connections and the outcomes of its outstanding calls."""
        node, transfer = self.node, self.transfer

        def attempt_ended(frame: dict[str, Any]) -> None:
            transfer.inherited_attempt_ended(
                int(frame["message"]),
                int(frame["attempt"]),
                Outcome(frame["outcome"]),
                frame["took_ms"],
                frame["wait_ms"],
                frame["over"],
                frame["later"],
                frame.get("final", False),
            )

        takeover.adopt, takeover.on_attempt_ended, takeover.on_predecessor_lost = (
            self.clients.adopt,
            attempt_ended,
            transfer.fail_inherited_attempts,
        )
        takeover.abandon = node.abandon
        takeover.relay.run_command, node.cancel_inherited = (
            self.handover.relay.run_command,
            takeover.cancel_inherited,
        )
        takeover.start_following()

    def log_status(self, before: dict[str, int] | None = None) -> None:
        """Log the status periodically if it changed, so that the last line before a kill shows it."""
        status = self.node.status()
        if before is not None and status != before:
            log.info("under way", extra=status)
        self.status_timer = self.loop.call_later(STATUS_INTERVAL_S, self.log_status, status)

    def update_fleet_size(self) -> None:
        """Periodically set the number of dispatchers that shared limits are divided by to the most that may
        be active."""
        assert self.member is not None, "called only with membership"
        self.fleet_size_timer = self.loop.call_later(FLEET_SIZE_INTERVAL_S, self.update_fleet_size)
        max_active = self.member.bounds(self.loop.time()).most
        self.node.resize(max_active)
        self.watch.schedule.resize(max_active)

    def hand_over_membership(self) -> dict[str, Any]:
        """Stop as a member without a leave: the successor goes on as the same member in a higher
        incarnation."""
        if self.member is None:
            return {}
        if self.fleet_size_timer is not None:
            self.fleet_size_timer.cancel()
        if self.sharing is not None:
            self.sharing.stop()
        self.member.stop(leave=False)
        return {"incarnation": self.member.detector.table.own.incarnation}

    async def end(self) -> None:
        """After SIGTERM: hand over to a successor if one is ready, or else shut down."""
        leave_at = self.loop.time() + SHUTDOWN_DEADLINE_S
        self.control_handler.ready = False
        if self.handover.incumbent.sigterm_received() is Action.YIELD:
            log.info("%s hands over, %d messages held", self.configuration.name, len(self.node.by_id))
            self.handover.on_yielded = lambda: self.control_handler.relay_to(self.handover.relay.ask)
            self.platform.stop()
            if self.reload_task is not None:
                self.reload_task.cancel()  # the successor owns the settings file from now on
            if await self.handover.hand_over(leave_at):
                self.clients.stop_listening()
                return
            self.clients.resume_listening()
            self.platform.start()
        await self.leave(leave_at)

    async def leave(self, leave_at: float) -> None:
        """Shut down without a successor. `leave_at` is the deadline on the loop's clock; messages that are
        open then stay in the journal."""
        node, clients = self.node, self.clients
        log.info("%s is leaving, %d messages held", self.configuration.name, len(node.by_id))
        node.leaving(leave_at)
        finish_at = self.loop.time() + CONNECTION_GRACE_S
        await asyncio.sleep(ACCEPT_PERIOD_S)
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
        await self.transfer.freeze()  # calls not yet written whole never ran: journal that
        await self.transfer.end_calls()
        clients.close_all()
        node.commit()
        held = len(self.journal.live)
        log.info(
            "%s ends, %d messages stay in the journal",
            self.configuration.name,
            held,
            extra=self.shutdown_summary(),
        )

    def shutdown_summary(self) -> dict[str, Any]:
        """The fields of the last log line: open messages, refusals, and why connections were closed."""
        notices = sum(entry.notice is not None for entry in self.journal.live.values())
        fields = {
            "open": len(self.node.by_id),
            "notices": notices,
            "held_back": self.node.endpoints.held_back,
            "notices_sent": self.notices.schedule.sent,
            "notices_repeated": self.notices.schedule.repeated,
        }
        fields |= {f"refused.{reason}": count for reason, count in self.node.lifecycle.counts().items()}
        return fields | {f"closed.{reason}": count for reason, count in sorted(self.clients.closed.items())}

    def close(self) -> None:
        self.node.lifecycle.enter(Phase.CLOSED)
        self.clients.close_all()
        if self.reload_task is not None:
            self.reload_task.cancel()
        if self.status_timer is not None:
            self.status_timer.cancel()
        if self.fleet_size_timer is not None:
            self.fleet_size_timer.cancel()
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
        self.node.lifecycle.enter(Phase.RELINQUISHED)  # late outcomes are the next process's


def connection_limits(configuration: Configuration) -> tuple[int, int]:
    """The maximum numbers of client connections and of connections to endpoints.

    They divide the platform's limit on descriptors, or the system's if it is lower. The shares must not
    overlap, since otherwise idle clients could hold up calls, the watch or the journal."""
    descriptors, system = configuration.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if system != resource.RLIM_INFINITY:
        descriptors = min(descriptors, system)
    available = (
        descriptors - RESERVED_DESCRIPTORS - (CONTROL_DESCRIPTORS if configuration.control is not None else 0)
    )
    if available < 2 * MIN_CONNECTIONS:
        log.warning("descriptor limit %d is too low: clients may be rejected and calls delayed", descriptors)
        available = 2 * MIN_CONNECTIONS
    clients = min(int(CLIENT_SHARE * descriptors) + SPARE_CLIENTS, available // 2)
    return clients, available - clients


def make_planners(node: Node, configuration: Configuration) -> PlannerClient:
    """The client of the planners, which counts demand per lane and applies their grants."""
    from rushhitch.planning.client import PlannerClient  # imported on demand, with its libraries
    from rushhitch.planning.counts import LaneCounts

    node.limits.counts = LaneCounts([cls.worth for cls in configuration.settings.classes])
    deployment, name = configuration.deployment, configuration.name
    return PlannerClient(
        name, dict(deployment.planners), deployment.secret, node.limits.collect, node.limits.apply_allowance
    )


def make_member(configuration: Configuration, handover_state: Mapping[str, Any] | None) -> Member | None:
    """The membership server, if it is configured; after an upgrade it continues as the predecessor's
    member."""
    if (membership := configuration.deployment.membership) is None:
        return None
    from rushhitch.membership.server import Server  # imported on demand, with its library

    settings = replace(membership, name=membership.name or configuration.name)
    fleet = membership.fleet or configuration.settings.dispatchers
    return Server(settings, fleet, int((handover_state or {}).get("incarnation", 0)), configuration.state)


def make_sharing(node: Node, configuration: Configuration, member: Member | None) -> Sharing | None:
    """This dispatcher's share of partners' rate limits, if members share them."""
    if (settings := configuration.deployment.sharing) is None or member is None:
        return None
    from rushhitch.planning.counts import LaneCounts  # imported on demand, with its library
    from rushhitch.sharing import server

    node.limits.counts = LaneCounts([cls.worth for cls in configuration.settings.classes])
    name, fleet = member.settings.name, member.detector.table.fleet
    sharing = server.Sharing(name, fleet, settings.floor, member, node.limits.needs)
    node.limits.shared = sharing.part
    return sharing


def partner_codecs(deployment: DeploymentSettings) -> dict[int, Codec]:
    """The codecs of the destinations that do not use the platform's protocol, by destination number."""
    if deployment.events is None or not deployment.events.partners:
        return {}
    from rushhitch.partners.cloudevents import CloudEvents  # imported on demand, with its library

    types = {cls: kind for kind, cls in deployment.events.types.items() if not kind.endswith("*")}
    acknowledgements = deployment.events.acknowledgements
    acknowledging = (
        frozenset(acknowledgements.sources.values()) if acknowledgements is not None else frozenset()
    )
    by_mode = {
        (mode, acknowledged): CloudEvents(
            mode, deployment.events.source, types, deployment.events.path, acknowledged
        )
        for mode in MODES
        for acknowledged in (False, True)
    }
    return {
        number: by_mode[mode, number in acknowledging] for number, mode in deployment.events.partners.items()
    }


def make_handshake(node: Node, deployment: DeploymentSettings) -> Handshake | None:
    """Asks partners for consent to events, if that is configured, and gates the node's calls by it."""
    if deployment.events is None or deployment.events.handshake is None:
        return None
    from rushhitch.partners.agreements import Agreements  # imported on demand
    from rushhitch.partners.handshake import Handshake

    settings = deployment.events.handshake
    agreements = Agreements(settings.origin, settings.rate, settings.renew_s * 1000.0)
    node_parts = (node.endpoints.ask, node.limits.set_stated_limits, node.registry)
    handshake = Handshake(*node_parts, agreements, settings.destinations, deployment.events.path)
    node.set_gate(handshake)
    return handshake


def make_sinks(configuration: Configuration) -> Sinks | None:
    """The destinations that clients may name to receive outcomes, if any are configured."""
    events = configuration.deployment.events
    if events is None or events.sinks is None:
        return None
    from rushhitch.cloudevents.sinks import Sinks  # imported on demand, with its library

    settings = events.sinks
    return Sinks(settings.destinations, settings.cls, events.source, settings.attribute, settings.type_prefix)


def listen_for_events(
    clients: ConnectionManager,
    configuration: Configuration,
    sinks: Sinks | None,
    passed: socket.socket | None = None,
) -> None:
    """Start the CloudEvents front, which shares the client limits with RESP2; `passed` is the predecessor's
    listener."""
    from rushhitch.acceptor import Verdict
    from rushhitch.cloudevents.mapping import AckRules, Rules  # imported on demand, with its library
    from rushhitch.fronts.cloudevents import CloudEventsConnection, front

    events = configuration.deployment.events
    assert events is not None and events.listen is not None, "called only with a listen address"
    deadlines_ms = {cls.name: cls.deadline_ms for cls in configuration.settings.classes}
    acks = None
    if (acknowledgements := events.acknowledgements) is not None:
        verdicts = {kind: Verdict(value) for kind, value in acknowledgements.types.items()}
        acks = AckRules(
            acknowledgements.sources,
            verdicts,
            events.source,
            acknowledgements.id_attribute,
            acknowledgements.source_attribute,
        )
    options = (events.usual_ms, acks, sinks)
    rules = Rules(events.types, deadlines_ms, events.destination, events.destinations, *options)
    try:
        address = clients.listen(events.listen, CloudEventsConnection.name, front(rules), passed)
    except OSError as error:
        raise ConfigurationError(f"[cloudevents] listen: {error}") from None
    log.info("CloudEvents are taken on %s:%d", *address)


async def reload(
    changed: asyncio.Event,
    configuration: Configuration,
    node: Node,
    settings_store: SettingsStore,
    platform: PlatformClient,
) -> None:
    """After each SIGHUP, apply both `settings` and `discovery` of the file, or neither if the file is
    invalid. Everything else in it takes effect at a restart."""
    while True:
        await changed.wait()
        changed.clear()
        try:
            new = read_configuration(os.environ)
            if missing := missing_key(new.raw, configuration.raw):
                raise ConfigurationError(f"{missing} is missing, but is in the current configuration")
            check_classes(new)
            history = settings_store.history_with(new, node.numbers + 1)
            node.reconfigure(effective_settings(new), history)
        except ValueError as error:
            node.metrics.reconfig_failed += 1
            log.error("SIGHUP: the old configuration stays: %s", error)
            continue
        except Exception:  # a bug must not end this task: later SIGHUPs would be ignored
            node.metrics.reconfig_failed += 1
            log.exception("SIGHUP: the old configuration stays")
            continue
        node.metrics.reconfig_ok += 1
        settings_store.keep(history, node)
        log.info("SIGHUP: discovery is at %s:%d", *new.discovery)
        if new.discovery != configuration.discovery:
            platform.move(new.discovery)
        configuration = new


def effective_settings(configuration: Configuration) -> Settings:
    """The settings as the decision logic has them."""
    settings = configuration.settings
    return with_unbatched_kinds(settings) if partner_codecs(configuration.deployment) else settings


def check_classes(configuration: Configuration) -> None:
    """Raises `ConfigurationError` if `deploy/rushhitch.toml` names a class that the settings do not have."""
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
                f"[cloudevents] {key}: unknown class {name!r}: use one of {', '.join(sorted(names))}"
            )


def load_configuration(environ: Mapping[str, str]) -> Configuration:
    """The configuration in the file, or the last valid one while the file is invalid. Raises
    `ConfigurationError`."""
    try:
        return read_configuration(environ)
    except ConfigurationFileError as error:
        try:
            content = verified_content((Path(environ["ROUTER_STATE"]) / SETTINGS_FILE).read_bytes())
            raw = SettingsHistory.decode(content).newest_file()
            if raw is None:
                raise error
            configuration = parse_configuration(raw, environ, f"last valid configuration, in {SETTINGS_FILE}")
        except (OSError, ValueError):
            raise error from None
        log.error("the last good configuration is used: %s", error)
        return configuration


class SettingsStore:
    """The history of settings, stored in a file: messages keep their settings across restarts."""

    def __init__(self, journal: Journal) -> None:
        self.journal, self.file = journal, SidecarFile(journal, SETTINGS_FILE)
        try:
            self.history = SettingsHistory.decode(self.file.load())
        except ValueError as error:
            log.error("%s: open messages get the current settings", error)
            self.history = SettingsHistory()

    def history_with(self, configuration: Configuration, since: int) -> SettingsHistory:
        oldest = min(self.journal.live, default=since)
        return self.history.with_change(configuration.raw, configuration.settings, since).pruned(oldest)

    def apply_at_start(self, configuration: Configuration, node: Node) -> None:
        """The file's settings apply to new messages."""
        self.keep(self.history_with(configuration, node.numbers + 1), node)

    def keep(self, history: SettingsHistory, node: Node) -> None:
        self.history = node.history = history
        try:
            self.file.store(history.encode())
        except OSError as error:
            log.error("current settings were not stored, a restart will use the file alone: %s", error)


class ControlHandler:
    """Answers operators before, during and after this process's ownership of the state folder. Only the owner
    can detach and attach endpoints; otherwise the commands are relayed to the other process of the
    upgrade."""

    def __init__(self) -> None:
        self.operators: OperatorCommands | None = None
        self.ready = False
        self.endpoint_counts = (0, 0)  # endpoints listed and down, as reported by the owner
        self.relay: Callable[[bytes], asyncio.Future[bytes]] | None = None

    def takeover_agreed(self, listed: int, down: int) -> None:
        """The takeover is agreed: SIGTERM to the predecessor starts it."""
        self.ready, self.endpoint_counts = True, (listed, down)

    def become_owner(self, operators: OperatorCommands) -> Callable[[bytes], bytes]:
        """This process owns the state from now on. Returns the function that runs commands which the
        predecessor relays."""
        self.operators, self.relay = operators, None
        return lambda line: answer(line, self)

    def relay_to(self, relay: Callable[[bytes], asyncio.Future[bytes]]) -> None:
        """The successor owns the state from now on. Must not be called before `yield` is sent: the successor
        drops commands that come ahead of it, and reads from the folder what was detached until then."""
        self.relay = relay

    def answer(self, line: bytes) -> bytes | asyncio.Future[bytes]:
        if self.relay is not None:
            try:
                needs_owner = TAKES_ID[parse(line).word]
            except BadCommand:
                needs_owner = False  # rejected below
            if needs_owner:
                return self.relay(line)
        return answer(line, self)

    def ping(self) -> None:
        if not self.ready:
            raise CommandRefused("not ready: it takes no messages now")

    def info(self) -> dict[str, Any]:
        return (
            Metrics().report(0, 0, *self.endpoint_counts) if self.operators is None else self.operators.info()
        )

    def detach(self, endpoint: str) -> None:
        if self.operators is None:
            raise CommandRefused("not ready")
        self.operators.detach(endpoint)

    def attach(self, endpoint: str) -> None:
        if self.operators is None:
            raise CommandRefused("not ready")
        self.operators.attach(endpoint)


async def start_control(
    control_handler: ControlHandler, configuration: Configuration
) -> ControlServer | None:
    """Start the control server, if it is configured."""
    if configuration.control is None:
        return None
    control = ControlServer(control_handler.answer)
    try:
        address = await control.listen(configuration.control)
    except OSError as error:
        raise ConfigurationError(f"ROUTER_CONTROL: {error}") from None
    log.info("operators are answered on %s:%d", *address)
    return control
