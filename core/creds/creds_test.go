package creds_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/creds"
)

// The digest is that of the command printf %s secret | sha256sum | cut -c1-32, which operators
// use.
func TestDigest(t *testing.T) {
	c := qt.New(t)
	d := creds.Digest("secret")
	c.Check(d, qt.Equals, "2bb80d537b1da3e38bd30361aa855686")
	c.Check(creds.IsDigest(d), qt.IsTrue)
	c.Check(creds.Short(d), qt.Equals, "2bb80d53")
	c.Check(creds.Short(""), qt.Equals, "")
	for _, text := range []string{"", "secret", strings.ToUpper(d), d[1:], d + "0", d[1:] + "g"} {
		c.Check(creds.IsDigest(text), qt.IsFalse, qt.Commentf("%q", text))
	}
}
