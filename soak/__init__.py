"""A fault soak: entry VMs as real processes, stand-ins around them, faults drawn from a seed."""
