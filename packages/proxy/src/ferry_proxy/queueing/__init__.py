"""In which order requests run, and which are refused."""
