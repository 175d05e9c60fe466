"""How many endpoints a pool needs in each zone, and of which capacity type."""
