"""The commands of the program, one module per group."""
