"""Load, experiments and figures."""
