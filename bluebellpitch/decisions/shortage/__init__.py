"""Decisions that only take effect while engines cannot serve all who ask."""
