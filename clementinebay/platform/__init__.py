"""Adapter to the users' platform: its settings file, store, endpoints and clients.

The adapter contains no scheduling logic: it translates the platform's names and formats
to the types of `clementinebay.workflow`.
"""
