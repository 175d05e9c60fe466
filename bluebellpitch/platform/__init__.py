"""Adapter to the platform: its store and records, configuration, settings and HTTP messages."""
