"""Formal specifications of the core protocols, checked with z3."""
