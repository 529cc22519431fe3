"""Records metrics that belong to no single call: control bytes, queue and skew."""

from __future__ import annotations

from collections import Counter
from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.control import ControlPlane
from yuccafold.fleet import ByteClass
from yuccafold.fleet import PeerNetwork
from yuccafold.telemetry import Metrics

RECORD_INTERVAL = Milliseconds(5_000)


@final
class Meters:
    """Copies the counts of other tasks into the metrics at a fixed interval."""

    def __init__(
        self, plane: ControlPlane, network: PeerNetwork, clock: Clock, metrics: Metrics
    ) -> None:
        self._plane = plane
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._last_sent: Counter[ByteClass] = Counter()
        self._last_queued = 0

    async def run(self) -> None:
        """Record the metrics at each interval until cancelled."""
        while True:
            await trio.sleep(RECORD_INTERVAL / MS_PER_SECOND)
            self._record_bytes()
            self._record_queue()
            self._record_skew(self._clock.now())

    def _record_bytes(self) -> None:
        sent = Counter(self._network.stats().total.sent)
        for byte_class, total in sent.items():
            delta = total - self._last_sent[byte_class]
            self._metrics.control_bytes.add(delta, {"class": byte_class.value})
        self._last_sent = sent

    def _record_queue(self) -> None:
        length = self._plane.placer.queue_length
        self._metrics.queued.add(length - self._last_queued)
        self._last_queued = length

    def _record_skew(self, now: Milliseconds) -> None:
        """Record the fullest owned target's calls relative to its service's mean."""
        tree = self._plane.tree
        for name, service in ({} if tree is None else tree.services).items():
            ledger = self._plane.placer.ledger
            targets = [TargetId(target.id) for target in service.targets]
            counts = [ledger.owner.slots.count(target) for target in targets]
            total = ledger.in_flight(ServiceId(name), now)
            if total > 0 and targets:
                skew = max(counts) * len(targets) / total
                self._metrics.skew.record(skew, {"service": name})
