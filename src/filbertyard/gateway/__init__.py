"""Entry hosts that send requests directly to replicas, admitted by their owners."""
