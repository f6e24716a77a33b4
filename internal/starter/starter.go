package starter

// Main runs the daemon until it is told to stop.
func Main() {}
