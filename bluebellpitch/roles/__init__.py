"""Components of an entry VM, each of which runs as tasks and owns its state."""
