package rules

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"bulrushlock/core/creds"
)

// Units of sizes, in bytes.
const (
	kilobyte = 1_000
	megabyte = 1_000 * kilobyte
	gigabyte = 1_000 * megabyte
)

// basisPoints is the number of hundredths of a percent in 100%.
const basisPoints = 10_000

// expectedName describes the valid names.
const expectedName = "a name of 1 to 32 characters from a-z, 0-9 and -"

// IsName reports whether text is a valid name of a service, data centre or instance.
func IsName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	return consistsOf(text, "abcdefghijklmnopqrstuvwxyz0123456789-")
}

// consistsOf reports whether text contains only bytes of allowed.
func consistsOf(text, allowed string) bool {
	for i := range len(text) {
		if strings.IndexByte(allowed, text[i]) < 0 {
			return false
		}
	}
	return true
}

// parseDigits parses a non-negative decimal integer without a sign.
func parseDigits(text string) (int64, bool) {
	if text == "" || !consistsOf(text, "0123456789") {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}

// parsePercent parses a percentage and returns it in hundredths of a percent.
func parsePercent(text string) (int64, bool) {
	number, found := strings.CutSuffix(text, "%")
	if !found {
		return 0, false
	}
	n, ok := parseHundredths(number)
	return n, ok && n <= basisPoints
}

// parseHundredths parses a number with at most two decimals and returns it in hundredths.
func parseHundredths(text string) (int64, bool) {
	whole, decimals, point := strings.Cut(text, ".")
	if len(decimals) > 2 || point && decimals == "" {
		return 0, false
	}
	n, ok := parseDigits(whole + decimals + "00"[len(decimals):])
	return n, ok && whole != ""
}

// formatDecimal formats a number without an exponent.
func formatDecimal(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// formatPercent formats a fraction from 0 to 1 as a percentage.
func formatPercent(fraction float64) string {
	return strconv.FormatFloat(math.Round(fraction*basisPoints)/100, 'f', -1, 64) + "%"
}

// unit is a unit of size.
type unit struct {
	name  string
	bytes int64
}

// units lists the units of size, largest first.
var units = []unit{{"GB", gigabyte}, {"MB", megabyte}, {"KB", kilobyte}, {"B", 1}}

// parseSize parses a size with a unit and returns it in bytes.
func parseSize(text string) (int64, bool) {
	for _, u := range units {
		number, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		n, ok := parseDigits(number)
		if !ok || n > maxBodyBytes/u.bytes {
			return 0, false
		}
		return n * u.bytes, true
	}
	return 0, false
}

// formatSize formats n bytes in the largest unit that divides n.
func formatSize(n int64) string {
	for _, u := range units {
		if n >= u.bytes && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// parseSplit parses a list of services with weights. Each service may occur only once,
// and at least one weight must be above 0.
func parseSplit(text string) ([]WeightedService, bool) {
	if text == "" {
		return nil, true
	}
	var services []WeightedService
	total := int64(0)
	seen := make(map[string]bool)
	for item := range strings.SplitSeq(text, ",") {
		name, weight, found := strings.Cut(item, ":")
		n, ok := parseDigits(weight)
		if !found || !ok || n > maxWeight || !IsName(name) || seen[name] || len(services) == maxSplitServices {
			return nil, false
		}
		seen[name] = true
		total += n
		services = append(services, WeightedService{Service: name, Weight: int(n)})
	}
	return services, total > 0
}

// formatSplit formats services in the form that parseSplit accepts.
func formatSplit(services []WeightedService) string {
	texts := make([]string, len(services))
	for i, p := range services {
		texts[i] = p.Service + ":" + strconv.Itoa(p.Weight)
	}
	return strings.Join(texts, ",")
}

// valueNone is the value of a list that is empty on purpose.
const valueNone = "none"

// parseDigestList parses a list of digests of credentials, or valueNone. Each digest may occur
// only once.
func parseDigestList(text string) ([]string, bool) {
	if text == valueNone {
		return nil, true
	}
	digests := strings.Split(text, ",")
	if len(digests) > maxKeys {
		return nil, false
	}
	for i, d := range digests {
		if !creds.IsDigest(d) || slices.Contains(digests[:i], d) {
			return nil, false
		}
	}
	return digests, true
}

// formatDigests formats digests in the form that parseDigestList accepts.
func formatDigests(digests []string) string {
	if len(digests) == 0 {
		return valueNone
	}
	return strings.Join(digests, ",")
}
