"""Runs one soak test: stand-ins, router processes, clients and faults."""

from __future__ import annotations

import random
import signal
from collections import Counter
from collections import deque
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from itertools import count
from itertools import product
from pathlib import Path
from typing import Any
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._clock import MonotonicClock
from yuccafold._clock import seconds
from yuccafold.soak._clients import COMMON_NAME
from yuccafold.soak._clients import LETHAL_BODY
from yuccafold.soak._clients import SOUND_BODY
from yuccafold.soak._clients import SoakClient
from yuccafold.soak._process import EdgeProcess
from yuccafold.soak._promises import CONTACT_TIME
from yuccafold.soak._promises import PromiseChecker
from yuccafold.soak._promises import Violation
from yuccafold.soak._settings import FaultKind
from yuccafold.soak._settings import SoakSettings
from yuccafold.standins import TARGET_KEY_PREFIX
from yuccafold.standins import BoundAddress
from yuccafold.standins import PlatformStore
from yuccafold.standins import PlatformStoreSettings
from yuccafold.standins import PlatformTarget
from yuccafold.standins import PlatformTargetSettings
from yuccafold.standins import PublishedRoute
from yuccafold.standins import PublishedTarget
from yuccafold.standins import Relay
from yuccafold.standins import RelayMode
from yuccafold.standins import ServedRequest
from yuccafold.standins import StoreCopy
from yuccafold.standins import TargetMode
from yuccafold.standins import attempt_of
from yuccafold.standins import call_headers
from yuccafold.standins import configuration
from yuccafold.standins import first_attempt_of
from yuccafold.standins import has_caller_key
from yuccafold.standins import last_event_of
from yuccafold.standins import shared_parts

MAX_SEED_VMS = 3
FAULTS_OF_THEIR_OWN = frozenset(
    {
        FaultKind.PART_LETHAL,
        FaultKind.STORE_OLDER,
        FaultKind.TARGET_SAYS_LEAVING,
        FaultKind.TARGET_SLOW,
        FaultKind.TARGET_PAUSES,
        FaultKind.TARGET_REPEATS,
        FaultKind.ENTRY_ODD,
        FaultKind.ACCOUNT_HEAVY,
        FaultKind.VM_CUT_OFF,
    }
)
"""Faults that come at times of their own, so that they change no others of a seed."""

FAULTS_OF_ALL_VMS = frozenset({FaultKind.STORE_REFUSES, FaultKind.STORE_FORGETS})
BROKEN_PATHS = (RelayMode.RESETTING, RelayMode.SILENT, RelayMode.ONE_WAY)
KEY_COUNT = 6
OTHER_ACCOUNTS = {"birch": "key-birch", "cedar": "key-cedar"}
"""Accounts beside the one whose keys are revoked, with their keys."""

HEAVY_ACCOUNT = "birch"
HEAVY_MULTIPLE = 9
"""How much more than usual a heavy account sends."""

MAX_SLOWDOWN = 5.0
TARGET_SLOTS = 8
MAX_WAITING = 24
"""Calls that wait at a target, which are enough for those of all clients."""

SERVICE = "desk"
RESUMABLE_FIELDS = (("resumable", True),)
RECOVERY_TIMEOUT_S = 8.0
"""How long after the last fault clients must be served again.

It covers the start of a router, the time to read its view of the platform, and the
time for which targets are avoided after failures.
"""

RESTART_S = 0.4
"""How long after a crash a target's entry stays listed and another one starts."""

MAX_PAUSE_S = 3.0
ODD_NAME = "odd"
ODD_PAUSE_S = 0.15
ODD_ENTRIES = (
    b'{"service": "desk", "slots": 1e400}',
    b'{"service": "desk", "born": ' + b"9" * 400 + b"}",
    b'{"service": "desk", "more": ' + b"[" * 100_000,
    b'{"service": "desk", "address": "127.0.0.1:99999", "state": "ready"}',
)

