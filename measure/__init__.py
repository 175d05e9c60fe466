"""Measurements of the scheduling policy under load and faults, against baseline policies."""
