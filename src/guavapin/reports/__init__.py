"""What operators are told of the state of the fleet; pure."""
