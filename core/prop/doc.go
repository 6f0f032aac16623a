// Package prop holds stateful property tests of the reducer of a node.
//
// The tests simulate several nodes whose reducers communicate through a set of messages
// in flight. They model callers, backend servers and the platform, and inject random
// faults. After each step an oracle checks the invariants. It knows only what callers,
// backend servers and operators can observe. The package contains only tests.
//
// # Usage
//
//	go test ./core/prop
//	PROOF_FRESH=1 go test ./core/prop -rapid.checks=2000 -rapid.steps=60
package prop
