"""Adapter to the platform: its append-only store, settings and message formats."""
