"""Decision logic without I/O: takes state and the current time, returns immutable decisions."""
