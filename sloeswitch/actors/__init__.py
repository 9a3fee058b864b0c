"""The actors of a controller. Each owns its state; others send it messages."""
