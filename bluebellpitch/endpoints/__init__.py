"""Endpoints: model engines and plain services."""
