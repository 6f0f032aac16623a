package rules_test

import (
	"fmt"

	"bulrushlock/core/rules"
)

func ExampleParse() {
	s, err := rules.Parse(`
service ledger slots=10 conns=250                    # Asha: ten workers a server
route GET /lines/* service=ledger idempotent=yes     # Asha: officers look up lines
`)
	if err != nil {
		fmt.Println(err)
		return
	}
	r, _ := s.Route("GET", "", "/lines/7")
	fmt.Println(r.Service, r.HeaderTimeout, r.Origin.RequestedBy)

	_, err = rules.Parse("service ledger slots=0 # Asha: none")
	fmt.Println(err)
	// Output:
	// ledger 2s Asha
	// rules: 1:16: slots="0" is not a whole number from 1 to 65536 or listed (for example, slots=10)
}
