"""Messaging between entry VMs over ZeroMQ."""