LETHAL_DURATION_MULTIPLE = 4
"""How much longer than other faults a lethal part is in use, so that calls with it come
long after VMs had time to tell each other."""

IDLE_DESCRIPTORS = 24
"""Open descriptors of a router without callers: listeners, store, log, event loop."""

DESCRIPTORS_PER_VM = 4
"""Descriptors for the requests between two VMs, in both directions."""

CLOSE_TIMEOUT_S = 12.0
"""How long connections to targets may stay open after the last client has left.

It covers the idle timeout of these connections and the time for calls in progress.
"""

SOFTWARE_VERSIONS = ("v1", "v2")
"""Half of the targets have each version."""

COPIES = 6
COPY_PAUSE_S = 0.5
"""The store comes back from a copy that is up to the product of both old."""

UNUSED_KEY = "op/notes"
LOST_WRITES = 500
"""Writes that each return loses, so that revisions stay below those before for long."""

PAUSES_BETWEEN_RETURNS = (6, 20)
LATEST_KEY = "key-latest"
SETTINGS_TRIES = 20
"""Calls until one with the latest key is answered; others may meet a bad target."""

LAST_LETHAL_PART = "lethal-last"
LETHAL_PAUSE_S = 0.05
LETHAL_PRESS_S = CONTACT_TIME / MS_PER_SECOND + 4.0
"""How long a lethal call comes again after all faults. Three crashes take some tenths
of a second; without quarantine, several more targets crash in the last seconds."""

CUT_OFF_S = 2.0
"""For how long calls at a VM that is cut off from targets are counted, once it had time
to notice."""

RECOVERY_CALLS = 20
"""How many successful answers are required after the last fault."""


@final
@dataclass(slots=True)
class SoakReport:
    """What one soak injected and observed."""

    seed: int
    faults: Counter[FaultKind] = field(default_factory=Counter)
    attempts: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        kinds = " ".join(f"{kind.value}={count}" for kind, count in self.faults.items())
        statuses = " ".join(
            f"{status}:{count}" for status, count in self.statuses.items()
        )
        return [
            f"seed={self.seed} calls={self.attempts} violations={len(self.violations)}",
            f"  answers {statuses}",
            f"  faults {kinds}",
            *(
                f"  BROKEN {violation.promise}: {violation.subject}: {violation.seen}"
                for violation in self.violations
            ),
        ]


