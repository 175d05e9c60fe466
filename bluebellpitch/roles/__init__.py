"""Roles that entry VMs take: each is a task that owns its state."""
