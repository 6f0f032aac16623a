// Bulrushlock is a load balancer for backend servers whose load changes within
// milliseconds.
package main

import (
	"os"

	"bulrushlock/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
