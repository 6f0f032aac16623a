// Bulrushlock is a load balancer for backend servers whose load changes within
// milliseconds. One node runs beside each backend server: its entry takes requests of
// callers and selects a backend server, and its guard admits requests to the local one.
package main

import (
	"os"

	"bulrushlock/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
