"""The platform: its append-only log and its list of VMs."""
