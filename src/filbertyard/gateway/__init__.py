"""Entry hosts that send requests straight to replicas under grants of their owners."""
