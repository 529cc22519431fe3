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
    """Exclude the imported modules from garbage collection.

    A full collection that includes them takes a third of a second, and more under
    load: longer than the silence that a router tolerates from its own servers.
    """
    gc.collect()
    gc.freeze()
