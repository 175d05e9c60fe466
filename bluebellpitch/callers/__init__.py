"""Serving callers: HTTP listener, request parsing, admission, request handlers and responses."""
