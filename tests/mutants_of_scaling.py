"""Mutants of orders for endpoints."""

from tests.mutant import Mutant

LEVELS = "bluebellpitch/decisions/scaling/levels.py"
ORDERS = "bluebellpitch/decisions/scaling/orders.py"
SUPPLY = "bluebellpitch/decisions/scaling/supply.py"
TARGETS = "bluebellpitch/decisions/scaling/targets.py"
AUTOSCALER = "bluebellpitch/roles/duties/autoscaler.py"
REPLAYS = "tests/test_scaling_orders.py -k"
TASK = "tests/test_autoscaler.py -k"
SCALING_MUTANTS = (
    Mutant(
        "scaling: on-demand endpoints stay until spot ones serve",
        TARGETS,
        "max(self.on_demand[zone], self._kept_on_demand(zone))",
        "self.on_demand[zone]",
        f"{REPLAYS} only_once_they_serve",
    ),
    Mutant(
        "scaling: each zone keeps some on demand",
        TARGETS,
        "ON_DEMAND_SHARE = 0.1\n",
        "ON_DEMAND_SHARE = 0.0\n",
        f"{REPLAYS} loss_of_one_zone",
    ),
    Mutant(
        "scaling: other zones stand in for one without spot endpoints",
        TARGETS,
        "        return missing\n",
        "        return 0\n",
        f"{REPLAYS} reclaimed_zone",
    ),
    Mutant(
        "scaling: other zones stand in until the endpoints are back",
        TARGETS,
        "if not missing or not supply.is_doubtful:",
        "if not missing or not supply.is_blocked(self._now):",
        f"{REPLAYS} reclaimed_zone",
    ),
    Mutant(
        "scaling: failures in a row are tried less and less",
        SUPPLY,
        "min(MAX_BACKOFF_S, 2 * self.backoff_s)",
        "FIRST_BACKOFF_S",
        f"{REPLAYS} dry_platform",
    ),
    Mutant(
        "scaling: orders that are not met are given up",
        SUPPLY,
        '            return self._give_up(group, "not_met", now)\n',
        "            return None\n",
        f"{REPLAYS} crash_at_boot",
    ),
    Mutant(
        "scaling: nothing goes down before all zones were heard",
        ORDERS,
        "count < supply.ordered and self._may_lower(now)",
        "count < supply.ordered",
        f"{REPLAYS} heard_all_zones",
    ),
    Mutant(
        "scaling: a new holder keeps what there is for a while",
        ORDERS,
        "            history.keep(self.supply.initial_by_zone.get(zone, 0), now)\n",
        "            pass\n",
        f"{REPLAYS} for_a_peak",
    ),
    Mutant(
        "scaling: what a zone said is forgotten",
        ORDERS,
        "            if now - heard.heard_at <= DEMAND_MAX_AGE_S\n",
        "",
        f"{REPLAYS} silent_zone",
    ),
    Mutant(
        "scaling: peaks are kept",
        LEVELS,
        "want = max(must, rise, peak)",
        "want = level",
        f"{REPLAYS} without_swinging",
    ),
    Mutant(
        "scaling: the loss of a zone is measured at the crest of a wave",
        TARGETS,
        "min(most, n.lasting)",
        "min(most, n.now)",
        f"{REPLAYS} two_reclaimed",
    ),
    Mutant(
        "scaling: on-demand endpoints that are kept count as left",
        TARGETS,
        "sum(map(self._on_demand_in, self._needs_by_zone))",
        "sum(self.on_demand.values())",
        f"{REPLAYS} two_reclaimed",
    ),
    Mutant(
        "scaling: orders keep the maximum of both capacity types",
        ORDERS,
        "self.config.max_count - max(other.accepted, other.standing)",
        "self.config.max_count",
        f"{REPLAYS} within_the_limits",
    ),
    Mutant(
        "scaling: no order is for less than no endpoints",
        "bluebellpitch/decisions/scaling/orders.py",
        "count = max(0, min(count, self.config.max_count - other.accepted))",
        "count = min(count, self.config.max_count - other.accepted)",
        f"{REPLAYS} lowered",
    ),
    Mutant(
        "scaling: orders keep the minimum of both capacity types",
        ORDERS,
        "max(order.count, supply.ordered - step, least)",
        "max(order.count, supply.ordered - step)",
        f"{REPLAYS} within_the_limits",
    ),
    Mutant(
        "scaling: a new token forgets what was planned",
        AUTOSCALER,
        "            self._planners_by_pool.clear()\n",
        "            pass\n",
        f"{TASK} begins_anew",
    ),
    Mutant(
        "scaling: a new holder knows the orders of earlier ones",
        SUPPLY,
        "self.placed_by_group.get(group, unknown)",
        "unknown",
        f"{REPLAYS} neither_repeats",
    ),
    Mutant(
        "scaling: nothing is lowered before what was ordered can have come",
        ORDERS,
        "if self.placed_by_group and now - self.started_at < self.config.boot_s:",
        "if False:",
        f"{REPLAYS} neither_repeats",
    ),
    Mutant(
        "scaling: orders are kept for the next holder",
        AUTOSCALER,
        "            self._holder.append_later(token, (record,))\n",
        "            pass\n",
        f"{TASK} begins_anew",
    ),
    Mutant(
        "scaling: an API that keeps failing is left to another VM",
        AUTOSCALER,
        '            await self._holder.give_back(f"api_{reason}")\n',
        "            pass\n",
        f"{TASK} given_back",
    ),
    Mutant(
        "scaling: calls keep to the calls per second",
        AUTOSCALER,
        "        return self._call_interval_s\n",
        "        return 0.0\n",
        f"{TASK} calls_per_second",
    ),
)
