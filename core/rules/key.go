package rules

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds of the values of keys.
const (
	maxNameBytes   = 32
	maxMethodBytes = 16
	maxSlots       = 65_536
	maxConnections = 1_048_576
	maxWarm        = 1_000_000
	maxRate        = 10_000 // a second
	maxOver        = 10
	maxSlack       = 1_000 // requests
	maxRank        = 9
	maxTries       = 100
	maxHostBytes   = 253
	maxWeight      = 1_000_000
	maxParts       = 64
	maxDuration    = 24 * time.Hour
	maxBodyBytes   = 1_000 * gigabyte
)

// key reads and shows one KEY=VALUE pair of a rule that is kept in a T.
type key[T any] struct {
	name string
	// want describes the good values.
	want string
	// example is a good value.
	example string
	// required tells that the key has no default.
	required bool
	// read sets the value and tells whether it is a good one.
	read func(record *T, text string) bool
	// show returns the value in the form that read accepts.
	show func(record *T) string
}

// serviceKeys lists the keys of a service rule.
var serviceKeys = []key[Service]{
	required(listedKey(intKey("slots", 1, maxSlots, "10", func(s *Service) *int { return &s.Slots }), func(s *Service) *int { return &s.Slots })),
	intKey("conns", 1, maxConnections, "250", func(s *Service) *int { return &s.Connections }),
	intKey("cold", 1, maxSlots, "2", func(s *Service) *int { return &s.Cold }),
	intKey("warm", 1, maxWarm, "40", func(s *Service) *int { return &s.Warm }),
	durationKey("queue", 0, "5ms", func(s *Service) *time.Duration { return &s.Queue }),
	boolKey("shed", func(s *Service) *bool { return &s.Shed }),
	optional(intKey("rate", 0, maxRate, "20", func(s *Service) *int { return &s.Rate }), "0"),
	pathKey("look", "/health", func(s *Service) *string { return &s.Look }),
}

// routeKeys lists the keys of a route rule.
var routeKeys = []key[Route]{
	hostKey("host", "desk.example", func(r *Route) *string { return &r.Host }),
	nameKey("service", "ledger", func(r *Route) *string { return &r.Service }),
	splitKey("split", "ledger:90,archive:10", func(r *Route) *[]Part { return &r.Split }),
	required(boolKey("idempotent", func(r *Route) *bool { return &r.Idempotent })),
	durationKey("time", time.Nanosecond, "2s", func(r *Route) *time.Duration { return &r.Time }),
	optional(durationKey("whole", 0, "10s", func(r *Route) *time.Duration { return &r.Whole }), "0s"),
	optional(durationKey("aim", 0, "500ms", func(r *Route) *time.Duration { return &r.Aim }), "0s"),
	intKey("tries", 1, maxTries, "2", func(r *Route) *int { return &r.Tries }),
	intKey("rank", 1, maxRank, "3", func(r *Route) *int { return &r.Rank }),
	sizeKey("body", "1MB", func(r *Route) *int64 { return &r.Body }),
}

// budgetKeys lists the keys of a budget rule.
var budgetKeys = []key[Budget]{
	intKey("probe", 0, maxRate, "5", func(b *Budget) *int { return &b.Probe }),
	intKey("look", 1, maxRate, "2", func(b *Budget) *int { return &b.Look }),
	shareKey("retry", "10%", func(b *Budget) *float64 { return &b.Retry }),
	shareKey("hedge", "2%", func(b *Budget) *float64 { return &b.Hedge }),
	optional(decimalKey("over", 1, maxOver, "1.5", func(b *Budget) *float64 { return &b.Over }), strconv.Itoa(defaultOver)),
	optional(decimalKey("slack", 0, maxSlack, "5", func(b *Budget) *float64 { return &b.Slack }), strconv.Itoa(defaultSlack)),
}

// outNames holds the names that an out rule may give; one of them is set.
type outNames struct {
	centre   string
	instance string
}

// outKeys lists the keys of an out rule.
var outKeys = []key[outNames]{
	nameKey("centre", "north", func(o *outNames) *string { return &o.centre }),
	nameKey("instance", "north-1", func(o *outNames) *string { return &o.instance }),
}

// required returns k without a default.
func required[T any](k key[T]) key[T] {
	k.required = true
	return k
}

// intKey returns a key whose value is a whole number from low to high.
func intKey[T any](name string, low, high int, example string, at func(*T) *int) key[T] {
	return key[T]{
		name:    name,
		want:    fmt.Sprintf("a whole number from %d to %d", low, high),
		example: example,
		read: func(record *T, text string) bool {
			n, ok := parseDigits(text)
			if !ok || n < int64(low) || n > int64(high) {
				return false
			}
			*at(record) = int(n)
			return true
		},
		show: func(record *T) string { return strconv.Itoa(*at(record)) },
	}
}

