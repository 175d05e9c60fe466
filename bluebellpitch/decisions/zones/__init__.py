"""Decisions about work that leaves its zone: whether it pays, where to, and how much."""
