"""A small HTTP/1.1 server and client over asyncio, with httptools as the parser.

Meant for daemons that run on a fraction of a processor, where importing a full web
framework adds about a second to every restart.
"""
