"""Tasks that read the VM list and the settings and post them to the control task."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._ids import RegionId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold._log import log_event
from yuccafold._supervisor import ChildSpec
from yuccafold.control import ApplyVmList
from yuccafold.control import ControlTask
from yuccafold.control import OfferSettings
from yuccafold.control import SettingsServiceAnswered
from yuccafold.fleet import PeerAddress
from yuccafold.fleet import PeerNetwork
from yuccafold.fleet import VmListEntry
from yuccafold.fleet import VmListSnapshot
from yuccafold.readers import SettingsReader
from yuccafold.readers import VmListReader
from yuccafold.readers import WatchOptions
from yuccafold.readers import chosen_watchers
from yuccafold.replica import read_revision
from yuccafold.settings import ProcessSettings

LIST_WAIT_MS = 2_000
"""Long-poll time of a VM list watch; each answer confirms the list."""

FILE_INTERVAL_SECONDS = 1.0


@final
class PlatformTasks:
    """Reads the settings service, the VM list and a settings file."""

    def __init__(
        self,
        settings: ProcessSettings,
        control: ControlTask,
        network: PeerNetwork,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._control = control
        self._network = network
        self._clock = clock
        self._rng = rng
        self._pending_text: str | None = None
        self._text_arrived = trio.Event()

    def children(self) -> list[ChildSpec]:
        """Return the tasks to supervise, as the process settings configure them."""
        platform = self._settings.platform
        children = [ChildSpec("vm_list", self._vm_list(platform.vm_list))]
        children.append(ChildSpec("settings_texts", self._parse_texts))
        if platform.settings_service is not None:
            reader = self._settings_reader(platform.settings_service)
            children.append(ChildSpec("settings_service", reader.run))
        if platform.settings_file is not None:
            watch = partial(self._watch_file, Path(platform.settings_file))
            children.append(ChildSpec("settings_file", watch))
        return children

    def _vm_list(self, address: str | None) -> Callable[[], Awaitable[None]]:
        """Return the task that keeps the VM list up to date and confirmed."""
        if address is None:
            return self._run_without_list
        options = WatchOptions(wait_ms=LIST_WAIT_MS)
        confirm = partial(self._control.post, ApplyVmList(None))
        reader = VmListReader(address, self._apply_list, confirm, self._rng, options)
        return reader.run

    def _settings_reader(self, address: str) -> SettingsReader:
        return SettingsReader(
            address,
            self._is_watcher,
            lambda: self._control.plane.replica.revision.number,
            self._accept_text,
            lambda: self._control.post(SettingsServiceAnswered()),
            self._rng,
        )

    def _accept_text(self, text: str) -> None:
        """Store settings to be parsed; a newer text replaces a pending one."""
        self._pending_text = text
        self._text_arrived.set()

    async def _parse_texts(self) -> None:
        """Parse settings in a thread, since a large tree takes half a second."""
        while True:
            await self._text_arrived.wait()
            self._text_arrived = trio.Event()
            text, self._pending_text = self._pending_text, None
            if text is not None:
                read = await trio.to_thread.run_sync(read_revision, text)
                self._control.post(OfferSettings(read))

    def _is_watcher(self) -> bool:
        """Return whether this VM is one of the few that watch the settings service."""
        reachable = self._control.plane.membership.view.reachable
        count = WatchOptions().watchers
        return VmId(self._settings.vm) in chosen_watchers(reachable, count)

    def _apply_list(self, snapshot: VmListSnapshot) -> None:
        log_event("vm_list", version=snapshot.version, vms=len(snapshot.vms))
        self._network.set_peers(
            {
                entry.id: PeerAddress(entry.id, entry.address, entry.zone, entry.region)
                for entry in snapshot.vms
            }
        )
        self._control.post(ApplyVmList(snapshot))

    async def _run_without_list(self) -> None:
        """Use a VM list of only this VM, and confirm it until cancelled."""
        local_vm = VmListEntry(
            VmId(self._settings.vm),
            self._settings.peer,
            ZoneId(self._settings.zone),
            RegionId(self._settings.region),
        )
        self._apply_list(VmListSnapshot(0, (local_vm,)))
        while True:
            await trio.sleep(LIST_WAIT_MS / MS_PER_SECOND)
            self._control.post(ApplyVmList(None))

    async def _watch_file(self, path: Path) -> None:
        """Offer the settings in ``path`` at the start and after each change."""
        offered = ""
        while True:
            try:
                text = path.read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as error:
                log_event("settings_file_unreadable", path=str(path), error=str(error))
                text = offered
            if text != offered:
                offered = text
                self._accept_text(text)
            await trio.sleep(FILE_INTERVAL_SECONDS)
