"""Budgets for hedges: one for each class, so that moving slow work never multiplies a fault.

Work whose endpoint died is not counted here: accepted work is always resumed, within the attempts
of one request, and waits for a slot of the broker like any other, which paces it.
"""

from dataclasses import dataclass, field

from bluebellpitch.constants import HEDGE_BUDGET_CAP, HEDGE_BUDGET_SHARE


@dataclass(slots=True)
class HedgeBudget:
    """Each admitted request earns a share of a hedge; each hedge spends one.

    Source: the retry budget of Twitter's Finagle. ``cap`` bounds what may be saved up.
    """

    share: float = HEDGE_BUDGET_SHARE
    cap: float = HEDGE_BUDGET_CAP
    _saved_by_class: dict[str, float] = field(default_factory=dict)

    def earn(self, class_name: str) -> None:
        """Notes an admitted request."""
        saved = self._saved_by_class.get(class_name, self.cap)
        self._saved_by_class[class_name] = min(self.cap, saved + self.share)

    def allows(self, class_name: str) -> bool:
        """Tells whether a hedge may be made."""
        return self._saved_by_class.get(class_name, self.cap) >= 1.0

    def spend(self, class_name: str) -> None:
        """Takes one hedge out."""
        saved = self._saved_by_class.get(class_name, self.cap)
        self._saved_by_class[class_name] = max(0.0, saved - 1.0)
