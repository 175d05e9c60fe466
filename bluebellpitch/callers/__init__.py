"""Callers: their requests, and the answers they get."""
