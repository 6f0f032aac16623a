package rules

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/creds"
)

func TestParseCustomers(t *testing.T) {
	c := qt.New(t)
	one, two := creds.Digest("one"), creds.Digest("two")
	s, err := Parse(validService +
		"customer patan keys=" + one + "," + two + " rate=0.5 burst=3 rank=1 # Asha: the desk of Patan\n" +
		"customer closed keys=none # Asha: contract ended\n" +
		"route GET /open service=ledger idempotent=yes public=yes # Asha: calls\n")
	c.Assert(err, qt.IsNil)
	c.Assert(s.Customers, qt.DeepEquals, []Customer{
		{Name: "patan", Keys: []string{one, two}, Rate: 0.5, Burst: 3, Priority: 1, Origin: Origin{Line: 2, RequestedBy: "Asha", Reason: "the desk of Patan"}},
		{Name: "closed", Origin: Origin{Line: 3, RequestedBy: "Asha", Reason: "contract ended"}},
	})
	for _, digest := range []string{one, two} {
		customer, ok := s.CustomerOf(digest)
		c.Assert(ok, qt.IsTrue)
		c.Check(customer.Name, qt.Equals, "patan")
	}
	for _, digest := range []string{"", creds.Digest("three"), "one"} {
		_, ok := s.CustomerOf(digest)
		c.Check(ok, qt.IsFalse)
	}
	r, ok := s.Route("GET", "", "/open")
	c.Assert(ok, qt.IsTrue)
	c.Check(r.Public, qt.IsTrue)
}

func TestCustomerFaults(t *testing.T) {
	digest := creds.Digest("one")
	tests := []struct {
		name string
		// text is on line 2.
		text string
		want []string
	}{
		{name: "no name", text: "customer # a: b", want: []string{"2:1: the customer needs a name"}},
		{name: "bad name", text: "customer A keys=none # a: b", want: []string{"2:10: the customer needs a name"}},
		{name: "no keys", text: "customer a rate=1 # a: b", want: []string{"2:10: key keys is missing"}},
		{name: "empty keys", text: "customer a keys= # a: b", want: []string{"2:12: keys is not none or a list"}},
		{name: "upper case", text: "customer a keys=" + strings.ToUpper(digest) + " # a: b", want: []string{"2:12: keys is not none or a list"}},
		{name: "key twice", text: "customer a keys=" + digest + "," + digest + " # a: b", want: []string{"2:12: keys is not none or a list of 1 to 64 different digests"}},
		{name: "too many", text: "customer a keys=" + strings.TrimSuffix(strings.Repeat(digest+",", 65), ",") + " # a: b", want: []string{"2:12: keys is not"}},
		{name: "negative rate", text: "customer a keys=none rate=-1 # a: b", want: []string{`2:22: rate="-1" is not a number from 0`}},
		{name: "absurd rate", text: "customer a keys=none rate=1000001 # a: b", want: []string{`2:22: rate="1000001" is not a number from 0 to 1000000`}},
		{name: "no number", text: "customer a keys=none rate=NaN # a: b", want: []string{`2:22: rate="NaN" is not`}},
		{name: "negative burst", text: "customer a keys=none rate=1 burst=-1 # a: b", want: []string{`2:29: burst="-1" is not`}},
		{name: "burst without rate", text: "customer a keys=none burst=1 # a: b", want: []string{"2:22: burst=1 without a rate limits nothing"}},
		{name: "rank", text: "customer a keys=none rank=0 # a: b", want: []string{`2:22: rank="0" is not`}},
		{name: "public", text: "route GET / service=ledger idempotent=no public=maybe # a: b", want: []string{`2:42: public="maybe" is not yes or no`}},
		{name: "customer twice", text: "customer a keys=none # a: b\ncustomer a keys=none # a: b", want: []string{"3:10: customer a is already defined on line 2"}},
		{
			name: "key of two customers",
			text: "customer a keys=" + digest + " # a: b\ncustomer b keys=" + digest + " # a: b",
			want: []string{"3:12: customer a holds key " + creds.Short(digest) + " too, on line 2"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse(validService + tt.text)
			var faults *FaultsError
			c.Assert(errors.As(err, &faults), qt.IsTrue)
			c.Assert(faults.Faults, qt.HasLen, len(tt.want), qt.Commentf("%v", faults.Faults))
			for i, f := range faults.Faults {
				c.Check(strings.HasPrefix(f.String(), tt.want[i]), qt.IsTrue, qt.Commentf("%v", f))
			}
		})
	}
}

// An operator may write a credential in place of its digest. A fault goes to logs and screens,
// so it must not repeat the credential.
func TestFaultsDoNotQuoteCredentials(t *testing.T) {
	const credential = "gjy5rcpihhacruddedev"
	for _, pair := range []string{"keys=" + credential, "key=" + credential, "keys=" + creds.Digest("one") + "," + credential} {
		c := qt.New(t)
		_, err := Parse(validService + "customer a " + pair + " # a: b\n")
		var faults *FaultsError
		c.Assert(errors.As(err, &faults), qt.IsTrue)
		for _, f := range faults.Faults {
			c.Check(strings.Contains(f.String(), credential), qt.IsFalse, qt.Commentf("%v", f))
		}
	}
}

func TestCompareCustomers(t *testing.T) {
	c := qt.New(t)
	one, two := creds.Digest("one"), creds.Digest("two")
	parse := func(text string) *Set {
		s, err := Parse(validService + text)
		c.Assert(err, qt.IsNil)
		return s
	}
	before := parse("customer a keys=" + one + " rate=5 # a: b\ncustomer b keys=none # a: b")
	after := parse("customer a keys=" + one + "," + two + " rate=2.5 # a: c")
	c.Check(Compare(before, after).Edits, qt.DeepEquals, []Edit{
		{Kind: KindCustomer, Action: ActionChange, Name: "a", Values: []KeyChange{{Key: "keys", Before: one, After: one + "," + two}, {Key: "rate", Before: "5", After: "2.5"}}},
		{Kind: KindCustomer, Action: ActionRemove, Name: "b", Values: []KeyChange{{Key: "keys", Before: "none"}}},
	})
}

// BenchmarkParseManyCustomers parses the rules of a deployment with 800 customers, which each
// node does once for each version.
func BenchmarkParseManyCustomers(b *testing.B) {
	var text strings.Builder
	text.WriteString(validService)
	for i := range 800 {
		fmt.Fprintf(&text, "customer c-%d keys=%s,%s rate=112 burst=112 rank=1   # operator: version 00000007\n", i, creds.Digest(fmt.Sprint(i)), creds.Digest(fmt.Sprint(-i-1)))
	}
	b.SetBytes(int64(text.Len()))
	for b.Loop() {
		if _, err := Parse(text.String()); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCustomerOf(b *testing.B) {
	var text strings.Builder
	text.WriteString(validService)
	for i := range 800 {
		fmt.Fprintf(&text, "customer c-%d keys=%s # a: b\n", i, creds.Digest(fmt.Sprint(i)))
	}
	s, err := Parse(text.String())
	if err != nil {
		b.Fatal(err)
	}
	digest := creds.Digest("7")
	b.ReportAllocs()
	for b.Loop() {
		s.CustomerOf(digest)
	}
}
