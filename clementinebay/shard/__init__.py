"""A failure domain's replicated state: records, state machine, log and snapshots."""
