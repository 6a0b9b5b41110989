"""Stand-ins and checks of the cases 6 to 10."""
