"""Pure decisions: state and the present time in, frozen verdicts and commands out."""
