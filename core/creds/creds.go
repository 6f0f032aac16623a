// Package creds computes the digests by which the rules, the logs and the nodes name the
// credentials of customers. A credential itself stays between the caller and the node that it
// calls.
//
// A digest is not a password hash: credentials are random and long, so nobody finds one by
// trying, and a node computes a digest for each request.
//
// # Usage
//
//	digest := creds.Digest(credential)
//	customer, ok := set.CustomerOf(digest)
//	log(creds.Short(digest))
package creds

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	// size is the number of bytes of SHA-256 that a digest keeps. No second credential with the
	// same 16 bytes can be found.
	size = 16
	// Length is the length of the text of a digest.
	Length = 2 * size
	// shortLength is the length of the text that Short returns.
	shortLength = 8
)

// Digest returns the digest of a credential in lower-case hexadecimal digits.
func Digest(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:size])
}

// IsDigest reports whether text has the form that Digest returns.
func IsDigest(text string) bool {
	if len(text) != Length {
		return false
	}
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Short returns the first digits of a digest, for logs.
func Short(digest string) string { return digest[:min(len(digest), shortLength)] }
