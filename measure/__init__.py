"""Measures the policy under load and faults, against baselines of our own."""
