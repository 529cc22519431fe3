"""Cuts some VMs of a simulated fleet off from targets, but not from anything else."""

from __future__ import annotations

from contextvars import ContextVar
from enum import Enum
from itertools import product

import trio

import yuccafold.edge._crash_probe
import yuccafold.edge._exchange
from yuccafold.standins import Relay

VM_NAME: ContextVar[str] = ContextVar("vm", default="")

real_connect = yuccafold.edge._exchange.connect


class Cut(Enum):
    """What becomes of a VM's connections to targets."""

    RESET = "reset"
    HANG = "hang"
    NEW_ONES_REFUSED = "new-ones-refused"
    """Open connections live on."""


class CutLinks:
    """Stands for ``connect`` in the code under test; ``cut`` applies to VMs by name."""

    def __init__(self, fleet, monkeypatch):
        self._fleet = fleet
        self._cuts = {}
        self._open = {}
        for module in ("_exchange", "_crash_probe", "_reach_probe"):
            path = f"yuccafold.edge.{module}.connect"
            monkeypatch.setattr(path, self._connect)

    def cut(self, vms, how):
        for vm in vms:
            self._cuts[vm.name] = how
            if how is not Cut.NEW_ONES_REFUSED:
                for http in self._open.pop(vm.name, []):
                    http._stream.socket.shutdown(trio.socket.SHUT_RDWR)

    def heal(self):
        self._cuts.clear()

    async def _connect(self, address):
        name = VM_NAME.get()
        how = self._cuts.get(name)
        is_target = any(
            target.server.address == address for target in self._fleet.targets
        )
        if is_target and how is Cut.HANG:
            await trio.sleep_forever()
        if is_target and how is not None:
            raise ConnectionResetError(104, "Connection reset by peer")
        http = await real_connect(address)
        if is_target:
            self._open.setdefault(name, []).append(http)
        return http


class ProxiedLinks(CutLinks):
    """Has each VM reach each target through a relay of its own, as through a proxy."""

    def __init__(self, fleet, monkeypatch):
        super().__init__(fleet, monkeypatch)
        self._relays = {}
        self._broken = {}

    def cut(self, vms, how, targets=None):
        """Break the paths of VMs, to ``targets`` only if they are given."""
        for vm, target in product(vms, targets or self._fleet.targets):
            self._broken[vm.name, target.server.address] = how
        for path in self._broken.keys() & self._relays.keys():
            self._relays[path].break_path(how)

    def heal(self):
        self._broken.clear()
        for relay in self._relays.values():
            relay.restore()

    async def _connect(self, address):
        targets = [target.server.address for target in self._fleet.targets]
        if address not in targets:
            return await real_connect(address)
        path = VM_NAME.get(), address
        if path not in self._relays:
            relay = Relay(address)
            await self._fleet.nursery.start(relay.serve)
            self._relays.setdefault(path, relay)
            if path in self._broken:
                self._relays[path].break_path(self._broken[path])
        return await real_connect(self._relays[path].address)
