"""Statistics over the results of a run."""

from collections.abc import Iterable
from dataclasses import dataclass

from measure.load_generator import RequestResult


def percentile(values: Iterable[float], fraction: float) -> float:
    """Returns the value below which ``fraction`` of the values lie, or NaN if there are none."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def of_class(results: list[RequestResult], name: str) -> list[RequestResult]:
    """Returns the results of one class."""
    return [result for result in results if result.class_name == name]


def attainment(results: list[RequestResult]) -> float:
    """Returns the share of requests that were answered completely and within their targets."""
    return sum(result.meets_targets() for result in results) / len(results) if results else 1.0


def first_token_s(results: list[RequestResult], fraction: float) -> float:
    """Returns a percentile of the time to the first token; 60 s for a request without an answer."""
    return percentile((r.answer.first_token_s if r.is_correct else 60.0 for r in results), fraction)


def tokens_in_window(results: Iterable[RequestResult], start_s: float, end_s: float) -> float:
    """Returns the tokens delivered in a time window, assuming that each stream is evenly paced."""
    return sum(
        result_tokens_in_window(result, start_s, end_s) for result in results if result.is_correct
    )


def result_tokens_in_window(result: RequestResult, start_s: float, end_s: float) -> float:
    """Returns how many tokens of one answer were delivered in a time window."""
    first_s, last_s = result.sent_s + result.answer.first_token_s, result.finished_s
    if last_s <= first_s:
        return result.arrival.tokens * (start_s <= first_s < end_s)
    overlap = max(0.0, min(last_s, end_s) - max(first_s, start_s))
    return result.arrival.tokens * overlap / (last_s - first_s)


def count_priority_inversions(results: list[RequestResult], tiers: dict[str, int]) -> int:
    """Counts shed requests for which a later request of a lower tier was served."""
    shed = [r for r in results if r.answer.status == 503]
    served = [r for r in results if r.is_correct]
    return sum(any(is_priority_inversion(s, r, tiers) for s in served) for r in shed)


def is_priority_inversion(
    served: RequestResult, shed: RequestResult, tiers: dict[str, int]
) -> bool:
    """Returns whether a served request of a lower tier was sent after a shed request."""
    is_lower_tier = tiers[served.class_name] > tiers[shed.class_name]
    return is_lower_tier and served.sent_s > shed.sent_s


@dataclass(frozen=True)
class Measurement:
    """One row of the report. ``is_met`` is None if there is no bound."""

    workload: str
    mode: str
    name: str
    value: str
    bound: str = ""
    is_met: bool | None = None

    def table_row(self) -> str:
        """Returns the row in Markdown."""
        met = {None: "", True: "met", False: "MISSED"}[self.is_met]
        return (
            f"| {self.workload} | {self.mode} | {self.name} | {self.value} | {self.bound} | {met} |"
        )
