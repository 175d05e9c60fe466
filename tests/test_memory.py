"""The memory of real VMs whose endpoints answer many callers without end."""

import asyncio

import pytest

from measure.memory import run_part

# The smallest limit that a deployment is known to set.
MEMORY_MB = 128
CALLERS = 100


@pytest.mark.parametrize("program", ["route", "serve"])
@pytest.mark.parametrize("part", ["length", "event"])
def test_vm_stays_within_its_memory_and_serves_sound_callers(program, part):
    """Guards against a VM that keeps endless answers until it is ended for its memory."""
    use = asyncio.run(run_part(program, part, CALLERS, MEMORY_MB))
    assert not use.has_ended
    assert use.peak_mb < MEMORY_MB, use.describe()
    assert use.sound and not use.sound_failed, use.describe()
    assert set(use.statuses) <= {502, 503, 504, 0}, use.describe()


@pytest.mark.parametrize("program", ["route", "serve"])
def test_callers_that_do_not_read_leave_memory_to_sound_ones(program):
    """Guards against hundreds of callers whose responses wait in the VM for them."""
    use = asyncio.run(run_part(program, "large events", 2 * CALLERS, MEMORY_MB, reads=False))
    assert not use.has_ended
    assert use.peak_mb < MEMORY_MB, use.describe()
    assert use.sound and not use.sound_failed, use.describe()
