"""Session leases of entry VMs and ownership of pools."""
