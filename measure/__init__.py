"""Measurements: scheduling under load and faults against baselines, one entry VM, and capacity."""
