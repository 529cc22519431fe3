"""The page that answers an operator's question."""

from __future__ import annotations

import json

from yuccafold._clock import Milliseconds
from yuccafold.edge.explain._explainer import Explainer
from yuccafold.edge.explain._question import QuestionError
from yuccafold.edge.explain._question import parse_question


def answer_question(
    explainer: Explainer, query: str, now: Milliseconds
) -> tuple[int, str]:
    """Return the status and text of the page for the ``query`` of a request."""
    try:
        explanation = explainer.explain(parse_question(query), now)
    except QuestionError as error:
        return 400, json.dumps({"error": str(error)})
    return 200, json.dumps(explanation.as_json())
