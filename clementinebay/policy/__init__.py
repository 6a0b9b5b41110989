"""Decisions without input or output: functions of the state and the clock."""
