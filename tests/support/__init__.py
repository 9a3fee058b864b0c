"""Fakes and simulations that several test files share."""
