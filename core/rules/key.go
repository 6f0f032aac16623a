package rules

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"bulrushlock/core/creds"
)

// MaxPriority is the largest priority number, which is the lowest priority.
const MaxPriority = 9

// Upper bounds of the values of keys.
const (
	maxNameBytes      = 32
	maxMethodBytes    = 16
	maxSlots          = 65_536
	maxConnections    = 1_048_576
	maxWarmupRequests = 1_000_000
	maxRate           = 10_000 // per second
	maxColdRateFactor = 10
	maxColdRateSlack  = 1_000 // requests
	maxAttempts       = 100
	maxHostBytes      = 253
	maxWeight         = 1_000_000
	maxSplitServices  = 64
	maxDuration       = 24 * time.Hour
	maxBodyBytes      = 1_000 * gigabyte
	maxCustomerRate   = 1_000_000 // per second
	maxBurst          = 1_000_000 // requests
	maxKeys           = 64
)

// key parses and formats one KEY=VALUE pair of a rule that is stored in a T.
type key[T any] struct {
	name string
	// expected describes the valid values.
	expected string
	// example is a valid value.
	example string
	// required is set if the key has no default.
	required bool
	// parse sets the value and reports whether it is valid.
	parse func(record *T, text string) bool
	// format returns the value in the form that parse accepts.
	format func(record *T) string
	// secret is set if an invalid value may be a credential, which no fault quotes.
	secret bool
}

// serviceKeys lists the keys of a service rule.
var serviceKeys = []key[Service]{
	withRequired(withListedValue(intKey("slots", 1, maxSlots, "10", func(s *Service) *int { return &s.Slots }), func(s *Service) *int { return &s.Slots })),
	intKey("conns", 1, maxConnections, "250", func(s *Service) *int { return &s.Connections }),
	intKey("cold", 1, maxSlots, "2", func(s *Service) *int { return &s.ColdSlots }),
	intKey("warm", 1, maxWarmupRequests, "40", func(s *Service) *int { return &s.WarmupRequests }),
	durationKey("queue", 0, "5ms", func(s *Service) *time.Duration { return &s.QueueTimeout }),
	boolKey("shed", func(s *Service) *bool { return &s.ShedsBeforeRunning }),
	omitDefault(intKey("rate", 0, maxRate, "20", func(s *Service) *int { return &s.ColdRate }), "0"),
	pathKey("look", "/health", func(s *Service) *string { return &s.HealthPath }),
}

// routeKeys lists the keys of a route rule.
var routeKeys = []key[Route]{
	hostKey("host", "desk.example", func(r *Route) *string { return &r.Host }),
	nameKey("service", "ledger", func(r *Route) *string { return &r.Service }),
	splitKey("split", "ledger:90,archive:10", func(r *Route) *[]WeightedService { return &r.Split }),
	withRequired(boolKey("idempotent", func(r *Route) *bool { return &r.Idempotent })),
	durationKey("time", time.Nanosecond, "2s", func(r *Route) *time.Duration { return &r.HeaderTimeout }),
	omitIf(durationKey("whole", 0, "10s", func(r *Route) *time.Duration { return &r.TotalTimeout }), func(r *Route) bool { return r.TotalTimeout == r.HeaderTimeout }),
	omitDefault(durationKey("aim", 0, "500ms", func(r *Route) *time.Duration { return &r.LatencyTarget }), "0s"),
	intKey("tries", 1, maxAttempts, "2", func(r *Route) *int { return &r.MaxAttempts }),
	intKey("rank", 1, MaxPriority, "3", func(r *Route) *int { return &r.Priority }),
	sizeKey("body", "1MB", func(r *Route) *int64 { return &r.MaxBodyBytes }),
	omitDefault(boolKey("public", func(r *Route) *bool { return &r.Public }), "no"),
	omitDefault(boolKey("upload", func(r *Route) *bool { return &r.Upload }), "no"),
	omitDefault(boolKey("refuse", func(r *Route) *bool { return &r.Refused }), "no"),
}

// KeyDigests is the key of a customer rule whose value is a list of digests.
const KeyDigests = "keys"

