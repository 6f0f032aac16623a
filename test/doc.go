// Package test holds the tests that need real processes and faults from outside them:
// signals, broken connections and an unavailable platform.
//
// Each test starts its own platform, backend servers and nodes on the loopback address,
// and stops them at its end.
//
// # Usage
//
//	go test -race ./test
package test
