"""Pure decisions: state and clock in, decision out."""
