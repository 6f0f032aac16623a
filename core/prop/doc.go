// Package prop holds stateful property tests of the reducer of a node.
//
// The tests simulate several nodes whose reducers communicate through a set of messages
// in flight. They model callers, backend servers and the platform, and inject random
// faults. After each step an oracle checks the invariants. The oracle uses only what
// callers, backend servers and operators can observe. The package contains only tests.
//
// The tests use a fixed seed unless PROOF_FRESH is set. If PROOF_VIEWS is set, the log of
// a failed test includes the events that exchange documents and versions.
//
// # Usage
//
//	go test ./core/prop
//	PROOF_FRESH=1 go test ./core/prop -rapid.checks=2000 -rapid.steps=60
package prop
