"""Tools for operators: the table's CSV sheet, status reports and the event time line."""
