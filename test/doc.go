// Package test holds the tests that need real processes: signals, broken
// connections, and a platform that is away.
//
// Each test starts a platform, backend servers and nodes of its own on the
// loopback address, and ends them.
//
// # Usage
//
//	go test -race ./test
package test
