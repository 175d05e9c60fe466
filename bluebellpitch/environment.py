"""The process environment as an explicit object: streams, variables and clocks."""

import os
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(frozen=True)
class Environment:
    """Everything that the program reads from its environment; tests pass their own.

    ``now`` returns monotonic seconds, ``wall`` seconds since the Unix epoch.
    """

    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
    now: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