// customerKeys lists the keys of a customer rule.
var customerKeys = []key[Customer]{
	withRequired(digestsKey(KeyDigests, func(c *Customer) *[]string { return &c.Keys })),
	omitDefault(decimalKey("rate", 0, maxCustomerRate, "50", func(c *Customer) *float64 { return &c.Rate }), "0"),
	omitDefault(intKey("burst", 0, maxBurst, "50", func(c *Customer) *int { return &c.Burst }), "0"),
	omitDefault(intKey("rank", 1, MaxPriority, "3", func(c *Customer) *int { return &c.Priority }), "0"),
}

// budgetKeys lists the keys of a budget rule.
var budgetKeys = []key[Budget]{
	intKey("probe", 0, maxRate, "5", func(b *Budget) *int { return &b.ProbeRate }),
	intKey("look", 1, maxRate, "2", func(b *Budget) *int { return &b.HealthCheckRate }),
	percentKey("retry", "10%", func(b *Budget) *float64 { return &b.RetryFraction }),
	percentKey("hedge", "2%", func(b *Budget) *float64 { return &b.HedgeFraction }),
	omitDefault(decimalKey("over", 1, maxColdRateFactor, "1.5", func(b *Budget) *float64 { return &b.ColdRateFactor }), strconv.Itoa(defaultColdRateFactor)),
	omitDefault(decimalKey("slack", 0, maxColdRateSlack, "5", func(b *Budget) *float64 { return &b.ColdRateSlack }), strconv.Itoa(defaultColdRateSlack)),
}

// outRuleValues holds the values of the keys of an out rule, of which exactly one must be set.
type outRuleValues struct {
	centre   string
	instance string
}

// outKeys lists the keys of an out rule.
var outKeys = []key[outRuleValues]{
	nameKey("centre", "north", func(o *outRuleValues) *string { return &o.centre }),
	nameKey("instance", "north-1", func(o *outRuleValues) *string { return &o.instance }),
}

// withRequired returns k without a default value.
func withRequired[T any](k key[T]) key[T] {
	k.required = true
	return k
}

// intKey returns a key whose value is an integer from low to high.
func intKey[T any](name string, low, high int, example string, field func(*T) *int) key[T] {
	return key[T]{
		name:     name,
		expected: fmt.Sprintf("a whole number from %d to %d", low, high),
		example:  example,
		parse: func(record *T, text string) bool {
			n, ok := parseDigits(text)
			if !ok || n < int64(low) || n > int64(high) {
				return false
			}
			*field(record) = int(n)
			return true
		},
		format: func(record *T) string { return strconv.Itoa(*field(record)) },
	}
}

// durationKey returns a key whose value is a duration from low to maxDuration.
func durationKey[T any](name string, low time.Duration, example string, field func(*T) *time.Duration) key[T] {
	return key[T]{
		name:     name,
		expected: fmt.Sprintf("a duration with its unit from %v to %v", low, maxDuration),
		example:  example,
		parse: func(record *T, text string) bool {
			d, err := time.ParseDuration(text)
			if err != nil || d < low || d > maxDuration {
				return false
			}
			*field(record) = d
			return true
		},
		format: func(record *T) string { return field(record).String() },
	}
}

// boolKey returns a key whose value is yes or no.
func boolKey[T any](name string, field func(*T) *bool) key[T] {
	return key[T]{
		name:     name,
		expected: "yes or no",
		example:  "no",
		parse: func(record *T, text string) bool {
			*field(record) = text == "yes"
			return text == "yes" || text == "no"
		},
		format: func(record *T) string {
			if *field(record) {
				return "yes"
			}
			return "no"
		},
	}
}

// percentKey returns a key whose value is a percentage, stored as a fraction from 0 to 1.
func percentKey[T any](name, example string, field func(*T) *float64) key[T] {
	return key[T]{
		name:     name,
		expected: "a percentage from 0% to 100% with at most two decimals",
		example:  example,
		parse: func(record *T, text string) bool {
			n, ok := parsePercent(text)
			if !ok {
				return false
			}
			*field(record) = float64(n) / basisPoints
			return true
		},
		format: func(record *T) string { return formatPercent(*field(record)) },
	}
}

// decimalKey returns a key whose value is a number from low to high with at most two decimals.
func decimalKey[T any](name string, low, high float64, example string, field func(*T) *float64) key[T] {
	return key[T]{
		name:     name,
		expected: fmt.Sprintf("a number from %s to %s with at most two decimals", formatDecimal(low), formatDecimal(high)),
		example:  example,
		parse: func(record *T, text string) bool {
			n, ok := parseHundredths(text)
			*field(record) = float64(n) / 100
			return ok && *field(record) >= low && *field(record) <= high
		},
		format: func(record *T) string { return formatDecimal(*field(record)) },
	}
}

