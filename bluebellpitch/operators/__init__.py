"""Operators: the table sheet, status, and the time line."""
