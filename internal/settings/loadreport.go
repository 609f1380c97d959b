package settings

import (
	"strconv"
	"strings"

	"lockloom/balance"
)

// The names, as the platform publishes them, of the fields of a load report that package balance uses.
const (
	inFlightField    = "outstanding"
	utilizationField = "utilization"
)

const (
	notReported    = -1
	maxLoadReading = 1e6 // a greater value cannot be a real load, and is ignored like a malformed one
)

// ParseLoadReport parses a server's load report in the form "name:value,name:value". The proxy reads it from a header
// of a health check's response. Unknown fields are ignored, and so are values that are malformed, negative or greater
// than maxLoadReading. A field of the result that is not reported is -1.
func ParseLoadReport(text string) balance.LoadReport {
	report := balance.LoadReport{InFlight: notReported, Utilization: notReported}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, ":")
		reading, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(reading >= 0) || reading > maxLoadReading {
			continue
		}
		switch strings.TrimSpace(name) {
		case inFlightField:
			report.InFlight = reading
		case utilizationField:
			report.Utilization = reading
		}
	}
	return report
}
