"""Tasks that hold leases and call the platform's API under them."""
