"""Load generators, experiments and plots."""
