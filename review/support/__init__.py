"""Stand-ins and helpers that the cases of the review share."""
