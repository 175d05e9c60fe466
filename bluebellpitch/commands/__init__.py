"""The commands of the program, one module per group, and the options that they share."""
