"""Stand-ins that several test files share."""
