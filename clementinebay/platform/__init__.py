"""The adapter to the users' platform: its settings file, store, endpoints and clients.

Translation only.  The platform's names are decoded here, once, into the types of
`clementinebay.workflow`.
"""
