"""Serving callers: HTTP listeners, request handlers, admission and responses."""