@final
class _Soak:
    """The stand-ins, router processes, clients and faults of one soak."""

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._promises = PromiseChecker(
            MonotonicClock(),
            Milliseconds(settings.key_lifetime_ms),
            Milliseconds(settings.drain_ms),
            OTHER_ACCOUNTS,
        )
        self._report = SoakReport(settings.seed)
        self._store = PlatformStore(PlatformStoreSettings())
        self._vms = [EdgeProcess(n, settings, folder) for n in range(settings.vms)]
        self._targets: dict[str, tuple[PlatformTarget, Relay]] = {}
        self._targets_created = 0
        self._version = 0
        self._states: dict[str, str] = {}
        self._versions: dict[str, str] = {}
        self._copies: deque[StoreCopy] = deque(maxlen=COPIES)
        self._lethal_parts: set[str] = set()
        self._keys = [f"key-{n}" for n in range(KEY_COUNT)]
        self._client_keys = [*self._keys, *OTHER_ACCOUNTS.values()]
        self._extra_route = False
        self._vms_under_fault: set[str] = set()
        self._cut_off: tuple[RelayMode, EdgeProcess] | None = None
        self._client_scopes: list[trio.CancelScope] = []

    async def run(self) -> SoakReport:
        async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
            for vm in self._vms:
                stack.callback(vm.close)
            await self._start(nursery)
            with trio.move_on_after(self._settings.duration_s):
                await self._inject_faults()
            self._lethal_parts.clear()
            await self._check_recovery()
            await self._check_settings_in_force()
            await self._check_common_call()
            self._check_running()
            await self._cut_vm_off()
            await self._press_lethal_call()
            for scope in self._client_scopes:
                scope.cancel()
            self._promises.check_lethal_parts()
            self._promises.check_cut_off_vms()
            self._promises.check_streams()
            self._promises.check_accounts(OTHER_ACCOUNTS)
            self._check_running()
            await self._check_descriptors()
            await self._check_exits()
            nursery.cancel_scope.cancel()
        self._report.attempts = self._promises.sent_count
        self._report.statuses = self._promises.statuses
        self._report.violations += self._promises.violations
        return self._report

    async def _start(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._store.era = 1
        await nursery.start(self._store.serve)
        self._configure()
        for _ in range(self._settings.targets):
            await self._add_target()
        for vm in self._vms:
            vm.relay = Relay(self._store.server.address)
            await nursery.start(vm.relay.serve)
        seeds = [vm.control_address for vm in self._vms[:MAX_SEED_VMS]]
        for vm in self._vms:
            vm.write_settings(seeds)
            vm.start()
            for number in range(self._settings.clients_per_vm):
                client = self._client(f"{vm.name}-c{number}", vm, self._client_keys)
                nursery.start_soon(self._run_client, client)

    def _client(self, name: str, vm: EdgeProcess, keys: list[str]) -> SoakClient:
        rng = random.Random(f"{self._settings.seed} {name}")
        return SoakClient(
            name, vm, keys, self._promises, rng, self._lethal_parts, self._vms
        )

    async def _run_client(self, client: SoakClient) -> None:
        """Run a client until its scope is cancelled."""
        scope = trio.CancelScope()
        self._client_scopes.append(scope)
        with scope:
            await client.run()

    def _configure(self) -> None:
        """Write the next version of the configuration to the store."""
        self._version += self._rng.randint(1, 3)
        self._write_configuration()

    def _write_configuration(self, *latest: PublishedRoute) -> None:
        routes = [
            PublishedRoute("/look/", "safe", SERVICE),
            PublishedRoute("/book/", "unsafe", SERVICE, max_attempts=1),
            PublishedRoute(
                "/chat/", "streaming", SERVICE, extra_fields=RESUMABLE_FIELDS
            ),
            PublishedRoute("/chat/once/", "streaming", SERVICE, max_attempts=1),
            *(
                [PublishedRoute("/later/", "safe", SERVICE)]
                if self._extra_route
                else []
            ),
            *latest,
        ]
        self._store.configure(
            configuration(routes, list(self._keys), self._version, OTHER_ACCOUNTS)
        )

    async def _add_target(self, rng: random.Random | None = None) -> None:
        rng = rng or self._rng
        self._targets_created += 1
        name = f"t{self._targets_created}"
        settings = PlatformTargetSettings(
            name,
            work_ms=rng.randint(2, 40),
            event_pause_ms=15,
            lethal_parts=self._lethal_parts,
            lethal_body=LETHAL_BODY,
            slots=TARGET_SLOTS,
            max_waiting=MAX_WAITING,
        )
        target = PlatformTarget(settings, self._record_run)
        target.slowdown = 1.0
        target.on_received = partial(self._record_request, name, target)
        await self._nursery.start(self._serve_target, name, target)
        relay = Relay(target.server.address)
        await self._nursery.start(relay.serve)
        if self._cut_off is not None:
            mode, vm = self._cut_off
            relay.break_path(mode, vm.has_port)
        self._targets[name] = (target, relay)
        self._versions[name] = SOFTWARE_VERSIONS[self._targets_created % 2]
        self._list_target(name, "ready")

    async def _serve_target(
        self,
        name: str,
        target: PlatformTarget,
        *,
        task_status: trio.TaskStatus[BoundAddress],
    ) -> None:
        """Serve a target, and start another one some time after it crashed."""
        await target.serve(task_status=task_status)
        if name not in self._targets:
            return
        _, relay = self._targets.pop(name)
        relay.stop()
        await trio.sleep(RESTART_S)
        self._store.unlist_target(name)
        await self._add_target()

    def _list_target(self, name: str, state: str) -> None:
        self._states[name] = state
        entry = PublishedTarget(
            SERVICE,
            self._targets[name][1].address,
            state,
            born_ms=int(name[1:]),
            version=self._versions[name],
        )
        self._store.list_target(name, entry)

    def _record_request(
        self, name: str, target: PlatformTarget, request: ServedRequest
    ) -> None:
        asks = target.mode is TargetMode.FULL and target.retry_after is not None
        pause = seconds(float(target.retry_after or 0)) if asks else None
        self._promises.record_request(name, attempt_of(request), pause)

    def _record_run(self, target: str, request: ServedRequest) -> None:
        attempt = attempt_of(request)
        self._promises.record_run(target, attempt, has_caller_key(request))
        if target in self._targets and self._targets[target][0].leaving:
            self._promises.record_leaving_run(target, attempt)
        if request.path.startswith("/chat/"):
            self._promises.record_stream_run(
                first_attempt_of(request),
                self._versions[target],
                last_event_of(request),
            )
        if request.body.startswith(LETHAL_BODY):
            self._promises.record_lethal_call(request.body.decode(), attempt)
        for part in self._lethal_parts.intersection(shared_parts(request)):
            self._promises.record_lethal_run(part, attempt)

    async def _inject_faults(self) -> None:
        """Start faults after random pauses; several can be active at once."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._use_lethal_parts)
            nursery.start_soon(self._return_from_copies)
            nursery.start_soon(self._replace_by_answers)
            nursery.start_soon(self._slow_targets)
            nursery.start_soon(self._load_heavy_account)
            nursery.start_soon(self._pause_targets)
            nursery.start_soon(self._repeat_refusals)
            nursery.start_soon(self._write_odd_entries)
            await self._inject_faults_at_random()

    async def _inject_faults_at_random(self) -> None:
        kinds = [kind for kind in FaultKind if kind not in FAULTS_OF_THEIR_OWN]
        while True:
            mean_pause_s = self._settings.fault_pause_s
            await trio.sleep(self._rng.uniform(mean_pause_s / 2, mean_pause_s * 1.5))
            kind = self._rng.choice(kinds)
            duration_s = self._rng.uniform(0.3, 1.7) * self._settings.fault_duration_s
            self._report.faults[kind] += 1
            self._nursery.start_soon(self._inject_fault, kind, duration_s)

    async def _use_lethal_parts(self) -> None:
        """Have calls use one lethal part after the other, beside all other faults.

        The times have a generator of their own, so that they change no other fault.
        """
        rng = random.Random(f"{self._settings.seed} lethal")
        mean_s = LETHAL_DURATION_MULTIPLE * self._settings.fault_duration_s
        while True:
            await trio.sleep(rng.uniform(0, self._settings.fault_duration_s))
            self._report.faults[FaultKind.PART_LETHAL] += 1
            part = f"lethal{self._report.faults[FaultKind.PART_LETHAL]}"
            self._lethal_parts.add(part)
            await trio.sleep(rng.uniform(0.5, 1.5) * mean_s)
            self._lethal_parts.discard(part)

    async def _return_from_copies(self) -> None:
        """Have the store come back from copies that are some seconds old."""
        rng = random.Random(f"{self._settings.seed} older")
        while True:
            for _ in range(rng.randint(*PAUSES_BETWEEN_RETURNS)):
                self._copies.append(self._store.copy())
                await trio.sleep(COPY_PAUSE_S)
            self._report.faults[FaultKind.STORE_OLDER] += 1
            self._write_what_is_lost()
            away_s = rng.uniform(0.05, 1.0)
            for vm in self._vms:
                self._promises.record_disconnection(vm.name, seconds(away_s))
            self._store.refuse_with = 503
            try:
                await trio.sleep(away_s)
            finally:
                self._store.return_from(self._copies[0])
                self._store.refuse_with = None
                self._nursery.start_soon(self._write_again, rng.uniform(0, 0.4))

    def _write_what_is_lost(self) -> None:
        """Write the next configuration and all entries, at revisions far ahead."""
        for number in range(LOST_WRITES):
            self._store.put(UNUSED_KEY, str(number).encode())
        self._version += 1
        self._write_configuration()
        for name in self._targets:
            self._list_target(name, self._states[name])

    async def _write_again(self, delay_s: float) -> None:
        """Write what the store may have lost; entries of ended targets expire."""
        await trio.sleep(delay_s)
        self._write_configuration()
        for name in self._targets:
            self._list_target(name, self._states[name])
        listed = {
            key.removeprefix(TARGET_KEY_PREFIX)
            for key in self._store.copy().items
            if key.startswith(TARGET_KEY_PREFIX)
        }
        for name in listed.difference(self._targets):
            self._nursery.start_soon(self._expire_entry, name)

    async def _expire_entry(self, name: str) -> None:
        await trio.sleep(RESTART_S)
        self._store.unlist_target(name)

    async def _replace_by_answers(self) -> None:
        """Replace targets that say in their answers only that they leave."""
        rng = random.Random(f"{self._settings.seed} leaving")
        while True:
            await trio.sleep(rng.uniform(1, 2) * self._settings.fault_duration_s)
            ready = [name for name in self._targets if self._states[name] == "ready"]
            if not ready or len(self._targets) > self._settings.targets:
                continue
            name = rng.choice(ready)
            self._report.faults[FaultKind.TARGET_SAYS_LEAVING] += 1
            await self._add_target(rng)
            if name in self._targets:
                self._targets[name][0].leaving = True
                self._nursery.start_soon(self._end_target, name)

    async def _slow_targets(self) -> None:
        """Slow one target after the other, for a while each."""
        rng = random.Random(f"{self._settings.seed} slow")
        while True:
            await trio.sleep(rng.uniform(0, 1) * self._settings.fault_duration_s)
            if not self._targets:
                continue
            target, _ = self._targets[rng.choice(sorted(self._targets))]
            self._report.faults[FaultKind.TARGET_SLOW] += 1
            target.slowdown = rng.uniform(1.5, MAX_SLOWDOWN)
            await trio.sleep(rng.uniform(0.3, 1.7) * self._settings.fault_duration_s)
            target.slowdown = 1.0

    async def _pause_targets(self) -> None:
        """Have one target after the other ask all VMs for a pause."""
        async for rng, target in self._targets_in_turn(FaultKind.TARGET_PAUSES):
            pause_s = rng.uniform(0.6, MAX_PAUSE_S)
            target.retry_after = f"{pause_s:.3f}"
            target.mode = TargetMode.FULL
            await trio.sleep(rng.uniform(0.1, 1.0) * pause_s)
            target.mode = TargetMode.HEALTHY
            await trio.sleep(pause_s)
            target.retry_after = None

    async def _repeat_refusals(self) -> None:
        """Have one target after the other repeat refusals, for a while each."""
        async for rng, target in self._targets_in_turn(FaultKind.TARGET_REPEATS):
            target.mode = TargetMode.REPEATING
            await trio.sleep(rng.uniform(0.3, 1.7) * self._settings.fault_duration_s)
            target.mode = TargetMode.HEALTHY

    async def _targets_in_turn(
        self, kind: FaultKind
    ) -> AsyncIterator[tuple[random.Random, PlatformTarget]]:
        rng = random.Random(f"{self._settings.seed} {kind.value}")
        while True:
            await trio.sleep(rng.uniform(0.5, 1.5) * self._settings.fault_duration_s)
            if self._targets:
                self._report.faults[kind] += 1
                yield rng, self._targets[rng.choice(sorted(self._targets))][0]

    async def _write_odd_entries(self) -> None:
        """Have another writer leave entries that can't be read, for a while each."""
        rng = random.Random(f"{self._settings.seed} odd")
        while True:
            await trio.sleep(rng.uniform(0.5, 1.5) * self._settings.fault_duration_s)
            self._report.faults[FaultKind.ENTRY_ODD] += 1
            value = rng.choice(ODD_ENTRIES)
            with trio.move_on_after(self._settings.fault_duration_s):
                while True:
                    self._store.put(TARGET_KEY_PREFIX + ODD_NAME, value)
                    await trio.sleep(ODD_PAUSE_S)

    async def _load_heavy_account(self) -> None:
        """Have further clients call with the key of one account, for a while each."""
        rng = random.Random(f"{self._settings.seed} heavy")
        usual = self._settings.clients_per_vm / len(self._client_keys)
        clients_per_vm = round((HEAVY_MULTIPLE - 1) * usual)
        while True:
            await trio.sleep(rng.uniform(0.5, 1.5) * self._settings.fault_duration_s)
            self._report.faults[FaultKind.ACCOUNT_HEAVY] += 1
            count = self._report.faults[FaultKind.ACCOUNT_HEAVY]
            duration_s = rng.uniform(0.5, 1.5) * self._settings.fault_duration_s
            keys = [OTHER_ACCOUNTS[HEAVY_ACCOUNT]]
            with trio.move_on_after(duration_s):
                async with trio.open_nursery() as nursery:
                    for vm, number in product(self._vms, range(clients_per_vm)):
                        name = f"{vm.name}-heavy{count}-{number}"
                        nursery.start_soon(self._client(name, vm, keys).run)

    async def _inject_fault(self, kind: FaultKind, duration_s: float) -> None:
        if kind.value.startswith("store"):
            await self._inject_store_fault(kind, duration_s)
        elif kind.value.startswith("target"):
            await self._inject_target_fault(kind, duration_s)
        elif kind.value.startswith("vm"):
            await self._inject_vm_fault(kind, duration_s)
        elif kind is FaultKind.KEY_REVOKED and len(self._keys) > 2:
            # Clients keep using the revoked key: they hold the original list.
            key = self._keys[-1]
            self._keys = self._keys[:-1]
            self._configure()
            self._promises.record_revocation(key)
        else:
            self._extra_route = not self._extra_route
            self._configure()

    async def _inject_store_fault(self, kind: FaultKind, duration_s: float) -> None:
        vm = self._rng.choice(self._vms)
        relay = vm.relay
        if relay is None:
            raise AssertionError("the relay to the store has not been set")
        for other in self._vms if kind in FAULTS_OF_ALL_VMS else [vm]:
            self._promises.record_disconnection(other.name, seconds(duration_s))
        if kind is FaultKind.STORE_SILENT:
            relay.silence()
        elif kind is FaultKind.STORE_CUT:
            relay.cut()
            await trio.sleep(duration_s)
            relay.restore()
        elif kind is FaultKind.STORE_SLOW:
            relay.set_delay(150)
            await trio.sleep(duration_s)
            relay.set_delay(0)
        elif kind is FaultKind.STORE_REFUSES:
            self._store.refuse_with = 503
            await trio.sleep(duration_s)
            self._store.refuse_with = None
        else:
            self._store.compact()

    async def _inject_target_fault(self, kind: FaultKind, duration_s: float) -> None:
        if not self._targets:
            return
        name = self._rng.choice(list(self._targets))
        target, relay = self._targets[name]
        modes = {
            FaultKind.TARGET_FULL: TargetMode.FULL,
            FaultKind.TARGET_FAILING: TargetMode.FAILING,
            FaultKind.TARGET_BREAKING: TargetMode.BREAKING,
            FaultKind.TARGET_TEARING: TargetMode.TEARING_UNFRAMED,
            FaultKind.TARGET_HANGING: TargetMode.HANGING,
        }
        if kind in modes:
            target.mode = modes[kind]
            await trio.sleep(duration_s)
            target.mode = TargetMode.HEALTHY
        elif kind is FaultKind.TARGET_SILENT:
            relay.silence()
        elif kind is FaultKind.TARGET_CUT:
            relay.cut()
            await trio.sleep(duration_s)
            relay.restore()
        else:
            await self._replace_target(name)

    async def _replace_target(self, name: str) -> None:
        """Add a target, drain ``name``, and remove it after the drain limit."""
        if len(self._targets) > self._settings.targets:
            return
        await self._add_target()
        if name not in self._targets:
            # A fault that overlaps has taken it away meanwhile.
            return
        self._list_target(name, "draining")
        self._promises.record_drain(name)
        await self._end_target(name)

    async def _end_target(self, name: str) -> None:
        """Remove a target that leaves, some time after the drain limit."""
        await trio.sleep(self._settings.drain_ms / 1000 + 1.0)
        if name not in self._targets:
            return
        target, relay = self._targets.pop(name)
        self._store.unlist_target(name)
        relay.cut()
        target.server.crash()

    async def _inject_vm_fault(self, kind: FaultKind, duration_s: float) -> None:
        vm = self._rng.choice(self._vms)
        if kind is FaultKind.VM_RELOADED:
            vm.signal(signal.SIGHUP)
            return
        if vm.name in self._vms_under_fault:
            return
        self._vms_under_fault.add(vm.name)
        self._promises.record_restart(vm.name)
        self._promises.record_disconnection(vm.name, seconds(duration_s))
        try:
            if kind is FaultKind.VM_PAUSED:
                vm.signal(signal.SIGSTOP)
                await trio.sleep(duration_s)
                vm.signal(signal.SIGCONT)
            elif kind is FaultKind.VM_KILLED:
                vm.kill()
                await trio.sleep(duration_s / 4)
                vm.start()
            else:
                if not await vm.stop():
                    self._add_violation(
                        "ends by itself", vm.name, "killed after its grace"
                    )
                vm.start()
        finally:
            # A stop may take longer than the fault that began with it.
            self._promises.record_restart(vm.name)
            self._vms_under_fault.discard(vm.name)

    async def _check_recovery(self) -> None:
        """Wait for all faults to end, then check that clients are served again."""
        while self._vms_under_fault:
            await trio.sleep(0.1)
        await trio.sleep(2 * self._settings.fault_duration_s)
        answered_before = self._promises.statuses.get(200, 0)
        with trio.move_on_after(RECOVERY_TIMEOUT_S):
            while (
                self._promises.statuses.get(200, 0) < answered_before + RECOVERY_CALLS
            ):
                await trio.sleep(0.1)
            return
        self._add_violation("recovery", "all", "not served after the last fault")

    async def _check_settings_in_force(self) -> None:
        """Check that every VM applies settings that are written after all faults."""
        self._version += 1
        self._keys = [*self._keys, LATEST_KEY]
        self._write_configuration(PublishedRoute("/latest/", "safe", SERVICE))
        await trio.sleep(self._settings.apply_ms / 1000)
        for vm in self._vms:
            statuses: list[int] = []
            attempt = f"{vm.name}-latest"
            self._promises.record_sent(attempt, LATEST_KEY, True, vm.name)
            for _ in range(SETTINGS_TRIES):
                statuses.append(await _status(vm, "/latest/x", attempt))
                if statuses[-1] == 200:
                    break
                await trio.sleep(0.1)
            else:
                seen = f"a call on the latest route gets {statuses}"
                self._add_violation("settings in force", vm.name, seen)

    async def _check_common_call(self) -> None:
        """Check that a sound call that all clients make is served at every VM."""
        for vm in self._vms:
            statuses: list[int] = []
            with trio.move_on_after(RECOVERY_TIMEOUT_S):
                while 200 not in statuses:
                    attempt = f"{vm.name}-common-{len(statuses)}"
                    self._promises.record_sent(attempt, LATEST_KEY, True, vm.name)
                    path = f"/look/{COMMON_NAME}"
                    statuses.append(await _status(vm, path, attempt, SOUND_BODY))
                    await trio.sleep(0.1)
            if 200 not in statuses:
                seen = f"the call gets {sorted(set(statuses))}"
                self._add_violation("common calls are served", vm.name, seen)

    async def _cut_vm_off(self) -> None:
        """Cut one of several VMs off from all targets, where connections are accepted.

        It still reaches callers, the store and the other VMs.
        """
        if len(self._vms) == 1:
            return
        rng = random.Random(f"{self._settings.seed} cut off")
        vm, mode = rng.choice(self._vms), rng.choice(BROKEN_PATHS)
        self._report.faults[FaultKind.VM_CUT_OFF] += 1
        self._cut_off = mode, vm
        for _, relay in self._targets.values():
            relay.break_path(mode, vm.has_port)
        await trio.sleep(CONTACT_TIME / MS_PER_SECOND)
        with self._promises.vm_cut_off(vm.name):
            await trio.sleep(CUT_OFF_S)
        self._cut_off = None
        for _, relay in self._targets.values():
            relay.restore()

    async def _press_lethal_call(self) -> None:
        """Have one call that crashes targets come again and again, amid no fault.

        It goes on for long enough after VMs had time to tell each other.
        """
        self._lethal_parts.add(LAST_LETHAL_PART)
        body = LETHAL_BODY + LAST_LETHAL_PART.encode()
        with trio.move_on_after(LETHAL_PRESS_S):
            for number in count():
                vm = self._vms[number % len(self._vms)]
                attempt = f"{vm.name}-lethal-{number}"
                self._promises.record_sent(attempt, LATEST_KEY, True, vm.name)
                await _status(vm, f"/look/{COMMON_NAME}", attempt, body)
                await trio.sleep(LETHAL_PAUSE_S)
        self._lethal_parts.clear()

    def _check_running(self) -> None:
        """Check that no process has ended by itself, and leave out those that have."""
        for vm in [vm for vm in self._vms if vm.has_exited()]:
            self._add_violation("keeps running", vm.name, "ended by itself")
            self._vms.remove(vm)

    async def _check_descriptors(self) -> None:
        """Check that routers close what they opened for clients that have left."""
        limit = IDLE_DESCRIPTORS + DESCRIPTORS_PER_VM * len(self._vms)
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            while any(vm.open_descriptors > limit for vm in self._vms):
                await trio.sleep(0.2)
            return
        for vm in self._vms:
            if vm.open_descriptors > limit:
                seen = f"{vm.open_descriptors} descriptors, at most {limit} expected"
                self._add_violation("nothing leaks", vm.name, seen)

    async def _check_exits(self) -> None:
        """Stop every process; check that each exits within its grace period."""
        stops: list[Callable[[], Awaitable[Any]]] = [vm.stop for vm in self._vms]

        async def check(vm: EdgeProcess, stop: Callable[[], Awaitable[Any]]) -> None:
            if not await stop():
                self._add_violation("ends by itself", vm.name, "killed after its grace")

        async with trio.open_nursery() as nursery:
            for vm, stop in zip(self._vms, stops, strict=True):
                nursery.start_soon(partial(check, vm, stop))

    def _add_violation(self, promise: str, subject: str, seen: str) -> None:
        self._report.violations.append(Violation(promise, subject, seen))


async def _status(vm: EdgeProcess, path: str, attempt: str, body: bytes = b"") -> int:
    """Return the status of a call to a VM with the latest key, 0 if unanswered."""
    headers = [
        *call_headers(attempt, LATEST_KEY, 2_000),
        ("Connection", "close"),
        *([("Content-Length", str(len(body)))] if body else []),
    ]
    method = "POST" if body else "GET"
    lines = [
        f"{method} {path} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers),
    ]
    with trio.move_on_after(3):
        try:
            async with await trio.open_tcp_stream(*vm.caller_address) as stream:
                await stream.send_all("\r\n".join([*lines, "", ""]).encode() + body)
                first_line = await stream.receive_some(64)
                return int(first_line.split()[1])
        except (OSError, trio.BrokenResourceError, IndexError, ValueError):
            return 0
    return 0


async def run_soak(settings: SoakSettings, folder: Path) -> SoakReport:
    """Run one soak; the routers' logs are written to ``folder``."""
    return await _Soak(settings, folder).run()
