"""``python -m soak``: runs seeds and reports those that breach a guarantee."""

import random
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer
from loguru import logger

from soak.fault_schedule import FaultKind
from soak.run import run_seed


def main(
    seed: Annotated[int, typer.Option(help="The first seed; 0: random.")] = 0,
    seeds: Annotated[
        int, typer.Option(help="Number of seeds to run, counting up from the first.")
    ] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of fault injection per seed.")] = 15.0,
    vms: Annotated[int, typer.Option(help="Number of entry VMs.")] = 4,
    only: Annotated[
        list[FaultKind], typer.Option(help="Inject only faults of this kind; may be repeated.")
    ] = (),
    keep: Annotated[Path | None, typer.Option(help="Directory to keep logs in.")] = None,
) -> None:
    """Runs seeds; the exit status is 1 if one breaches a guarantee."""
    logger.remove()
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    failed = 0
    for current in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = (keep or Path(temporary)) / str(current)
            folder.mkdir(parents=True, exist_ok=True)
            history, breaches = run_seed(current, seconds, vms, folder, tuple(only))
        statuses = Counter(outcome.status for outcome in history.outcomes)
        terms = len({call.token for call in history.duty_calls})
        print(
            f"seed={current} breaches={len(breaches)} requests={dict(sorted(statuses.items()))} "
            f"duty_calls={len(history.duty_calls)} duty_terms={terms}"
        )
        for breach in breaches:
            print(f"  {breach}")
        failed += bool(breaches)
    print(f"{seeds} seeds from {first} on, {failed} with breaches")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
