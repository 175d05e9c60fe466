"""Connection pools, single attempts at model engines and plain services, and event streams."""
