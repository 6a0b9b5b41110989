"""A scheduler for latency-critical and batch work that run colocated."""

__version__ = "0.1.0"
