"""Jobs of dependent steps: their state, its store, and the engine that runs them.

`engine` and what it imports are pure: state and time in, orders out.
"""
