"""``python -m soak``: plays seeds until one breaks a promise."""

import random
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer
from loguru import logger

from soak.fault_schedule import Kind
from soak.run import judge


def main(
    seed: Annotated[int, typer.Option(help="The first seed; 0: drawn now.")] = 0,
    seeds: Annotated[int, typer.Option(help="How many seeds, one after the other.")] = 1,
    seconds: Annotated[float, typer.Option(help="How long faults are brought about.")] = 15.0,
    vms: Annotated[int, typer.Option(help="How many entry VMs.")] = 4,
    only: Annotated[list[Kind], typer.Option(help="Only faults of these kinds.")] = (),
    keep: Annotated[Path | None, typer.Option(help="Where to keep logs.")] = None,
) -> None:
    """Plays seeds; the exit status is 1 when one breaks a promise."""
    logger.remove()
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    broken = 0
    for number in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = (keep or Path(temporary)) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
            record, breaches = judge(number, seconds, vms, folder, tuple(only))
        statuses = Counter(outcome.status for outcome in record.outcomes)
        print(f"seed={number} breaches={len(breaches)} requests={dict(sorted(statuses.items()))}")
        for breach in breaches:
            print(f"  {breach}")
        broken += bool(breaches)
    print(f"{seeds} seeds from {first} on, {broken} broke a promise")
    raise typer.Exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)
