"""Budgets for hedged requests, one per class, so that hedging cannot amplify a fault.

Requests whose endpoint crashed are not counted: an accepted request is always resumed, within its
maximum number of attempts, and the broker's queue limits the rate.
"""

from dataclasses import dataclass, field

from bluebellpitch.constants import HEDGE_BUDGET_CAP, HEDGE_BUDGET_SHARE


@dataclass(slots=True)
class HedgeBudget:
    """Each admitted request adds a fraction of a hedge to the balance; each hedge costs one.

    Modelled on the retry budget of Twitter's Finagle. ``max_balance`` caps the balance.
    """

    earned_per_request: float = HEDGE_BUDGET_SHARE
    max_balance: float = HEDGE_BUDGET_CAP
    _balance_by_class: dict[str, float] = field(default_factory=dict)

    def earn(self, class_name: str) -> None:
        """Credits an admitted request."""
        balance = self._balance_by_class.get(class_name, self.max_balance)
        self._balance_by_class[class_name] = min(
            self.max_balance, balance + self.earned_per_request
        )

    def allows(self, class_name: str) -> bool:
        """Returns whether the balance covers a hedge."""
        return self._balance_by_class.get(class_name, self.max_balance) >= 1.0

    def spend(self, class_name: str) -> None:
        """Charges one hedge."""
        balance = self._balance_by_class.get(class_name, self.max_balance)
        self._balance_by_class[class_name] = max(0.0, balance - 1.0)
