"""The edge router's process: its tasks, its start and its end."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold._supervisor import ChildSpec
from yuccafold._supervisor import Supervisor
from yuccafold.edge._caller import EdgeCaller
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._forward import EdgeForwarder
from yuccafold.edge._gate import Gate
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import CallerLimits
from yuccafold.edge._pages import PageServer
from yuccafold.edge._peers import PeerSource
from yuccafold.edge._peers import ViewPage
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.edge._platform_source import Decode
from yuccafold.edge._platform_source import PlatformSource
from yuccafold.edge._platform_source import PlatformUnavailableError
from yuccafold.edge._reader import ViewReader
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._settings import SocketAddress
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView
from yuccafold.edge._vm_reports import FleetReports
from yuccafold.http import ConnectionPool
from yuccafold.http import Listener

MAX_CALLERS = 1_800
"""Open connections of callers; each may need one more to a target."""

MAX_PAGE_CONNECTIONS = 512
"""Open connections of the balancer, of operators and of VMs that ask a seed."""

NOTICE_PERIOD = Milliseconds(3_300)
"""How long new calls are taken after a stop began: the platform's balancer asks
every second and sends no more connections after two misses."""

END_MARGIN = Milliseconds(300)
"""How long before the end of the grace period the process ends by itself."""

FIRST_VIEW_WAIT = Milliseconds(600)
"""How long calls wait in the backlog for the first view of the platform, which takes
a few ms, and half a second if it is long and the link slow; then they are refused."""

DRAIN_POLL = Milliseconds(50)
"""How often a stopping process looks whether its calls have ended."""

SHARE_REPORTS = Milliseconds(250)
"""How often seeds tell each other what VMs told them: calls last one to four
seconds."""

POOL_SWEEP = Milliseconds(1_000)
"""How often idle connections past their time are closed."""


@final
class EdgeRouter:
    """Serves callers by what the platform publishes, alone on its VM."""

    def __init__(
        self,
        settings: EdgeSettings,
        store: PlatformSource,
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
        self._view = PlatformView(settings.drain_within)
        self._targets = Targets(self._view, settings, rng)
        self._gate = Gate(self._view, settings, rng)
        self._pool = ConnectionPool(clock)
        self._forwarder = EdgeForwarder(
            clock, rng, settings, self._targets, self._pool, translator, self._metrics
        )
        self._table = EntryTable()
        self._fleet = FleetReports()
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
        self._callers: set[EdgeCaller] = set()
        self._draining = trio.Event()

    @property
    def draining(self) -> bool:
        """Whether the process is about to stop."""
        return self._draining.is_set()

    @property
    def ready(self) -> bool:
        """Whether new calls would be taken."""
        return not self.draining and self._gate.is_ready(self._clock.now())

    @property
    def limits(self) -> CallerLimits:
        """What callers may send by the catalogue in force."""
        catalogue = self._view.catalogue
        return CallerLimits() if catalogue is None else catalogue.limits

    def drain(self) -> None:
        """Begin to stop: not ready from now on, calls go on."""
        if not self.draining:
            log_event("drain_started", connections=len(self._callers))
            self._draining.set()

    def reload(self, settings: EdgeSettings) -> None:
        """Take new seeds; other changes are logged and come with a restart."""
        changed = [
            name
            for name in settings.__slots__
            if name != "metrics_port"
            and getattr(settings, name) != getattr(self._settings, name)
        ]
        log_event("settings_reloaded", changed=",".join(changed) or "nothing")
        if "seeds" in changed:
            self._settings = replace(self._settings, seeds=settings.seeds)
            self._reader.use(self._settings, self._peers())

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until drained; tells the callers' address once it is bound."""
        settings = self._settings
        callers = await Listener.open(str(settings.callers), MAX_CALLERS)
        pages = [
            (await Listener.open(str(address), MAX_PAGE_CONNECTIONS), server)
            for address, server in self._page_servers()
        ]
        log_event(
            "started",
            vm=settings.vm,
            zone=settings.zone,
            callers=callers.address,
            platform=settings.platform,
            reads_platform=settings.reads_platform,
            seeds=",".join(map(str, settings.seeds)),
        )
        task_status.started(callers.address)
        supervisor = Supervisor("edge", self._clock, self._rng)
        children = [
            ChildSpec("reader", self._reader.run),
            ChildSpec("pool", self._sweep_pool),
            ChildSpec("reports", self._share_reports),
        ]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervisor.run, children)
            with trio.move_on_after(FIRST_VIEW_WAIT / MS_PER_SECOND):
                await self._reader.first_view.wait()
            for listener, server in pages:
                nursery.start_soon(listener.run, server.serve)
            nursery.start_soon(callers.run, self._serve_caller)
            await self._draining.wait()
            await self._end(callers)
            nursery.cancel_scope.cancel()
        log_event("stopped", connections=len(self._callers))

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
        servers = [(settings.readiness, PageServer(self._readiness))]
        if settings.peers is not None:
            page = ViewPage(
                self._clock,
                self._table,
                self._view,
                self._targets.evidence,
                self._fleet,
            )
            servers.append((settings.peers, PageServer(page.answer)))
        if settings.metrics_port:
            address = SocketAddress(settings.readiness.host, settings.metrics_port)
            servers.append((address, PageServer(self._metrics_page)))
        return servers

    async def _end(self, callers: Listener) -> None:
        """Take calls for the notice period, then let running ones end."""
        began = self._clock.now()
        last = Milliseconds(began + self._settings.grace_period - END_MARGIN)
        await trio.sleep(NOTICE_PERIOD / MS_PER_SECOND)
        await callers.stop()
        while self._callers and self._clock.now() < last:
            for caller in list(self._callers):
                caller.close_if_idle()
            await trio.sleep(DRAIN_POLL / MS_PER_SECOND)

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
        )
        self._callers.add(caller)
        try:
            await caller.run()
        finally:
            self._callers.discard(caller)

    def _readiness(self, _: str) -> tuple[int, str]:
        return (200, "ready\n") if self.ready else (503, "not ready\n")

    def _metrics_page(self, _: str) -> tuple[int, str]:
        targets, leaving = self._view.counts()
        self._metrics.gauge("connections", len(self._callers))
        self._metrics.gauge("settings_version", self._view.version)
        self._metrics.gauge("view_age_ms", self._view.age(self._clock.now()) or 0)
        self._metrics.gauge("vms", self._targets.evidence.loads.vms)
        self._metrics.gauge("targets", targets)
        self._metrics.gauge("targets_leaving", leaving)
        return 200, self._metrics.render()

    async def _share_reports(self) -> None:
        """As a seed, ask the other seeds for the reports of VMs that ask them."""
        peers: dict[SocketAddress, PeerSource] = {}
        while True:
            await trio.sleep(SHARE_REPORTS / MS_PER_SECOND)
            settings = self._settings
            if settings.peers not in settings.seeds:
                continue
            for seed in settings.seeds:
                if seed != settings.peers:
                    peer = peers.setdefault(seed, self._peer(seed))
                    await self._ask_report(seed, peer)
            now = self._clock.now()
            own = self._targets.evidence.own_report(now)
            total = self._fleet.total(own, now)
            self._targets.evidence.note_fleet(total, own, now)

    async def _ask_report(self, seed: SocketAddress, peer: PeerSource) -> None:
        """Take the sum of another seed; without it that seed's VMs do not count."""
        try:
            report = await peer.report()
        except PlatformUnavailableError:
            self._metrics.count("report_failures", seed=seed)
            return
        self._fleet.note_seed(str(seed), report, self._clock.now())

    async def _sweep_pool(self) -> None:
        while True:
            await trio.sleep(POOL_SWEEP / MS_PER_SECOND)
            await self._pool.close_expired()
