"""Tools for operators: the table's sheet and editor, status, timeline and the admin server."""
