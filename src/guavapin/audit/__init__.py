"""The audit trail."""
