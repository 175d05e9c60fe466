"""Checks of a configuration before it is sent: rules, and what a new version changes."""
