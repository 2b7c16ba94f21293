"""Messages between entry VMs."""
