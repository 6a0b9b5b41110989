"""HTTP/1.1 over asyncio with httptools as parser: a small server and a client.

Meant for daemons on a fraction of a processor: importing a whole web framework costs
such a daemon a second of every restart.
"""
