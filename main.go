// Bulrushlock balances load for servers whose load shifts in milliseconds.
package main

import (
	"os"

	"bulrushlock/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
