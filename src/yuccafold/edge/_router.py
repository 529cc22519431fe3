"""The process of the edge router: its tasks, startup and shutdown."""

from __future__ import annotations

import json
import random
from dataclasses import replace
from functools import partial
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold._supervisor import ChildSpec
from yuccafold._supervisor import Supervisor
from yuccafold.edge._call import Call
from yuccafold.edge._caller import EdgeCaller
from yuccafold.edge._draining import DrainSchedule
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._forward import EdgeForwarder
from yuccafold.edge._gate import Gate
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import CallerLimits
from yuccafold.edge._pages import MAX_PAGE_CONNECTIONS
from yuccafold.edge._pages import PageServer
from yuccafold.edge._peers import PeerSource
from yuccafold.edge._peers import ViewPage
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.edge._platform_source import Decode
from yuccafold.edge._platform_source import PlatformSource
from yuccafold.edge._platform_source import PlatformUnavailableError
from yuccafold.edge._platform_source import RememberingSource
from yuccafold.edge._positions import revision_of
from yuccafold.edge._reach_probe import ReachProbe
from yuccafold.edge._reader import ViewReader
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._settings import SocketAddress
from yuccafold.edge._target_history import TargetHistory
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView
from yuccafold.edge.reports import FleetReports
from yuccafold.http import ConnectionPool
from yuccafold.http import Listener
from yuccafold.intake import Intake

FIRST_VIEW_TIMEOUT = Milliseconds(600)
"""How long calls wait in the listen backlog for the first view of the platform, before
they are refused. Reading it takes a few ms, or half a second for a long configuration
on a slow link."""

DRAIN_POLL_INTERVAL = Milliseconds(50)
"""How often a draining process checks whether its calls have ended."""

REPORT_SHARING_INTERVAL = Milliseconds(250)
"""How often seeds exchange the reports that they received from VMs; calls last one to
four seconds."""

QUARANTINE_PATH = "/quarantine"
EXPLAIN_PATH = "/explain"
EXEMPT_SETTING = "quarantine.exempt_parts"

POOL_SWEEP_INTERVAL = Milliseconds(1_000)
"""How often expired idle connections are closed."""


