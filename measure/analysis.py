"""Figures over the results of one run."""

from collections.abc import Iterable
from dataclasses import dataclass

from measure.load_generator import Result


def percentile(values: Iterable[float], share: float) -> float:
    """Returns the value below which ``share`` of the values lie; nan when there are none."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def of_class(results: list[Result], name: str) -> list[Result]:
    """Returns the results of one class."""
    return [result for result in results if result.class_name == name]


def attainment(results: list[Result]) -> float:
    """Returns the share of requests that were answered whole and within their targets."""
    return sum(result.in_time() for result in results) / len(results) if results else 1.0


def first_token(results: list[Result], share: float) -> float:
    """Returns a percentile of the time to the first token; an unanswered request counts as 60 s."""
    return percentile((r.answer.first_s if r.right else 60.0 for r in results), share)


def tokens_between(results: Iterable[Result], begin_s: float, end_s: float) -> float:
    """Returns tokens that came to callers in a time, a stream's tokens spread evenly over it."""
    return sum(tokens_of(result, begin_s, end_s) for result in results if result.right)


def tokens_of(result: Result, begin_s: float, end_s: float) -> float:
    """Returns the part of one answer's tokens that came in a time."""
    first_s, last_s = result.sent_s + result.answer.first_s, result.ended_s
    if last_s <= first_s:
        return result.arrival.tokens * (begin_s <= first_s < end_s)
    overlap = max(0.0, min(last_s, end_s) - max(first_s, begin_s))
    return result.arrival.tokens * overlap / (last_s - first_s)


def shed_before_lower(results: list[Result], tiers: dict[str, int]) -> int:
    """Counts requests shed though one of a lower tier that came later was admitted meanwhile."""
    shed = [r for r in results if r.answer.status == 503]
    served = [r for r in results if r.right]
    return sum(any(overtakes(s, r, tiers) for s in served) for r in shed)


def overtakes(served: Result, shed: Result, tiers: dict[str, int]) -> bool:
    """Tells whether a lower tier's request came after a shed one and was served."""
    lower = tiers[served.class_name] > tiers[shed.class_name]
    return lower and served.sent_s > shed.sent_s


@dataclass(frozen=True)
class Figure:
    """One line of the report. ``bound`` is text; ``met`` is None where no bound is set."""

    load: str
    mode: str
    name: str
    value: str
    bound: str = ""
    met: bool | None = None

    def line(self) -> str:
        """Returns the line of a Markdown table."""
        met = {None: "", True: "met", False: "MISSED"}[self.met]
        return f"| {self.load} | {self.mode} | {self.name} | {self.value} | {self.bound} | {met} |"