// sizeKey returns a key whose value is a number of bytes with a unit.
func sizeKey[T any](name, example string, field func(*T) *int64) key[T] {
	return key[T]{
		name:     name,
		expected: "a size in B, KB, MB or GB up to 1000GB",
		example:  example,
		parse: func(record *T, text string) bool {
			n, ok := parseSize(text)
			if !ok {
				return false
			}
			*field(record) = n
			return true
		},
		format: func(record *T) string { return formatSize(*field(record)) },
	}
}

// omitDefault returns k with a format that omits the given default value from the rule.
func omitDefault[T any](k key[T], value string) key[T] {
	format := k.format
	k.format = func(record *T) string {
		if text := format(record); text != value {
			return text
		}
		return ""
	}
	return k
}

// omitIf returns k with a format that omits the value from the rule if isDefault holds.
func omitIf[T any](k key[T], isDefault func(record *T) bool) key[T] {
	format := k.format
	k.format = func(record *T) string {
		if isDefault(record) {
			return ""
		}
		return format(record)
	}
	return k
}

// valueListed is the value of a number that is taken from the instance list.
const valueListed = "listed"

// withListedValue returns k with the additional value valueListed, which is stored as 0.
func withListedValue[T any](k key[T], field func(*T) *int) key[T] {
	parse, format := k.parse, k.format
	k.expected += " or " + valueListed
	k.parse = func(record *T, text string) bool {
		if text == valueListed {
			*field(record) = 0
			return true
		}
		return parse(record, text)
	}
	k.format = func(record *T) string {
		if *field(record) == 0 {
			return valueListed
		}
		return format(record)
	}
	return k
}

// pathKey returns a key whose value is the path of an endpoint, or empty.
func pathKey[T any](name, example string, field func(*T) *string) key[T] {
	return key[T]{
		name:     name,
		expected: "a path that starts with /",
		example:  example,
		parse: func(record *T, text string) bool {
			*field(record) = text
			return text == "" || strings.HasPrefix(text, "/") && checkPath(text) == ""
		},
		format: func(record *T) string { return *field(record) },
	}
}

// hostKey returns a key whose value is a host name without a port, or empty.
func hostKey[T any](name, example string, field func(*T) *string) key[T] {
	return key[T]{
		name:     name,
		expected: "a lower-case host name without a port",
		example:  example,
		parse: func(record *T, text string) bool {
			*field(record) = text
			return len(text) <= maxHostBytes && consistsOf(text, "abcdefghijklmnopqrstuvwxyz0123456789-.")
		},
		format: func(record *T) string { return *field(record) },
	}
}

// splitKey returns a key whose value is a list of services with weights, or empty.
func splitKey[T any](name, example string, field func(*T) *[]WeightedService) key[T] {
	return key[T]{
		name:     name,
		expected: "a list of services with weights, at least one above 0",
		example:  example,
		parse: func(record *T, text string) bool {
			services, ok := parseSplit(text)
			*field(record) = services
			return ok
		},
		format: func(record *T) string { return formatSplit(*field(record)) },
	}
}

// nameKey returns a key whose value is the name of a service, data centre or instance.
func nameKey[T any](name, example string, field func(*T) *string) key[T] {
	return key[T]{
		name:     name,
		expected: expectedName,
		example:  example,
		parse: func(record *T, text string) bool {
			*field(record) = text
			return IsName(text)
		},
		format: func(record *T) string { return *field(record) },
	}
}

// digestsKey returns a key whose value is a list of digests of credentials.
func digestsKey[T any](name string, field func(*T) *[]string) key[T] {
	return key[T]{
		name:     name,
		expected: fmt.Sprintf("%s or a list of 1 to %d different digests of %d hexadecimal digits", valueNone, maxKeys, creds.Length),
		example:  creds.Digest(""),
		secret:   true,
		parse: func(record *T, text string) bool {
			digests, ok := parseDigestList(text)
			*field(record) = digests
			return ok
		},
		format: func(record *T) string { return formatDigests(*field(record)) },
	}
}
