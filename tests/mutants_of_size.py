"""Mutants of what serves many VMs and heavy load: waiting, heartbeats, readers, the bus."""

from tests.mutant import Mutant

SIZE_MUTANTS = (
    Mutant(
        "waiting: a prompt that waits leaves other engines to those behind it",
        "bluebellpitch/decisions/engine_reservations.py",
        "MAX_WAITING_PROMPTS = 4",
        "MAX_WAITING_PROMPTS = 1",
        "tests/test_waiting.py",
    ),
    Mutant(
        "waiting: refused callers return one after the other",
        "bluebellpitch/decisions/return_schedule.py",
        "        self._next_at = at + prompt_s / RETURN_SHARE\n",
        "",
        "tests/test_waiting.py",
    ),
    Mutant(
        "waiting: callers without room on return are spread",
        "bluebellpitch/decisions/return_schedule.py",
        "        self._without_room_count += 1\n",
        "",
        "tests/test_waiting.py",
    ),
    Mutant(
        "waiting: a refused caller is told a time that it honours",
        "bluebellpitch/decisions/return_schedule.py",
        "min(MAX_RETRY_AFTER_S, HONOURED_SHARE * (work.expires_at - now))",
        "MAX_RETRY_AFTER_S",
        "tests/test_waiting.py",
    ),
    Mutant(
        "shortage: room that was promised is kept",
        "bluebellpitch/decisions/generation_broker.py",
        "        kept = self._returns.take_room(work, now)\n",
        "        kept = None\n",
        "tests/test_shortage.py",
    ),
    Mutant(
        "shortage: members over their share wait behind others",
        "bluebellpitch/decisions/shortage/queue_order.py",
        "        return waiting.work.member in self.members_over_share\n",
        "        return False\n",
        "tests/test_shortage.py",
    ),
    Mutant(
        "shortage: a sudden rise does not raise a member's share",
        "bluebellpitch/decisions/shortage/fair_shares.py",
        "            use.asked.scale(USUAL_HALF_LIFE_S / math.log(2) / learnt_s)\n",
        "            pass\n",
        "tests/test_shortage.py",
    ),
    Mutant(
        "shortage: a broker learns usual demand before it puts members behind",
        "bluebellpitch/decisions/shortage/fair_shares.py",
        " or not self._has_learnt:",
        ":",
        "tests/test_shortage.py",
    ),
    Mutant(
        "shortage: a member that waits alone gets all that is free",
        "bluebellpitch/decisions/shortage/fair_shares.py",
        "if len(competing) < 2 or",
        "if",
        "tests/test_shortage.py",
    ),
    Mutant(
        "heartbeats: VMs without a role hear each other more rarely",
        "bluebellpitch/decisions/heartbeats.py",
        "ROUNDS_PER_FAR_HEARTBEAT = 2",
        "ROUNDS_PER_FAR_HEARTBEAT = 1",
        "tests/test_heartbeats.py",
    ),
    Mutant(
        "heartbeats: role holders hear a VM without a role often",
        "bluebellpitch/roles/peer_discovery.py",
        "        self._send_heartbeat(targets & near, heartbeats.near_s)\n",
        "        self._send_heartbeat(targets & near, 3 * heartbeats.near_s)\n",
        "tests/test_heartbeats.py",
    ),
    Mutant(
        "view: a read of the zone's reader counts, even if an own one is later",
        "bluebellpitch/decisions/confirmation.py",
        "        if is_by_reader or at > self.confirmed_at:\n",
        "        if at > self.confirmed_at:\n",
        "tests/test_endpoint_view.py",
    ),
    Mutant(
        "view: a VM that missed records leaves the store to the reader for a moment",
        "bluebellpitch/roles/topic_follower.py",
        "GAP_PATIENCE_S = 0.45",
        "GAP_PATIENCE_S = 0.0",
        "tests/test_endpoint_view.py",
    ),
    Mutant(
        "bus: a message whose handler fails costs no other",
        "bluebellpitch/peers/bus.py",
        "        except Exception as error:  # noqa: BLE001\n",
        "        except MemoryError as error:\n",
        "tests/test_bus.py",
    ),
)
