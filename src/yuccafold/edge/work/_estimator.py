"""Estimates what calls cost before they are placed, from calls that ended."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from collections.abc import Mapping
from typing import final

from yuccafold.edge._call import Call
from yuccafold.edge._model import RouteName
from yuccafold.edge.work._costs import CallCost
from yuccafold.edge.work._costs import MeanTable
from yuccafold.edge.work._costs import RelativeLine
from yuccafold.edge.work._costs import RunningFigure
from yuccafold.edge.work._costs import WeighedMean

FEW_SAMPLES = 8
"""Samples that weigh as much as what is known of all calls of the wider kind."""

MAX_REMEMBERED_KINDS = 1_024
"""Kinds of calls whose figures are kept; a service has a few hundred in use."""

LINE_FIGURES = ("read", "base")
"""Milliseconds a token read, and those of a call that reads nothing."""

NOTHING_KNOWN = WeighedMean()

MIN_LINE_SAMPLES = 4
"""Samples from which a VM reports how fast prompts are read."""


@final
class CostEstimator:
    """Learns what calls cost from answers of this VM and from means of other VMs.

    Sizes of answers are in bytes, as every answer has them. All times are of a target
    at its usual pace.
    """

    def __init__(self) -> None:
        self._figures: OrderedDict[Hashable, RunningFigure] = OrderedDict()
        self._lines: dict[str, RelativeLine] = {}
        self._largest_shares: dict[str, float] = {}
        self._told: Mapping[str, WeighedMean] = {}

    def estimate(self, call: Call, held_tokens: int) -> CallCost:
        """Return the expected cost at a target that holds ``held_tokens`` of it."""
        if not call.head.prompt:
            took = self._nearest(call, "took")
            typical = self._nearest(call, "took", is_median=True)
            return CallCost(0.0, took, 0, 0, typical)
        prompt_tokens = sum(part.tokens for part in call.head.prompt)
        read_tokens = max(0, prompt_tokens - held_tokens)
        prefill = self.read_ms(call, read_tokens)
        size = self._expected_size(call)
        ms_a_byte = self._mean(f"byte {call.service}")
        own_tokens = call.head.prompt[-1].tokens
        return CallCost(
            prefill,
            size * ms_a_byte,
            own_tokens + self._expected_tokens(call),
            read_tokens,
            prefill + self._base_ms(call),
        )

    def read_ms(self, call: Call, tokens: int) -> float:
        """Return how long a target without other work reads ``tokens``."""
        return tokens * self._mean(f"read {call.service}")

    def record_first_event(
        self, call: Call, cost: CallCost, after_ms: float, slowdown: float
    ) -> None:
        """Record when the first event came after the call was sent.

        Only calls of which it is known what their target read are of use.
        """
        line = self._lines.setdefault(call.service, RelativeLine())
        line.record(cost.read_tokens, after_ms / slowdown)

    def record_end(
        self,
        call: Call,
        took_ms: float,
        first_event_ms: float | None,
        size: int,
        slowdown: float,
    ) -> None:
        """Record a whole answer of ``size`` bytes, ``took_ms`` after it was sent.

        ``first_event_ms`` is when its first event came, ``None`` for plain answers.
        """
        if not call.head.prompt or first_event_ms is None:
            for key in _keys(call, "took"):
                self._figure(key).record(took_ms / slowdown)
            return
        if size <= 0:
            return
        route = call.admitted.route.name
        self._record_misses(call, size)
        for key in _keys(call, "size"):
            self._figure(key).record(size)
        decoding_ms = max(0.0, took_ms - first_event_ms) / slowdown
        self._figure(f"byte {call.service}").record(decoding_ms / size)
        if call.head.length_hint:
            self._figure(f"hint {route}").record(call.head.length_hint)
            self._figure(f"hinted {route}").record(size)
        if call.head.output_tokens:
            share = size / call.head.output_tokens
            known = self._largest_shares.get(route, 0.0)
            self._largest_shares[route] = max(known, share)

    def local_means(self) -> dict[str, WeighedMean]:
        """Return the means by route and service that this VM learned itself."""
        means = {
            key: WeighedMean(figure.samples, figure.mean)
            for key, figure in self._figures.items()
            if isinstance(key, str)
        }
        for service, line in self._lines.items():
            if line.samples >= MIN_LINE_SAMPLES:
                slope, base = line.fit()
                means[f"read {service}"] = WeighedMean(line.samples, slope)
                means[f"base {service}"] = WeighedMean(line.samples, base)
        return means

    def record_told(self, total: MeanTable, local_part: MeanTable) -> None:
        """Use the means of all VMs, of which this VM reported ``local_part``."""
        told = {
            key: mean.minus(local_part.get(key, NOTHING_KNOWN))
            for key, mean in total.items()
        }
        # A total may lack what other VMs know where their reports were lost.
        known = {key: mean for key, mean in told.items() if mean.weight}
        merged = {**self._told, **known}
        self._told = merged if len(merged) <= MAX_REMEMBERED_KINDS else known

    def _expected_size(self, call: Call) -> float:
        """Return the expected bytes of an answer, by hint and by calls that ended.

        Each is weighed by how far off it was for the route's earlier calls.
        """
        by_calls = self._nearest(call, "size")
        by_hint = self._size_by_hint(call)
        route = call.admitted.route.name
        if by_hint is None:
            expected = by_calls
        else:
            hint_miss = self._miss("hint-miss", route) ** 2
            mean_miss = self._miss("size-miss", route) ** 2
            both = hint_miss + mean_miss
            trust = mean_miss / both if both else 1.0
            expected = trust * by_hint + (1 - trust) * by_calls
        largest = self._largest_shares.get(route)
        if call.head.output_tokens and largest:
            return min(expected, largest * call.head.output_tokens)
        return expected

    def _size_by_hint(self, call: Call) -> float | None:
        """Return the bytes that the caller's hint stands for, ``None`` without one.

        Over all calls of a route, hints corrected so add up to what was needed.
        """
        route = call.admitted.route.name
        mean_hint = self._mean(f"hint {route}")
        if not call.head.length_hint or not mean_hint:
            return None
        mean_size = self._mean(f"hinted {route}")
        return call.head.length_hint * mean_size / mean_hint

    def _record_misses(self, call: Call, size: int) -> None:
        route = call.admitted.route.name
        by_hint = self._size_by_hint(call)
        by_calls = self._nearest(call, "size")
        if by_hint is not None and by_calls:
            self._figure(("hint-miss", route)).record(abs(size - by_hint))
            self._figure(("size-miss", route)).record(abs(size - by_calls))

    def _miss(self, what: str, route: RouteName) -> float:
        """Return how many bytes off one way to expect a size was at this VM."""
        figure = self._figures.get((what, route))
        return 0.0 if figure is None else figure.mean

    def _expected_tokens(self, call: Call) -> int:
        """Return the most output tokens that are likely: the hint within the limit."""
        most = call.head.output_tokens or 0
        hint = call.head.length_hint or most
        return min(hint, most) if most else hint

    def _base_ms(self, call: Call) -> float:
        return self._mean(f"base {call.service}")

    def _nearest(self, call: Call, what: str, is_median: bool = False) -> float:
        """Return a figure of calls alike, each kind leaning on the wider one."""
        route_key, *narrower = _keys(call, what)
        known = self._mean(str(route_key))
        figure = self._figures.get(route_key)
        if is_median and figure is not None:
            known = figure.median
        for key in narrower:
            figure = self._figures.get(key)
            if figure is not None:
                own = figure.median if is_median else figure.mean
                weight = figure.samples / (figure.samples + FEW_SAMPLES)
                known += weight * (own - known)
        return known

    def _mean(self, key: str) -> float:
        """Return the mean of what this VM and the others know, 0 before any."""
        told = self._told.get(key, NOTHING_KNOWN)
        figure = self._figures.get(key)
        if figure is not None:
            samples, mean = figure.samples, figure.mean
        else:
            what, _, service = key.partition(" ")
            line = self._lines.get(service) if what in LINE_FIGURES else None
            if line is None:
                return told.mean
            samples, mean = line.samples, line.fit()[LINE_FIGURES.index(what)]
        weight = samples + told.weight
        return (samples * mean + told.weight * told.mean) / weight

    def _figure(self, key: Hashable) -> RunningFigure:
        figure = self._figures.get(key)
        if figure is None:
            figure = self._figures[key] = RunningFigure()
            if len(self._figures) > MAX_REMEMBERED_KINDS:
                self._figures.popitem(last=False)
        else:
            self._figures.move_to_end(key)
        return figure


def _keys(call: Call, what: str) -> list[Hashable]:
    """Return the kinds that a call belongs to, the widest first."""
    route = call.admitted.route.name
    account = call.admitted.account
    keys: list[Hashable] = [f"{what} {route}"]
    if account is not None:
        keys.append((what, route, account.id))
    if call.head.shared_parts:
        part = call.head.shared_parts[-1].id
        keys.append((what, route, None if account is None else account.id, part))
    return keys
