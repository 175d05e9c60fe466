"""Soak test: entry VM processes among fakes, with injected faults that are drawn from a seed."""
