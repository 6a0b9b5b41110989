"""Stand-ins for outside systems, as real processes; the package never imports them."""
