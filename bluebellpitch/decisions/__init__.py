"""Decision logic without I/O: holds state, is passed the time and returns immutable decisions."""
