from __future__ import annotations

import gc

from hypothesis import HealthCheck
from hypothesis import settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("ci")


def pytest_collection_finish():
    """Spare the collector what was imported.

    A full collection of it takes a third of a second, and more on a busy
    machine: longer than the silence that the product allows its own servers.
    """
    gc.collect()
    gc.freeze()
