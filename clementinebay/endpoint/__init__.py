"""How endpoints are driven: requests, task starts, stops, renewals and reports."""
