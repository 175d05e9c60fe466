"""Fakes of the servers around the product: engines, services, the store and network links."""
