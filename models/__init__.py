"""Formal specifications of the core protocols, and their model checker, which uses z3."""
