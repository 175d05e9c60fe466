"""Duties of one VM at a time: leases with fencing tokens, and what usage reports hold."""
