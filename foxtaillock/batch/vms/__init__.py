"""VMs of the pools: demand, moves between pools and maintenance."""
