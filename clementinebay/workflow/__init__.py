"""Jobs of dependent steps: their state, its storage and the engine that schedules them.

`engine` and the modules it imports perform no I/O.
"""
