"""Small stand-ins for what the platform gives: engines, services, the log and the VM list."""