@final
class EdgeRouter:
    """Serves callers by the routes and targets that the platform publishes.

    Each VM runs one router.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        store: RememberingSource,
        decode: Decode,
        translator: CallTranslator,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._translator = translator
        self._clock = clock
        self._rng = rng
        self._metrics = EdgeMetrics()
        self._view = PlatformView(
            settings.drain_within,
            settings.heartbeat_interval,
            TargetHistory(settings.apply_within, settings.key_lifetime),
            settings.evacuate_within,
        )
        self._targets = Targets(self._view, settings, rng)
        self._gate = Gate(self._view, settings, rng)
        self._pool = ConnectionPool(clock)
        self._forwarder = EdgeForwarder(
            clock,
            rng,
            settings,
            self._targets,
            self._pool,
            translator,
            self._metrics,
            self._report_soon,
        )
        self._reach_probe = ReachProbe(
            clock,
            rng,
            self._targets,
            self._forwarder.record_cut,
            self._metrics,
            translator,
        )
        self._table = EntryTable()
        self._fleet_reports = FleetReports(self._targets.evidence.topics)
        self._reader = ViewReader(
            clock,
            rng,
            settings,
            store,
            self._peers(),
            decode,
            self._table,
            self._view,
            self._targets,
            self._metrics,
        )
        self._intake = Intake(settings.intake)
        self._callers: set[EdgeCaller] = set()
        self._draining = trio.Event()
        self._drain_schedule: DrainSchedule | None = None

    @property
    def draining(self) -> bool:
        """Whether the process has begun to stop."""
        return self._drain_schedule is not None

    @property
    def ready(self) -> bool:
        """Whether new calls should come to this VM."""
        return not self.draining and self._gate.is_ready(self._clock.now())

    @property
    def settings_version(self) -> int:
        """The version of the configuration in force; 0 before the first."""
        return self._view.version

    @property
    def limits(self) -> CallerLimits:
        """The limits for callers in the catalogue in force, or the defaults."""
        catalogue = self._view.catalogue
        return CallerLimits() if catalogue is None else catalogue.limits

    def may_take(self, call: Call) -> bool:
        """Return whether a call is taken; false if a stop would cut it."""
        schedule = self._drain_schedule
        return schedule is None or schedule.may_take(call.arrived_at, call.deadline)

    def drain(self) -> None:
        """Begin to stop: report not ready from now on; running calls continue."""
        if not self.draining:
            log_event("drain_started", connections=len(self._callers))
            self._drain_schedule = DrainSchedule(
                self._clock.now(), self._settings.grace_period
            )
            self._draining.set()

    def reload(self, settings: EdgeSettings) -> None:
        """Apply new seeds, exempt parts and feature modes; others need a restart."""
        changed = [
            name
            for name in settings.__slots__
            if name != "metrics_port"
            and getattr(settings, name) != getattr(self._settings, name)
        ]
        log_event("settings_reloaded", changed=",".join(changed) or "nothing")
        self._settings = replace(
            self._settings,
            seeds=settings.seeds,
            exempt_parts=settings.exempt_parts,
            sharing=settings.sharing,
            placing_by_work=settings.placing_by_work,
        )
        self._targets.apply_settings(self._settings)
        if "seeds" in changed:
            self._reader.apply_settings(self._settings, self._peers())

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until drained; reports the address for callers once it is bound."""
        settings = self._settings
        caller_listener = await Listener.open(
            str(settings.callers),
            settings.intake.connections,
            self._intake.make_room,
        )
        pages = [
            (await server.listen(address), server)
            for address, server in self._page_servers()
        ]
        log_event(
            "started",
            vm=settings.vm,
            zone=settings.zone,
            callers=caller_listener.address,
            platform=settings.platform,
            reads_platform=settings.reads_platform,
            seeds=",".join(map(str, settings.seeds)),
        )
        self._targets.evidence.helpers.set_address(caller_listener.address)
        task_status.started(caller_listener.address)
        supervisor = Supervisor("edge", self._clock, self._rng)
        children = [
            ChildSpec("reader", self._reader.run),
            ChildSpec("pool", self._sweep_pool),
            ChildSpec("reports", self._share_reports),
            ChildSpec("reach", self._reach_probe.run),
        ]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervisor.run, children)
            with trio.move_on_after(FIRST_VIEW_TIMEOUT / MS_PER_SECOND):
                await self._reader.first_view.wait()
            for listener, server in pages:
                nursery.start_soon(listener.run, server.serve)
            nursery.start_soon(caller_listener.run, self._serve_caller)
            await self._draining.wait()
            await self._drain_callers(caller_listener)
            nursery.cancel_scope.cancel()
        log_event("stopped", connections=len(self._callers))

    def _report_soon(self) -> None:
        self._reader.report_soon()

    def _peers(self) -> list[PlatformSource]:
        settings = self._settings
        others = (seed for seed in settings.seeds if seed != settings.peers)
        return [self._peer(seed) for seed in others]

    def _peer(self, seed: SocketAddress) -> PeerSource:
        return PeerSource(
            self._settings.vm, seed, self._table, self._targets.evidence, self._clock
        )

    def _page_servers(self) -> list[tuple[SocketAddress, PageServer]]:
        settings = self._settings
        limit = min(settings.intake.connections, MAX_PAGE_CONNECTIONS)
        serve_page = partial(PageServer, clock=self._clock, limit=limit)
        servers = [(settings.readiness, serve_page(self._readiness))]
        if settings.peers is not None:
            page = ViewPage(
                self._clock,
                self._table,
                self._view,
                self._targets.evidence,
                self._fleet_reports,
            )
            servers.append((settings.peers, serve_page(page.answer)))
        if settings.metrics_port:
            address = SocketAddress(settings.readiness.host, settings.metrics_port)
            servers.append((address, serve_page(self._operator_page)))
        return servers

    async def _drain_callers(self, listener: Listener) -> None:
        """Accept calls for the notice period, then wait until running calls have ended.

        The wait ends before the grace period does. Calls that no target has answered
        are answered shortly before.
        """
        schedule = self._drain_schedule
        if schedule is None:
            raise AssertionError("expected a stop that has begun")
        await self._sleep_until(schedule.closes_at)
        await listener.stop()
        while self._callers and self._clock.now() < schedule.exits_at:
            for caller in list(self._callers):
                caller.close_if_idle()
            if self._clock.now() >= schedule.answers_at:
                self._forwarder.end_unanswered()
            await trio.sleep(DRAIN_POLL_INTERVAL / MS_PER_SECOND)

    async def _sleep_until(self, time: Milliseconds) -> None:
        await trio.sleep(max(0, time - self._clock.now()) / MS_PER_SECOND)

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        caller = EdgeCaller(
            stream,
            self,
            self._gate,
            self._forwarder,
            self._translator,
            self._clock,
            self._rng,
            self._metrics,
            self._intake,
        )
        self._callers.add(caller)
        try:
            await caller.run()
        finally:
            self._callers.discard(caller)

    def _readiness(self, _: str) -> tuple[int, str]:
        return (200, "ready\n") if self.ready else (503, "not ready\n")

    def _operator_page(self, target: str) -> tuple[int, str]:
        """Return the page for operators at ``target``; by default the metrics."""
        path, _, query = target.partition("?")
        if path == EXPLAIN_PATH:
            return self._explain(query)
        if path == QUARANTINE_PATH:
            rows = self._targets.evidence.quarantine.rows(self._clock.now())
            return 200, json.dumps(list(rows))
        if path.startswith(QUARANTINE_PATH):
            return 404, json.dumps({"error": f"lift by the setting {EXEMPT_SETTING}"})
        return self._metrics_page()

    def _explain(self, query: str) -> tuple[int, str]:
        # Most processes are never asked, and stay smaller without it.
        from yuccafold.edge.explain import Explainer
        from yuccafold.edge.explain import answer_question

        explainer = Explainer(
            self._view, self._targets, self._settings, self._rng, self.may_take
        )
        return answer_question(explainer, query, self._clock.now())

    def _metrics_page(self) -> tuple[int, str]:
        targets, leaving = self._view.counts()
        self._metrics.set_gauge("connections", len(self._callers))
        self._metrics.set_gauge("connections_waiting", self._intake.waiting)
        self._metrics.set_gauge("request_bytes", self._intake.held)
        self._metrics.set_gauge("settings_version", self._view.version)
        self._metrics.set_gauge("store_era", self._view.era)
        revision = revision_of(self._view.position)
        self._metrics.set_gauge("store_revision", revision)
        self._metrics.set_gauge("view_age_ms", self._view.age(self._clock.now()) or 0)
        self._metrics.set_gauge("vms", self._targets.evidence.loads.vm_count)
        self._metrics.set_gauge("targets", targets)
        self._metrics.set_gauge("targets_leaving", leaving)
        now = self._clock.now()
        self._metrics.set_gauge("targets_cold", self._view.cold_count(now))
        zones_evacuated = len(self._view.evacuated_zones(now))
        self._metrics.set_gauge("zones_evacuated", zones_evacuated)
        for name, value, labels in self._targets.evidence.work.gauges(now):
            self._metrics.set_gauge(name, value, **labels)
        for service, figures in self._targets.evidence.sharing.figures(now).items():
            for name, value in figures.items():
                self._metrics.set_gauge(f"service_{name}", value, service=service)
        for name, value, labels in self._targets.evidence.sharing.account_totals(now):
            self._metrics.set_gauge(f"{name}_total", value, **labels)
        return 200, self._metrics.render()

    async def _share_reports(self) -> None:
        """On a seed, fetch the sums of the reports that VMs made to the other seeds."""
        peers: dict[SocketAddress, PeerSource] = {}
        while True:
            await trio.sleep(REPORT_SHARING_INTERVAL / MS_PER_SECOND)
            settings = self._settings
            if settings.peers not in settings.seeds:
                continue
            for seed in settings.seeds:
                if seed != settings.peers:
                    peer = peers.setdefault(seed, self._peer(seed))
                    await self._fetch_report(seed, peer)
            now = self._clock.now()
            local_report = self._targets.evidence.topics.local_report(now)
            total = self._fleet_reports.total(local_report, now)
            self._targets.evidence.record_fleet_report(total, local_report, now)

    async def _fetch_report(self, seed: SocketAddress, peer: PeerSource) -> None:
        """Record the report of another seed.

        If it can't be fetched, the VMs that report to that seed stop counting once its
        last report expires.
        """
        try:
            report = await peer.report()
        except PlatformUnavailableError:
            self._metrics.count("report_failures", seed=seed)
            return
        self._fleet_reports.record_seed_report(str(seed), report, self._clock.now())
        if peer.newer_settings is not None:
            self._reader.apply_other_settings(peer.newer_settings)

    async def _sweep_pool(self) -> None:
        while True:
            await trio.sleep(POOL_SWEEP_INTERVAL / MS_PER_SECOND)
            await self._pool.close_expired()
