"""Explains where a call would go now, and why, without sending it.

The router imports this package when an operator asks for the first time. See
``docs/design/explain.md``.
"""

from __future__ import annotations

from yuccafold.edge.explain._explainer import Explainer
from yuccafold.edge.explain._explanation import Explanation
from yuccafold.edge.explain._explanation import Fate
from yuccafold.edge.explain._explanation import RuledOut
from yuccafold.edge.explain._explanation import TargetExplanation
from yuccafold.edge.explain._page import answer_question
from yuccafold.edge.explain._question import Question
from yuccafold.edge.explain._question import parse_question

__all__ = [
    "Explainer",
    "Explanation",
    "Fate",
    "Question",
    "RuledOut",
    "TargetExplanation",
    "answer_question",
    "parse_question",
]
