"""Connections to endpoints, and single attempts at model engines and plain services."""
