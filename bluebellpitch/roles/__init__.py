"""Components of an entry VM, each of which owns its state; most run background tasks."""
