"""The actors of a controller. Each actor owns its state; other actors send it messages."""
