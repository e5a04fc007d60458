"""Names, formats and calls of the Drakensig platform, without decision logic."""