// durationKey returns a key whose value is a duration of at least low.
func durationKey[T any](name string, low time.Duration, example string, at func(*T) *time.Duration) key[T] {
	return key[T]{
		name:    name,
		want:    fmt.Sprintf("a duration with its unit from %v to %v", low, maxDuration),
		example: example,
		read: func(record *T, text string) bool {
			d, err := time.ParseDuration(text)
			if err != nil || d < low || d > maxDuration {
				return false
			}
			*at(record) = d
			return true
		},
		show: func(record *T) string { return at(record).String() },
	}
}

// boolKey returns a key whose value is yes or no.
func boolKey[T any](name string, at func(*T) *bool) key[T] {
	return key[T]{
		name:    name,
		want:    "yes or no",
		example: "no",
		read: func(record *T, text string) bool {
			*at(record) = text == "yes"
			return text == "yes" || text == "no"
		},
		show: func(record *T) string {
			if *at(record) {
				return "yes"
			}
			return "no"
		},
	}
}

// shareKey returns a key whose value is a percentage, kept as a share from 0 to 1.
func shareKey[T any](name, example string, at func(*T) *float64) key[T] {
	return key[T]{
		name:    name,
		want:    "a percentage from 0% to 100% with at most two decimals",
		example: example,
		read: func(record *T, text string) bool {
			n, ok := parsePercent(text)
			if !ok {
				return false
			}
			*at(record) = float64(n) / hundredths
			return true
		},
		show: func(record *T) string { return formatPercent(*at(record)) },
	}
}

// decimalKey returns a key whose value is a number from low to high with at most two decimals.
func decimalKey[T any](name string, low, high float64, example string, at func(*T) *float64) key[T] {
	return key[T]{
		name:    name,
		want:    fmt.Sprintf("a number from %v to %v with at most two decimals", low, high),
		example: example,
		read: func(record *T, text string) bool {
			n, ok := parseHundredths(text)
			*at(record) = float64(n) / 100
			return ok && *at(record) >= low && *at(record) <= high
		},
		show: func(record *T) string { return strconv.FormatFloat(*at(record), 'f', -1, 64) },
	}
}

// sizeKey returns a key whose value is a number of bytes with its unit.
func sizeKey[T any](name, example string, at func(*T) *int64) key[T] {
	return key[T]{
		name:    name,
		want:    "a size in B, KB, MB or GB up to 1000GB",
		example: example,
		read: func(record *T, text string) bool {
			n, ok := parseSize(text)
			if !ok {
				return false
			}
			*at(record) = n
			return true
		},
		show: func(record *T) string { return formatSize(*at(record)) },
	}
}

// optional returns k whose value none is not written out.
func optional[T any](k key[T], none string) key[T] {
	show := k.show
	k.show = func(record *T) string {
		if text := show(record); text != none {
			return text
		}
		return ""
	}
	return k
}

// wordListed is the value of a number that the list of instances tells.
const wordListed = "listed"

// listedKey returns k with a further value, which stands for 0 in the record.
func listedKey[T any](k key[T], at func(*T) *int) key[T] {
	read, show := k.read, k.show
	k.want += " or " + wordListed
	k.read = func(record *T, text string) bool {
		if text == wordListed {
			*at(record) = 0
			return true
		}
		return read(record, text)
	}
	k.show = func(record *T) string {
		if *at(record) == 0 {
			return wordListed
		}
		return show(record)
	}
	return k
}

// pathKey returns a key whose value is the path of an endpoint, or nothing.
func pathKey[T any](name, example string, at func(*T) *string) key[T] {
	return key[T]{
		name:    name,
		want:    "a path that begins with /",
		example: example,
		read: func(record *T, text string) bool {
			*at(record) = text
			return text == "" || strings.HasPrefix(text, "/") && checkPath(text) == ""
		},
		show: func(record *T) string { return *at(record) },
	}
}

// hostKey returns a key whose value is the name of a host without a port, or nothing.
func hostKey[T any](name, example string, at func(*T) *string) key[T] {
	return key[T]{
		name:    name,
		want:    "a host name in small letters, without a port",
		example: example,
		read: func(record *T, text string) bool {
			*at(record) = text
			return len(text) <= maxHostBytes && consistsOf(text, "abcdefghijklmnopqrstuvwxyz0123456789-.")
		},
		show: func(record *T) string { return *at(record) },
	}
}

// splitKey returns a key whose value lists services with their weights, or nothing.
func splitKey[T any](name, example string, at func(*T) *[]Part) key[T] {
	return key[T]{
		name:    name,
		want:    "services with weights, of which one is above 0",
		example: example,
		read: func(record *T, text string) bool {
			parts, ok := parseSplit(text)
			*at(record) = parts
			return ok
		},
		show: func(record *T) string { return formatSplit(*at(record)) },
	}
}

// nameKey returns a key whose value is a name.
func nameKey[T any](name, example string, at func(*T) *string) key[T] {
	return key[T]{
		name:    name,
		want:    wantName,
		example: example,
		read: func(record *T, text string) bool {
			*at(record) = text
			return isName(text)
		},
		show: func(record *T) string { return *at(record) },
	}
}
