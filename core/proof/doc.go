// Package proof holds the stateful property tests of the reducer of a node.
//
// The tests join several reducers by a bag of messages in flight, stand in for
// callers, backend servers and the platform, and inject faults in any order. An
// oracle that knows only what callers, backend servers and operators saw checks
// each step. The package has no code besides its tests.
//
// # Usage
//
//	go test ./core/proof
//	PROOF_FRESH=1 go test ./core/proof -rapid.checks=2000 -rapid.steps=60
package proof
