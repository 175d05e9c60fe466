"""Fake engines, services, store and network links, and the deployments and demos built on them."""
