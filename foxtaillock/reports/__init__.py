"""Reports for operators: burn of service levels and measures of the fleet."""
