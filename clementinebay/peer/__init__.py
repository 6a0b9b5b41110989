"""Communication between daemons: thrift messages in frames over TCP."""
