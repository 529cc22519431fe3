"""Places calls by what they are likely to cost and by what targets still have to do."""

from __future__ import annotations

from yuccafold.edge.work._balance import WorkBalance
from yuccafold.edge.work._costs import CallCost
from yuccafold.edge.work._estimator import CostEstimator
from yuccafold.edge.work._moved_prompts import MovedPrompts
from yuccafold.edge.work._moved_prompts import MovesTopic
from yuccafold.edge.work._outstanding import OutstandingWork
from yuccafold.edge.work._outstanding import Work
from yuccafold.edge.work._paces import TargetPaces
from yuccafold.edge.work._placement import ExpectedTimes
from yuccafold.edge.work._placement import WorkPlacement

__all__ = [
    "CallCost",
    "CostEstimator",
    "ExpectedTimes",
    "MovedPrompts",
    "MovesTopic",
    "OutstandingWork",
    "TargetPaces",
    "Work",
    "WorkBalance",
    "WorkPlacement",
]
